#ifndef PLANTAINHEAD_SRC_SETTINGS_SETTINGS_RELOADER_H_
#define PLANTAINHEAD_SRC_SETTINGS_SETTINGS_RELOADER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "plantainhead/core/findings.h"
#include "plantainhead/settings/scheduler_settings.h"

namespace plantainhead::settings {

/// The settings in the file equal those in force.
struct reload_unchanged {};
/// All settings in the file have been put in force.
struct reload_applied {
  scheduler_process_settings settings;
};
/// The file was refused as a whole, for the reasons in `findings`.
struct reload_refused {
  std::vector<core::finding> findings;
};
using reload_outcome =
    std::variant<reload_unchanged, reload_applied, reload_refused>;

/// Applies changes of a settings file to the settings in force, either on a
/// signal or by polling the file. A changed file is applied or refused as a
/// whole: if only some of its values were applied, the process would run with a
/// combination of settings that nobody wrote.
/// Thread safety: none.
class settings_reloader {
 public:
  /// Reads the initial settings from `file`.
  /// Errors: throws `core::findings_error` with all errors in the file, or if
  /// it cannot be read.
  explicit settings_reloader(std::string file);

  const std::string& file() const { return file_; }
  /// Returns the settings in force.
  const scheduler_process_settings& current() const { return current_; }

  /// Reads the file immediately, for use when a signal reports a change.
  reload_outcome Reload();
  /// Checks whether the file has changed. A change is processed once two
  /// consecutive polls have read the same content, because the beginning of a
  /// file that is still being written may be a valid file with other settings.
  /// Returns nothing if there is no new change to process.
  std::optional<reload_outcome> Poll();

 private:
  /// Content of the file, or the reason why it cannot be read.
  struct content {
    std::string text;
    std::vector<core::finding> unreadable;

    friend bool operator==(const content&, const content&) = default;
  };

  content Read() const;
  reload_outcome Apply(const content& found);

  std::string file_;
  /// The content that was last applied or refused.
  content last_processed_;
  /// The content read by the last poll, if it differs from `last_processed_`.
  std::optional<content> pending_change_;
  scheduler_process_settings current_;
};

/// Returns a finding for each value that differs and that a running process
/// cannot apply. These are all but `stop.grace`, because the others determine
/// the connections of the process, its place in the group, or leases that VMs
/// have already been granted.
/// Thread safety: safe from any thread.
std::vector<core::finding> FindRestartOnlyChanges(
    const scheduler_process_settings& current,
    const scheduler_process_settings& fresh,
    const std::string& file);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SRC_SETTINGS_SETTINGS_RELOADER_H_
