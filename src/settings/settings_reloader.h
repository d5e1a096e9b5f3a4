#ifndef PLANTAINHEAD_SRC_SETTINGS_SETTINGS_RELOADER_H_
#define PLANTAINHEAD_SRC_SETTINGS_SETTINGS_RELOADER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "plantainhead/core/findings.h"
#include "plantainhead/settings/scheduler_settings.h"

namespace plantainhead::settings {

/// The file says what is in force.
struct reload_unchanged {};
/// All that the file says is in force now.
struct reload_applied {
  scheduler_process_settings settings;
};
/// Nothing of the file is in force, and why.
struct reload_refused {
  std::vector<core::finding> findings;
};
using reload_outcome =
    std::variant<reload_unchanged, reload_applied, reload_refused>;

/// Keeps the settings that are in force up with a settings file that may change
/// with a signal or without one. A changed file is applied as a whole or
/// refused as a whole: a process that took over what it could, and ran on with
/// the rest of the old file, would have settings that nobody wrote. Not
/// thread-safe.
class settings_reloader {
 public:
  /// Errors: throws `core::findings_error` with all that is wrong with the
  /// file, also when it can't be read.
  explicit settings_reloader(std::string file);

  const std::string& file() const { return file_; }
  /// The settings in force.
  const scheduler_process_settings& current() const { return current_; }

  /// Reads the file, which is said to have changed.
  reload_outcome Reload();
  /// Looks whether the file has changed. A change counts once two looks in a
  /// row have found the same: while a file is being written its beginning may
  /// be a valid file with other settings. Returns nothing where nothing new is
  /// found.
  std::optional<reload_outcome> Poll();

 private:
  /// What a file holds, or why it can't be read.
  struct content {
    std::string text;
    std::vector<core::finding> unreadable;

    friend bool operator==(const content&, const content&) = default;
  };

  content Read() const;
  reload_outcome Apply(const content& found);

  std::string file_;
  /// What was last applied or refused.
  content last_processed_;
  /// What the last look found, if that is something else.
  std::optional<content> pending_change_;
  scheduler_process_settings current_;
};

/// Returns a finding for each value that differs and that a running process
/// can't apply: all but `stop.grace`, since the rest is part of its
/// connections, of its place in the group, or of leases that VMs have been
/// given. Thread safety: safe from any thread.
std::vector<core::finding> FindRestartOnlyChanges(
    const scheduler_process_settings& current,
    const scheduler_process_settings& fresh,
    const std::string& file);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SRC_SETTINGS_SETTINGS_RELOADER_H_
