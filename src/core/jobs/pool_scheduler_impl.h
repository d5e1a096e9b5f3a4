#ifndef PLANTAINHEAD_SRC_CORE_JOBS_POOL_SCHEDULER_IMPL_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_POOL_SCHEDULER_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/jobs/job_table.h"
#include "core/jobs/send_window.h"
#include "core/jobs/vm_index.h"
#include "core/jobs/vm_state.h"
#include "core/jobs/vm_table.h"
#include "plantainhead/core/jobs/pool_scheduler.h"
#include "plantainhead/core/jobs/run_loss.h"

namespace plantainhead::core::jobs {

/// The progress at which a long-running task is ready to serve.
inline constexpr std::uint32_t kReadyPercent = 100;

/// The implementation of `pool_scheduler`. It visits only VMs that have changed
/// rather than all of them: code that changes a VM obtains it from `FindVm` or
/// calls `vm_table::MarkChanged`. The implementation is split into eight files:
/// the steps of a plan (`pool_plan.cc`), the listings of VMs
/// (`pool_reports.cc`), restarts of VMs (`pool_incarnations.cc`), the answers
/// to orders (`pool_answers.cc`), the stored records (`pool_records.cc`), the
/// ends of runs (`pool_runs.cc`), the placement of tasks (`pool_placement.cc`)
/// and the load of the pool (`pool_load.cc`).
class pool_scheduler::impl {
 public:
  impl(const scheduler_settings& settings, const takeover_bounds& takeover)
      : settings_(settings), takeover_(takeover) {}

  job_table& jobs() { return jobs_; }
  vm_table& vms() { return vms_; }
  /// Returns whether the registry's VMs are known. Jobs that were added before
  /// that belong to an earlier owner.
  bool has_registry() const { return has_registry_; }
  /// Returns the VM and marks it as changed, or returns null if it is unknown.
  vm_state* FindVm(const vm_id& id) { return vms_.FindForChange(id); }
  const vm_state* PeekVm(const vm_id& id) const { return vms_.Find(id); }
  scheduler_counts Counts() const;
  pool_load Load(const pool_id& pool, time_point now);
  std::vector<vm_id> LeastUsed(const pool_id& pool, std::size_t count);

  void RestoreVacantVms(std::set<vm_id> vms) { vacant_ = std::move(vms); }
  void AddKnownVm(const known_vm& vm);
  void UpdateVms(const std::vector<vm_description>& listed, time_point now);
  void UpdateVm(const vm_description& description, time_point now);
  void UnregisterVm(const vm_id& id);
  void ProcessListing(vm_state* vm,
                      time_point sent_at,
                      const run_listing& listing,
                      time_point now);
  void ProcessStartAnswer(vm_state* vm,
                          const run_ref& target,
                          start_result result,
                          time_point now);
  void ProcessStopAnswer(vm_state* vm,
                         const run_ref& target,
                         bool is_answered,
                         time_point now);
  /// Passes the result of a start to the send window of starts. `vm` may be
  /// null.
  void NoteStartTime(vm_state* vm, const run_ref& target, time_point now);
  duration AnswerDelay() const { return window_.delay(); }
  bool IsStartWindowFull() const { return starts_left_ == 0; }
  void Replace(const vm_id& id, time_point now);
  /// Counts runs that started shortly before their VM stopped answering against
  /// their tasks, until the VM answers again.
  void SuspectNewlyStartedRuns(vm_state* vm);
  hold_parameters NextHold(vm_state* vm, time_point now);

