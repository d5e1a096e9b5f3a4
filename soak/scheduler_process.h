#ifndef PLANTAINHEAD_SOAK_SCHEDULER_PROCESS_H_
#define PLANTAINHEAD_SOAK_SCHEDULER_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace plantainhead::soak {

/// One plantain-scheduler, started as a process of its own and ended by its id.
/// Not thread-safe.
class scheduler_process {
 public:
  /// `directory` gets its settings file and its log.
  scheduler_process(std::string program,
                    std::string directory,
                    std::string name,
                    const std::string& store);
  scheduler_process(const scheduler_process&) = delete;
  scheduler_process& operator=(const scheduler_process&) = delete;
  /// Kills it.
  ~scheduler_process();

  /// Starts it, unless it runs. Throws `std::runtime_error` when it can't.
  void Start();
  /// Sends a signal, if it runs. SIGHUP and SIGSTOP aren't sent in the first
  /// half second: while a program is still being loaded, or is stopped then, it
  /// can't have set a handler.
  void Signal(int signal) const;
  /// Notes an exit. Returns how it ended, if it did so by itself.
  std::optional<std::string> Reap();

  /// Returns its resident memory in bytes, 0 if it doesn't run.
  std::uint64_t ResidentBytes() const;

  bool is_running() const { return pid_ > 0; }
  const std::string& name() const { return name_; }
  const std::string& callers() const { return callers_; }

 private:
  std::string program_;
  std::string directory_;
  std::string name_;
  std::string callers_;
  pid_t pid_ = 0;
  std::chrono::steady_clock::time_point started_at_;
};

/// Returns the next address of a run, as "IP:PORT": from below the ports that
/// outgoing connections take, and others for each process that runs a soak, so
/// that runs side by side, also of one seed, don't meet. A process that
/// restarts needs its old port again. Precondition: `UsePortsOfThisRun` was
/// called.
std::string NextAddress();
void UsePortsOfThisRun();

}  // namespace plantainhead::soak

#endif  // PLANTAINHEAD_SOAK_SCHEDULER_PROCESS_H_
