#ifndef PLANTAINHEAD_CORE_FLEET_JOB_PLANNER_H_
#define PLANTAINHEAD_CORE_FLEET_JOB_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/fleet/job_placement.h"
#include "plantainhead/core/fleet/planner_context.h"
#include "plantainhead/core/fleet/task_history.h"

namespace plantainhead::core {

/// Places jobs on workers, keeps the leases of their tasks, checkpoints them
/// before their worker goes, and takes workers and jobs out of use that fail
/// time after time. Thread safety: none.
class job_planner {
 public:
  /// Watches jobs and list; called on every entry, with or without the lease.
  void Observe(const planner_inputs& inputs,
               const planner_options& options,
               time_point now);

  /// Writes the records and operations that the jobs need now.
  void Plan(const planner_context& context);

 private:
  /// What this entry knows of the present state of one job.
  struct job_observation {
    generation version = 0;
    time_point since;
    /// The latest moment at which its task's lease may still run.
    time_point lease_end;
  };

  void IndexTasks(const planner_inputs& inputs);
  void AdvanceJobs(const planner_context& context);
  void AdvancePlaced(const planner_context& context,
                     const job_id& id,
                     const fleet_job& job);
  void AdvanceCheckpointing(const planner_context& context,
                            const job_id& id,
                            const fleet_job& job);
  /// Records the end of a task if the list shows one. Returns whether it did.
  bool RecordTaskEnd(const planner_context& context,
                     const job_id& id,
                     const fleet_job& job);
  /// Sends the start until it has a sure end. Returns whether it was done.
  bool AdvanceStart(const planner_context& context,
                    const job_id& id,
                    const fleet_job& job);
  /// Gives a task up once its lease surely ended. Returns whether its worker or
  /// task is gone from the list.
  bool ReleaseLostTask(const planner_context& context,
                       const job_id& id,
                       const fleet_job& job);
  static bool IsWorkerGone(const planner_context& context,
                           const fleet_job& job);
  void Renew(const planner_context& context,
             const job_id& id,
             const fleet_job& job);
  void StopOrphanedTasks(const planner_context& context);
  void Quarantine(const planner_context& context);
  void PlaceWaiting(const planner_context& context);
  /// Places one job or leaves the reason why not. Returns true if a record was
  /// written.
  bool PlaceWaitingJob(const planner_context& context,
                       job_placement& placement,
                       const job_id& id,
                       const fleet_job& job);
  bool PlaceUrgent(const planner_context& context,
                   job_placement& placement,
                   const job_id& id,
                   const fleet_job& job);
  std::string ParkReason(const planner_context& context,
                         const job_placement& placement,
                         const job_id& id,
                         const fleet_job& job);
  const task_listing* FindTask(const job_id& id, const fleet_job& job) const;
  static bool MustVacateWorker(const planner_context& context,
                               const fleet_job& job);
  void SetState(const planner_context& context,
                const job_id& id,
                const fleet_job& job,
                job_status state,
                const vm_id& vm,
                const std::string& operation_kind,
                const std::string& reason) const;

  task_history history_;
  std::map<job_id, job_observation> observations_;
  std::map<job_id, const task_listing*> tasks_;
  time_point observed_list_;
  /// Since when no worker seems able to hold a job.
  std::map<job_id, time_point> unplaceable_since_;
  /// Version and list of the newest pass over the waiting jobs.
  generation placed_version_ = 0;
  time_point placed_list_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_JOB_PLANNER_H_