  std::vector<vm_order> Plan(time_point now, time_point wall_now);
  std::vector<lost_run> TakeLosses() { return std::exchange(losses_, {}); }
  std::vector<vm_restart> TakeRestarts() {
    return std::exchange(restarts_, {});
  }
  std::optional<progress_batch> TakeBatch();
  void NoteStored(const progress_batch& batch);
  void NoteJobsRead(time_point through) {
    jobs_read_through_ = std::max(jobs_read_through_, through);
  }
  void NoteCancellationsRead(time_point through) {
    cancellations_read_through_ = through;
  }
  void NoteReport(const vm_id& id, time_point trusted_until);
  std::vector<vm_id> TakeVmChanges() { return std::exchange(vm_changes_, {}); }
  std::vector<vm_id> TakeEmptied() { return std::exchange(emptied_, {}); }
  bool MayStart(time_point now) const;
  std::optional<unknown_job_vm> FindUnknownJob();
  std::vector<job_id> ListedUnopenedJobs() const;
  takeover_wait TakeoverWait(time_point now);
  /// Adopts the runs of a job that VMs have listed before it was known.
  void AdoptRunsOf(const job_id& id, time_point now);
  /// Attributes the time since the job was submitted to reading its record.
  static void NoteReading(job_state* job) {
    NoteWait(job, wait_cause::kReading, job->submitted_at());
  }
  /// Requests a stop of every run of the job.
  void StopRunsOf(const job_id& id);
  /// Requests a stop of every run of those tasks of the step that are done.
  void StopRunsOfDone(const task_name& task);
  bool StopLaterStarts(const ended_task& end);
  /// Calls `use` with each run on the VM of a task of the step.
  template <typename Vm, typename Use>
  static void ForRunsOfStep(Vm* vm, const task_name& step, Use use) {
    for (auto it =
             vm->runs().lower_bound({step.job, step.occurrence, step.step, 0});
         it != vm->runs().end() && it->first.job == step.job &&
         it->first.occurrence == step.occurrence && it->first.step == step.step;
         ++it) {
      use(it->first, &it->second);
    }
  }

 private:
  /// A job with waiting tasks that may be placed.
  struct candidate {
    job_state* job = nullptr;
    /// Jobs with the lowest rank are placed first, then those with the earliest
    /// `order`.
    int rank = 0;
    time_point order;
  };

  /// A job whose end is stored.
  struct ended_job {
    time_point at;
    job_id id;
    std::size_t bytes = 0;
  };

  /// The requirements of the tasks of a step that no VM could meet, except for
  /// those that only some of the tasks have.
  struct unmet_demand {
    pool_id pool;
    std::string label;
    resources demand;
  };

  void AssumeLeaseOf(const vm_id& id, vm_state* vm);

  // Incarnations.
  /// Updates the incarnation of the VM from a listing or a registry entry.
  /// Returns false if that incarnation has ended already. `asked_at` is when
  /// the listing was requested.
  bool UpdateIncarnation(vm_state* vm,
                         std::optional<time_point> asked_at,
                         const vm_incarnation& incarnation,
                         time_point now);
  void BeginIncarnation(vm_state* vm,
                        const vm_incarnation& incarnation,
                        time_point now);
  /// Marks a run as uncertain until a listing of the next incarnation of its VM
  /// resolves it.
  static void MarkUncertain(run_state* run,
                            const vm_incarnation& former_incarnation);
  static void DropOldStarts(vm_state* vm, time_point now);
  static void NoteUnansweredStart(vm_state* vm,
                                  const run_ref& target,
                                  time_point now);
  void StopUnansweredStarts(vm_state* vm, time_point now);
  /// Ends lost runs and counts them against their tasks.
  void EndLostRuns(vm_state* vm, const std::vector<lost_run>& lost);
  void DropUnprocessedEnds(vm_state* vm);
  /// Returns the report of a run that is lost with its VM.
  /// `has_incarnation_ended` states whether its incarnation of the VM is known
  /// to have ended.
  static lost_run LostRunOf(const vm_state& vm,
                            const task_name& task,
                            const run_state& run,
                            bool has_incarnation_ended);

