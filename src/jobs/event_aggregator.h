#ifndef PLANTAINHEAD_SRC_JOBS_EVENT_AGGREGATOR_H_
#define PLANTAINHEAD_SRC_JOBS_EVENT_AGGREGATOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jobs/event_log.h"
#include "plantainhead/core/jobs/orders.h"
#include "plantainhead/core/time.h"
#include "plantainhead/observe/logging.h"

namespace plantainhead::jobs {

/// Content of one log line that reports one or several aggregated events.
struct aggregated_line {
  job_event event;
  observe::log_fields fields;

  friend bool operator==(const aggregated_line&,
                         const aggregated_line&) = default;
};

/// Aggregates events that differ only in the task, VM or job that they concern,
/// so that a single log line reports all of them. An owner starts up to 870
/// tasks per second. With one line for each, a log collector that keeps the
/// last 55 KB of a log would retain only 2 s of it, without any line about
/// ownership.
///
/// A line for one event has the field `vm` (and `index`) or `job`. A line for
/// several events has `count` and, in place of those fields, one of these
/// space-separated lists: `tasks`, with items "VM:indices" such as
/// "vm-1:0-3,7"; `vms`; `jobs`.
///
/// Pure: it writes no log and reads no clock. Not thread-safe.
class event_aggregator {
 public:
  /// Adds an event of a task. `outcome` holds further fields, such as the
  /// result of the task.
  void AddTask(job_event event,
               const core::jobs::run_ref& target,
               const observe::log_fields& outcome,
               core::time_point now);
  /// Adds an event of a VM or a job. `common` holds the remaining fields; only
  /// events with equal fields are aggregated.
  void AddVm(job_event event,
             const core::jobs::vm_id& vm,
             const observe::log_fields& common,
             core::time_point now);
  void AddJob(job_event event,
              const core::jobs::job_id& job,
              const observe::log_fields& common,
              core::time_point now);

  /// Returns and removes the lines that are full and those whose first event
  /// was added at least `kAggregationDelay` ago, ordered by their first events.
  std::vector<aggregated_line> TakeDue(core::time_point now);
  /// Returns and removes the lines about `job`, in the same order, so that they
  /// can be logged before the line about the end of the job.
  std::vector<aggregated_line> TakeForJob(const core::jobs::job_id& job);
  /// Returns and removes all lines, in the same order.
  std::vector<aggregated_line> TakeAll();

 private:
  enum class subject { kTask, kVm, kJob };

  struct event_group {
    job_event event;
    subject kind;
    observe::log_fields common;
    core::time_point first_at;
    /// The job of the tasks; empty if the subject is not a task.
    core::jobs::job_id job;
    /// Task indices by VM. If the subject is not a task, the keys are VMs or
    /// jobs and the lists are empty.
    std::map<std::string, std::vector<std::uint32_t>> items;
    std::size_t count = 0;
  };

  void AddItem(job_event event,
               subject kind,
               const std::string& item,
               const observe::log_fields& common,
               core::time_point now);
  event_group* FindOrCreate(job_event event,
                            subject kind,
                            const observe::log_fields& common,
                            core::time_point now);
  std::vector<aggregated_line> TakeIf(
      const std::function<bool(const event_group&)>& is_taken);
  static aggregated_line ToLine(const event_group& events);

  /// Searched linearly, as there are only a few groups at a time.
  std::vector<event_group> event_groups_;
};

/// Time for which a line is held back to aggregate further events. The answers
/// to the orders of one plan arrive within 0.05 s. A delay ten times as long
/// would save only another 7% of the bytes logged, and the timestamps of lines
/// would be less accurate.
inline constexpr std::chrono::milliseconds kAggregationDelay{100};

/// Maximum number of events per line, which keeps a line below 1 KB.
inline constexpr std::size_t kMaxEventsPerLine = 40;

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_EVENT_AGGREGATOR_H_
