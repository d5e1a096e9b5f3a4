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

/// A line of the log that is ready to be written.
struct aggregated_event {
  job_event event;
  observe::log_fields fields;

  friend bool operator==(const aggregated_event&,
                         const aggregated_event&) = default;
};

/// Gathers events that differ only in the task, the VM or the job they concern,
/// so that one line of the log stands for all of them. An owner starts up to
/// 870 tasks a second; with a line for each, a collector that keeps the last 55
/// KB of a log kept 2 s of it, and nothing on who owned what.
///
/// A line for one event has `vm` (and `index`) or `job`. A line for several has
/// `count`, and in their place one of these lists, its items separated by a
/// space: `tasks`, of "VM:indices" such as "vm-1:0-3,7"; `vms`; `jobs`.
///
/// Pure: it neither writes nor looks at a clock. Not thread-safe.
class event_aggregator {
 public:
  /// Adds a task's event. `outcome` are further fields, such as how it ended.
  void AddTask(job_event event,
               const core::jobs::run_ref& target,
               const observe::log_fields& outcome,
               core::time_point now);
  /// Adds an event of a VM or of a job. `common` are the other fields.
  void AddVm(job_event event,
             const core::jobs::vm_id& vm,
             const observe::log_fields& common,
             core::time_point now);
  void AddJob(job_event event,
              const core::jobs::job_id& job,
              const observe::log_fields& common,
              core::time_point now);

  /// Returns and forgets the lines that are full, and those whose first event
  /// came `kAggregationDelay` ago, in the order of their first events.
  std::vector<aggregated_event> TakeDue(core::time_point now);
  /// Returns and forgets the lines on `job`, in the same order: they come
  /// before the line on its end.
  std::vector<aggregated_event> TakeForJob(const core::jobs::job_id& job);
  /// Returns and forgets all lines, in the same order.
  std::vector<aggregated_event> TakeAll();

 private:
  enum class subject { kTask, kVm, kJob };

  struct event_group {
    job_event event;
    subject kind;
    observe::log_fields common;
    core::time_point first_at;
    /// Whose tasks they are; empty where the subject isn't a task.
    core::jobs::job_id job;
    /// Indices of tasks by VM; empty ones where the subject isn't a task.
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
  std::vector<aggregated_event> TakeIf(
      const std::function<bool(const event_group&)>& is_taken);
  static aggregated_event ToLine(const event_group& events);

  /// Few at a time, so that they are searched one by one.
  std::vector<event_group> event_groups_;
};

/// How long a line waits for further events. The answers to the orders of one
/// plan arrive within 0.05 s; waiting ten times longer saves 7 in 100 bytes
/// more (counted in the logs of nine processes), and a line's time would tell
/// less.
inline constexpr std::chrono::milliseconds kAggregationDelay{100};

/// Events in one line at most, so that a line stays under 1 KB.
inline constexpr std::size_t kMaxEventsPerLine = 40;

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_EVENT_AGGREGATOR_H_
