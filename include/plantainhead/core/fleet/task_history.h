#ifndef PLANTAINHEAD_CORE_FLEET_TASK_HISTORY_H_
#define PLANTAINHEAD_CORE_FLEET_TASK_HISTORY_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/platform_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Resources that a job occupies on a worker.
struct job_size {
  std::uint32_t processors = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  // As in basic_id. NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const job_size&, const job_size&) = default;
};

/// Returns the operation id `start` with the size of the task appended. A
/// repeated start must request the same size: the platform refuses a known id
/// with a different content, and the learned size of a job may change between
/// two planners. Thread safety: safe from any thread.
operation_id WithSize(const operation_id& start, const job_size& size);

/// Returns the size that `WithSize` appended to an id, or nothing. Thread
/// safety: safe from any thread.
std::optional<job_size> ParseSize(const operation_id& start);

/// Statistics derived from the platform's list of tasks: which workers fail
/// every task, which jobs fail on every worker, and how much the jobs use
/// compared with what they declare. They are kept in memory only; a planner
/// that takes over derives them again from the list. Thread safety: none.
class task_history {
 public:
  /// Updates the statistics with the latest list. The end of each task is
  /// counted once.
  void Observe(const std::vector<task_listing>& tasks,
               const fleet_state& state);

  /// Returns true if the last tasks of the worker, of `consecutive` different
  /// jobs, have all failed.
  bool FailsAllTasks(const vm_id& vm, std::size_t consecutive) const;

  /// Returns the workers on which the job failed.
  const std::set<vm_id>& FailedOn(const job_id& job) const;

  /// Records that a worker refused a job.
  void CountRefusal(const job_id& job, const vm_id& vm, time_point now);

  /// Returns true if the worker refused the job at or after `since`.
  bool WasRefused(const job_id& job, const vm_id& vm, time_point since) const;

  /// Returns how many times workers refused the job.
  std::uint32_t RefusalCount(const job_id& job) const;

  /// Clears the failures of a worker, for example when its quarantine ends.
  void ClearFailures(const vm_id& vm);
  /// Clears the failures of a job, for example when an operator releases it
  /// from the parked state.
  void ClearFailures(const job_id& job);

  /// Returns the expected resource use of a job: its observed use, or else its
  /// declared use, corrected by the observed ratio of used to declared
  /// resources of its team.
  job_size SizeOf(const job_requirements& spec) const;

 private:
  struct usage {
    double processors = 0;
    double memory_mb = 0;
  };

  struct refusals {
    std::uint32_t count = 0;
    std::map<vm_id, time_point> last;
  };

  void CountTaskEnd(const task_listing& task);
  void LearnUsage(const task_listing& task, const job_requirements& spec);

  std::map<vm_id, std::deque<job_id>> failures_;
  std::map<job_id, std::set<vm_id>> failed_on_;
  std::map<job_id, refusals> refusals_;
  std::set<operation_id> counted_;
  std::map<job_id, usage> used_;
  /// Ratio of used to declared resources, by team.
  std::map<team_id, usage> ratios_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_TASK_HISTORY_H_