  // Reports.
  void ProcessRunning(vm_state* vm, const running_task& row, time_point now);
  void Adopt(vm_state* vm, const running_task& row, time_point now);
  void OpenListed(job_state* job, const task_name& task);
  void NoteRunning(job_state* job);
  void WithdrawLosses(const vm_state& vm);
  void NoteListed(vm_state* vm, const task_name& task, run_state* run);
  void NoteReady(const task_name& task);
  bool ProcessEnd(vm_state* vm, const ended_task& end, time_point now);
  void NoteHealth(vm_state* vm, const ended_task& end, time_point now);
  void CheckAbsent(vm_state* vm,
                   time_point sent_at,
                   const run_listing& listing,
                   time_point now);

  static void NoteStartUnknown(run_state* run, time_point now);
  void AckStored();

  // Ends of runs.
  /// Ends a run that had no known effect, so that its task may start on another
  /// VM. Returns its job if its state changed, otherwise null.
  job_state* EndRun(vm_state* vm, const task_name& task);
  void CountLoss(job_state* job, const task_name& task, const run_loss& loss);
  /// Ends all runs on a VM as lost. `has_incarnation_ended` states whether the
  /// incarnation of the VM is known to have ended.
  void EndAllRunsAsLost(vm_state* vm, bool has_incarnation_ended);
  static bool IsEndPlanned(const vm_state& vm);
  /// Returns whether a crash of the VM now is attributed to another task than
  /// that of the run.
  static bool IsClearedBySuspect(const vm_state& vm, const run_state& run);
  void ExpireIfSilent(vm_state* vm, time_point now);
  /// Removes a VM that is no longer registered and that can run no task.
  void RemoveIfGone(vm_state* vm, time_point now);
  void StopHungRuns(vm_state* vm, time_point now);
  /// Returns how long the progress of the run may stay the same.
  duration HangLimit(const run_state& run, const job_task_state& task) const;
  void EmptyVm(vm_state* vm, time_point now);
  bool MayInterrupt(const task_name& task, time_point now);
  void PlanStops(vm_state* vm, time_point now, std::vector<vm_order>* orders);
  void PlanPace(vm_state* vm, std::vector<vm_order>* orders);

  // Changes.
  /// Updates the changed VMs in the index.
  void IndexChanged(time_point now);
  void OpenOccurrences(time_point wall_now);
  /// Releases the memory of jobs that ended some time ago.
  void ForgetEndedJobs(time_point now);
  void PlanVm(vm_state* vm, time_point now, std::vector<vm_order>* orders);
  /// Schedules the next check of the VM for when its plan may change.
  void ScheduleNextCheck(vm_state* vm, time_point now);
  /// Records that the VM is new, has a new description or is about to be
  /// removed.
  void NoteVmChange(const vm_state& vm);

  // Load.
  static void AddSpread(const job_state& job, pool_load* load);

