#ifndef PLANTAINHEAD_SOAK_TIMED_PROMISES_H_
#define PLANTAINHEAD_SOAK_TIMED_PROMISES_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantainhead::soak {

/// The bounds of the promises, as the users' sites have them.
struct promise_bounds {
  /// A promise with a bound holds when nothing was disturbed for this long.
  std::chrono::milliseconds contact = std::chrono::milliseconds(3000);
  /// From a cancellation's acknowledgement to the last start of a task.
  std::chrono::milliseconds cancel = std::chrono::milliseconds(3000);
  /// From then until no task runs.
  std::chrono::milliseconds stop = std::chrono::milliseconds(200);
  /// A job that was accepted this long ago and waits is counted as waiting.
  std::chrono::milliseconds counted = std::chrono::milliseconds(5000);
  /// A job whose pool has room starts within this time. Owners learn of jobs as
  /// they do of cancellations.
  std::chrono::milliseconds start = std::chrono::milliseconds(3000);
};

/// Checks the promises that have a time bound, from what callers and VMs see.
/// Times are passed in and never go back. Not thread-safe.
class timed_promises {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit timed_promises(const promise_bounds& bounds) : bounds_(bounds) {}

  /// Something is disturbed at this moment; before it ends nothing is calm.
  void NoteDisturbed(time_point until);
  /// `has_room`: VMs can take the job's tasks at once.
  void NoteAccepted(const std::string& job,
                    const std::string& queue,
                    bool has_room,
                    time_point now);
  void NoteCancelSent(const std::string& job);
  void NoteCancelled(const std::string& job, time_point now);
  void NoteStarted(const std::string& vm,
                   const std::string& job,
                   const std::string& task,
                   time_point now);
  void NoteEnded(const std::string& vm, const std::string& task);
  /// A process answered that `told` jobs of the queue wait.
  void NoteCount(const std::string& process,
                 const std::string& queue,
                 std::size_t told,
                 time_point sent_at,
                 time_point now);
  /// Looks for tasks and jobs whose bound has passed.
  void Check(time_point now);

  bool IsCalm(time_point now) const;
  const std::vector<std::string>& violations() const { return violations_; }
  /// Returns how many counts were checked against a job that waited.
  std::size_t checked_counts() const { return checked_counts_; }
  std::size_t checked_cancels() const { return checked_cancels_; }

 private:
  struct job_note {
    std::string queue;
    bool has_room = false;
    bool is_cancel_sent = false;
    bool has_started = false;
    std::optional<time_point> accepted_at;
    std::optional<time_point> cancelled_at;
  };
  struct run_note {
    std::string job;
    bool is_reported = false;
  };

  void CheckRuns(time_point now);
  void CheckWaiting(time_point now);
  /// Returns when a bound of something noted at `at` begins to count.
  time_point CountsFrom(time_point at) const;

  promise_bounds bounds_;
  time_point disturbed_until_;
  std::map<std::string, job_note> jobs_;
  /// By VM and task.
  std::map<std::pair<std::string, std::string>, run_note> runs_;
  std::set<std::string> reported_;
  std::size_t checked_counts_ = 0;
  std::size_t checked_cancels_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace plantainhead::soak

#endif  // PLANTAINHEAD_SOAK_TIMED_PROMISES_H_
