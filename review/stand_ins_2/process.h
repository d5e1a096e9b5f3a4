#ifndef PLANTAINHEAD_REVIEW_STAND_INS_2_PROCESS_H_
#define PLANTAINHEAD_REVIEW_STAND_INS_2_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace plantainhead::review {

/// Lets SIGTERM and SIGINT only set a flag, so that a case that is interrupted
/// still ends the processes that it has started.
void HandleStopSignals();
bool IsStopRequested();

/// Returns a free address of 127.0.0.1.
std::string FreeAddress();

/// One scheduler as a separate process, with settings like those of a small
/// deployment. Not thread-safe.
class process {
 public:
  /// Writes the settings file into `directory`. `fleet` may be empty.
  process(const std::string& directory,
          std::string name,
          const std::string& store,
          const std::string& fleet);
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  /// Kills the process.
  ~process();

  void Start();
  void Signal(int signal) const;
  /// Returns true if the process has ended since the last call.
  bool HasEnded();
  /// Returns the resident memory of the process, or 0 if it doesn't run.
  std::int64_t ResidentMb() const;
  bool is_running() const { return pid_ != 0; }
  const std::string& name() const { return name_; }
  const std::string& callers() const { return callers_; }

 private:
  std::string directory_;
  std::string name_;
  std::string callers_;
  pid_t pid_ = 0;
};

}  // namespace plantainhead::review

#endif  // PLANTAINHEAD_REVIEW_STAND_INS_2_PROCESS_H_
