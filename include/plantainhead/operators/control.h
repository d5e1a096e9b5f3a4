#ifndef PLANTAINHEAD_OPERATORS_CONTROL_H_
#define PLANTAINHEAD_OPERATORS_CONTROL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "plantainhead/operators/client.h"

/// The commands of `plantainctl`, without its command line.
namespace plantainhead::operators {

/// Exit codes of `plantainctl`; scripts may rely on them.
enum class exit_code {
  kOk = 0,
  /// An entry answered with an error that is none of those below.
  kFailed = 1,
  /// The arguments, a file or a request are wrong; nothing was changed.
  kBadInput = 2,
  /// The object was changed by someone else; what is in force is shown.
  kConflict = 3,
  /// No entry answered or could decide; whether it took effect isn't known.
  kUnreachable = 4,
};

/// `kHtml` is for the burn report; elsewhere it is as `kTable`.
enum class output_format { kTable, kJson, kHtml };

/// Passes the time between two polls.
using sleep_function = std::function<void(std::chrono::milliseconds)>;

/// What all commands share.
struct control_context {
  std::vector<entry_address> entries;
  output_format format = output_format::kTable;
  std::string author = "operator";
  client_options client;
  sleep_function sleep;
};

/// A field of an object as JSON text, for comparing with what is in force.
struct expected_field {
  std::string key;
  std::string value;
};

struct publish_options {
  std::string file;
  /// Waits until every live entry has the new targets in force.
  bool wait = false;
  std::chrono::milliseconds wait_limit = std::chrono::seconds(60);
  /// Version that must be in force; unset takes the one that is.
  std::optional<std::uint64_t> expected;
};

struct wave_options {
  std::string wave;
  std::vector<std::string> pools;
  /// As in 2026-03-01T12:00:00Z; empty for no limit.
  std::string finish_by;
};

struct job_options {
  std::string job;
  std::string pool;
  std::string team;
  std::uint32_t processors = 1;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  /// As in 2h; empty when it isn't known.
  std::string declared_run_time;
  /// As in 2026-03-01T12:00:00Z; empty for no limit.
  std::string finish_by;
  bool urgent = false;
};

/// Carries out operators' commands and writes what they tell.
/// Errors: what goes wrong is written to `err` and told by the exit code; only
/// `std::bad_alloc` and the like leave a method.
/// Thread safety: none; a program uses one from one thread.
class control {
 public:
  /// Preconditions: `out` and `err` outlive the object; `context.entries` isn't
  /// empty but for `Check`.
  control(control_context context, std::ostream* out, std::ostream* err);

  /// Publishes the targets in a file, if the expected version is in force.
  exit_code Publish(const publish_options& options);
  /// Shows the targets in force.
  exit_code Show();
  /// Shows how the targets in a file differ from those in force.
  exit_code Diff(const std::string& file);
  /// Shows the asked entry's view of the fleet.
  exit_code Status();
  /// Checks a file of targets or of an entry's settings, without an entry.
  exit_code Check(const std::string& file);

  exit_code StartWave(const wave_options& options);
  /// `verb` is "pause", "resume" or "cancel".
  exit_code ChangeWave(const std::string& wave,
                       const std::string& verb,
                       const std::string& reason);
  /// Shows one wave, or all when `wave` is empty.
  exit_code ShowWaves(const std::string& wave);

  exit_code ShowVms();
  exit_code ShowPools();
  exit_code ShowJobs();
  exit_code SubmitJob(const job_options& options);
  /// `verb` is "cancel", or "retry" for a parked job.
  exit_code ChangeJob(const std::string& job,
                      const std::string& verb,
                      const std::string& reason);
  /// Shows the burn report of the whole fleet.
  exit_code Burn();
  /// Tells why a VM is where it is.
  exit_code Explain(const std::string& vm);

 private:
  // Runs `body` and turns what it throws into an exit code.
  exit_code Guard(const std::function<exit_code()>& body);

  caller::http_answer Get(const std::string& path) const;
  caller::http_answer Change(const client_request& request) const;
  exit_code Refused(const caller::http_answer& answer);
  exit_code PrintDone(const caller::http_answer& answer,
                      const std::string& what);
  // Puts the version of an object into a request, so that a copy which is sent
  // after a lost answer can't undo what another operator did in between.
  void FixVersion(const std::string& path,
                  const std::string& kind,
                  const std::string& name,
                  client_request* request) const;
  // Sends a change. A conflict that shows this very change in force, by this
  // author, counts as done: an entry carried it out, its answer was lost, and
  // the next entry refused the second copy.
  exit_code SendChange(const client_request& request,
                       const std::string& what,
                       const std::vector<expected_field>& wanted);
  exit_code WaitForAll(std::uint64_t offset, std::chrono::milliseconds limit);
  exit_code ShowList(const std::string& path,
                     const std::vector<std::string>& keys);
  // Shows the object of a list whose key `kind` is `name`, field by field.
  exit_code ShowOne(const std::string& path,
                    const std::string& kind,
                    const std::string& name);

  control_context context_;
  entry_client client_;
  std::ostream* out_;
  std::ostream* err_;
};

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_OPERATORS_CONTROL_H_