  // Placement.
  void CountStarts();
  /// Records what the waiting tasks of the job wait for, if there are any.
  static void NoteWait(job_state* job, wait_cause cause, time_point now);
  bool IsRecovered(time_point now);
  void SkipUnreportedRuns(time_point now);
  void NoteUnknownRun(const task_name& task, std::uint32_t run);
  std::set<job_id> JobsWithUnprocessedEnds() const;
  std::vector<candidate> Candidates(time_point now);
  void PlaceJob(job_state* job, time_point now, std::vector<vm_order>* orders);
  void PlaceStep(job_state* job,
                 const job_state::step_ref& step,
                 time_point now,
                 std::vector<vm_order>* orders);
  /// Places the tasks of one ready step.
  void PlaceReadyStep(job_state* job,
                      const job_state::step_ref& step,
                      time_point now,
                      std::vector<vm_order>* orders);
  std::vector<std::string> RacksFor(const job_state& job,
                                    std::uint32_t step) const;
  void PlaceGang(job_state* job,
                 const job_state::step_ref& step,
                 time_point now,
                 std::vector<vm_order>* orders);
  /// Returns whether the pool has the free resources that the gang needs,
  /// however they are spread over its VMs.
  bool MayFitGang(const pool_id& pool, const step_spec& step) const;
  bool MayPlaceGang(const job_state& job,
                    const job_state::step_ref& step) const;
  bool IsKnownUnplaceable(const pool_id& pool, const step_spec& step) const;
  /// Returns whether the task may start only on a VM without newly started
  /// runs.
  static bool MustRunIsolated(job_state& job, const task_name& task);
  /// Returns whether the VM could hold one more task of the step, apart from
  /// its free resources.
  bool MayHold(const vm_state& vm,
               const task_name& task,
               const step_spec& step,
               bool is_isolated) const;
  vm_state* ChooseVm(job_state* job,
                     const task_name& task,
                     const std::string& rack,
                     time_point now);
  struct vm_search;
  /// Returns whether the VM can run the task. Records in the search whether the
  /// VM has enough free resources.
  bool Suits(vm_state* vm, vm_search* search) const;
  /// Return the most suitable VM of the list, or null.
  vm_state* FindBest(const available_vm_list& available,
                     vm_search* search) const;
  vm_state* FindLeastBusy(const available_vm_list& available,
                          vm_search* search) const;
  std::uint32_t RunsOfStep(const vm_state& vm, const task_name& task) const;
  void Start(job_state* job,
             const task_name& task,
             std::uint32_t run,
             vm_state* vm,
             time_point now,
             std::vector<vm_order>* orders);

  scheduler_settings settings_;
  takeover_bounds takeover_;
  job_table jobs_;
  vm_table vms_;
  vm_index index_;
  /// The latest time to which the index was updated.
  time_point indexed_at_;
  /// VMs that an earlier owner recorded as vacant.
  std::set<vm_id> vacant_;
  /// VMs whose incarnation is known to have ended, with that incarnation; the
  /// registry may still list them.
  std::map<vm_id, vm_incarnation> replaced_;
  /// Removed VMs whose records are to be deleted.
  std::vector<vm_id> dropped_vms_;
  /// VMs that were added, removed or changed since `TakeVmChanges` was last
  /// called.
  std::vector<vm_id> vm_changes_;
  /// Closed VMs that have become empty since `TakeEmptied` was last called.
  std::vector<vm_id> emptied_;
  /// VMs with ends that may be acknowledged only once a batch is stored.
  std::vector<vm_id> unacknowledged_;
  bool has_registry_ = false;
  std::uint64_t stored_through_ = 0;
  scheduler_counts counts_;
  /// Jobs whose ends have been stored since the last plan, and those of earlier
  /// plans with the time of the plan.
  std::vector<job_id> newly_ended_;
  std::deque<ended_job> ended_;
  std::size_t ended_bytes_ = 0;
  /// Lost runs that have not been reported.
  std::vector<lost_run> losses_;
  /// Restarts of VMs that have not been reported.
  std::vector<vm_restart> restarts_;
  send_window window_;
  /// The number of starts that this plan may still order, and of those in
  /// flight.
  std::size_t starts_left_ = 0;
  std::size_t starts_in_flight_ = 0;
  /// The steps that this plan visits of a job.
  std::vector<job_state::step_ref> steps_to_place_;
  /// Requirements that no VM could meet in this plan.
  std::vector<unmet_demand> unmet_demands_;
  /// Whether the lease of a VM expired before the VM had listed what was
  /// started there.
  bool has_unreported_vm_ = false;
  time_point jobs_read_through_;
  /// Empty: unknown.
  std::optional<time_point> cancellations_read_through_;
  /// The highest runs of unknown jobs that VMs had listed before their leases
  /// expired or they restarted.
  std::map<job_id, std::map<task_name, std::uint32_t>> highest_unknown_runs_;
  bool is_recovered_ = false;
  /// The number of the batch that records the last expired lease of a VM.
  std::uint64_t expiry_batch_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_POOL_SCHEDULER_IMPL_H_
