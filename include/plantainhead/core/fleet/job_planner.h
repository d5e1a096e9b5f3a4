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

/// Places jobs on workers, renews the leases of their tasks, checkpoints jobs
/// before their worker is taken out of service, and quarantines workers and
/// parks jobs that fail repeatedly. Thread safety: none.
class job_planner {
 public:
  /// Records changes of the jobs and of the platform's list. To be called on
  /// every entry, with or without the planner lease.
  void Observe(const planner_inputs& inputs,
               const planner_options& options,
               time_point now);

  /// Appends the records and sends the operations that the jobs currently
  /// require.
  void Plan(const planner_context& context);

 private:
  /// What this entry has observed of the current state of one job.
  struct job_observation {
    generation version = 0;
    time_point since;
    /// The latest time at which the lease of the job's task may still be valid.
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
  /// Records the end of a task if the list shows it. Returns true if it did.
  bool RecordTaskEnd(const planner_context& context,
                     const job_id& id,
                     const fleet_job& job);
  /// Sends the start of the task until its result is known. Returns true if the
  /// start succeeded.
  bool AdvanceStart(const planner_context& context,
                    const job_id& id,
                    const fleet_job& job);
  /// Requeues the job of a lost task once the lease of the task has certainly
  /// expired. Returns true if the worker or the task is missing from the list.
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
  /// Places one job, or records the reason why it cannot be placed. Returns
  /// true if a record was appended.
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
  /// Time since when no worker has been large enough for a job.
  std::map<job_id, time_point> unplaceable_since_;
  /// Work version and list time of the latest pass over the waiting jobs.
  generation placed_version_ = 0;
  time_point placed_list_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_JOB_PLANNER_H_
