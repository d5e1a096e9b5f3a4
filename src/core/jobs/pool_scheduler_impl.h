#ifndef PLANTAINHEAD_SRC_CORE_JOBS_POOL_SCHEDULER_IMPL_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_POOL_SCHEDULER_IMPL_H_

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

/// A lasting task at this percentage serves.
inline constexpr std::uint32_t kReadyPercent = 100;

/// Returns what a task of the step takes of a VM's capacity.
resources DemandOf(const step_spec& step);

/// The state of a `pool_scheduler`. It looks at VMs that have changed, and not
/// at all of them: who changes a VM takes it from `FindVm` or calls
/// `vm_table::Touch`. Eight files share it: what a plan looks at
/// (`pool_plan.cc`), what VMs list (`pool_reports.cc`), that they begin again
/// (`pool_lives.cc`), how they answer orders (`pool_answers.cc`), what is
/// stored
/// (`pool_records.cc`), which runs end (`pool_runs.cc`), where tasks start
/// (`pool_placement.cc`) and what they take (`pool_size.cc`).
class pool_scheduler::impl {
 public:
  impl(const scheduler_settings& settings, const takeover_bounds& takeover)
      : settings_(settings), takeover_(takeover) {}

  job_table& jobs() { return jobs_; }
  vm_table& vms() { return vms_; }
  /// True once the registry's VMs are known: jobs that were added before that
  /// are an earlier owner's.
  bool has_registry() const { return has_registry_; }
  /// Returns the VM for a change of it, or null when it is unknown.
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
  /// Notes the result of a start for the window of starts. `vm` may be null.
  void NoteStartTime(vm_state* vm, const run_ref& target, time_point now);
  duration AnswerDelay() const { return window_.delay(); }
  bool IsStartWindowFull() const { return starts_left_ == 0; }
  void Replace(const vm_id& id, time_point now);
  /// Counts what began on a VM just before it fell silent against its tasks,
  /// until the VM is heard again.
  void SuspectNewlyStartedRuns(vm_state* vm);
  hold_parameters NextHold(vm_state* vm, time_point now);

  std::vector<vm_order> Plan(time_point now, time_point wall_now);
  std::vector<lost_run> TakeLosses() { return std::exchange(losses_, {}); }
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
  takeover_wait TakeoverWait(time_point now);
  /// Takes over the runs of a job that VMs have told of before it was known.
  void AdoptRunsOf(const job_id& id, time_point now);
  /// Counts what a job, since it was handed in, has waited to be read.
  static void NoteReading(job_state* job) {
    NoteWait(job, wait_cause::kReading, job->submitted_at());
  }
  /// Wants a stop of every run of the job.
  void StopRunsOf(const job_id& id);
  /// Wants a stop of every run of the step's tasks that are done.
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
  struct candidate {
    job_state* job = nullptr;
    /// The lowest goes first, then the earliest.
    int rank = 0;
    time_point order;
  };

  /// What tasks of a step ask of a VM, but for what only some tasks ask.
  struct unmet_demand {
    pool_id pool;
    std::string label;
    resources demand;
  };

  void AssumeLeaseOf(const vm_id& id, vm_state* vm);

  // Lives.
  /// Notes of which life of the VM a listing or a registry entry is. Returns
  /// false when that life is over. `asked_at`: when a listing was asked for.
  bool UpdateIncarnation(vm_state* vm,
                         std::optional<time_point> asked_at,
                         const vm_incarnation& incarnation,
                         time_point now);
  void BeginIncarnation(vm_state* vm,
                        const vm_incarnation& incarnation,
                        time_point now);
  /// Prepares a run to be settled with the next life of its VM.
  static void MarkUncertain(run_state* run,
                            const vm_incarnation& former_incarnation);
  static void DropOldStarts(vm_state* vm, time_point now);
  static void NoteUnansweredStart(vm_state* vm,
                                  const run_ref& target,
                                  time_point now);
  void StopUnansweredStarts(vm_state* vm, time_point now);
  /// Ends runs that nothing more can be heard of, and counts them against their
  /// tasks.
  void EndLostRuns(vm_state* vm, const std::vector<lost_run>& lost);
  void DropUnprocessedEnds(vm_state* vm);
  /// Returns a run that is lost with its VM. `has_incarnation_ended`: so is the
  /// life of the VM that it was on.
  static lost_run LostRunOf(const vm_state& vm,
                            const task_name& task,
                            const run_state& run,
                            bool has_incarnation_ended);

  // Reports.
  void ProcessRunning(vm_state* vm, const running_task& row, time_point now);
  void Adopt(vm_state* vm, const running_task& row, time_point now);
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
  /// The run left no effect that is known: its task may start elsewhere.
  /// Returns its job when that is news of it, else null.
  job_state* EndRun(vm_state* vm, const task_name& task);
  void CountLoss(job_state* job, const task_name& task, const run_loss& loss);
  /// Ends all runs on a VM of which nothing more can be heard.
  /// `has_incarnation_ended`: that life of it is known to be over.
  void EndAllRunsAsLost(vm_state* vm, bool has_incarnation_ended);
  static bool IsEndPlanned(const vm_state& vm);
  /// Whether a crash of the VM now is another task's doing than the run's.
  static bool IsClearedBySuspect(const vm_state& vm, const run_state& run);
  void ExpireIfSilent(vm_state* vm, time_point now);
  /// Forgets a VM that the registry lists no more and that can run nothing.
  void RemoveIfGone(vm_state* vm, time_point now);
  void StopHungRuns(vm_state* vm, time_point now);
  void EmptyVm(vm_state* vm, time_point now);
  bool MayInterrupt(const task_name& task);
  void PlanStops(vm_state* vm, time_point now, std::vector<vm_order>* orders);
  void PlanPace(vm_state* vm, std::vector<vm_order>* orders);

  // What has changed.
  /// Takes the changed VMs into the index.
  void IndexChanged(time_point now);
  void OpenOccurrences(time_point wall_now);
  void PlanVm(vm_state* vm, time_point now, std::vector<vm_order>* orders);
  /// Sees to it that the VM is planned for again when that may be due.
  void ScheduleNextCheck(vm_state* vm, time_point now);
  /// Notes that the VM is new, described anew or about to be forgotten.
  void NoteVmChange(const vm_state& vm);

  // Size.
  static void AddDemand(job_state* job, time_point now, pool_load* load);
  static void AddSpread(const job_state& job, pool_load* load);

  // Placement.
  void CountStarts();
  /// Notes what the job's tasks wait for, if any does.
  static void NoteWait(job_state* job, wait_cause cause, time_point now);
  bool IsRecovered(time_point now);
  void SkipUnreportedRuns(time_point now);
  void NoteUnknownRun(const task_name& task, std::uint32_t run);
  std::set<job_id> JobsWithUnprocessedEnds() const;
  std::vector<candidate> Candidates(time_point now);
  void PlaceJob(job_state* job, time_point now, std::vector<vm_order>* orders);
  void PlaceStep(job_state* job,
                 std::uint32_t occurrence,
                 std::uint32_t step,
                 time_point now,
                 std::vector<vm_order>* orders);
  std::vector<std::string> RacksFor(const job_state& job,
                                    std::uint32_t step) const;
  void PlaceGang(job_state* job,
                 std::uint32_t occurrence,
                 std::uint32_t step,
                 time_point now,
                 std::vector<vm_order>* orders);
  bool IsKnownUnplaceable(const pool_id& pool, const step_spec& step) const;
  /// Whether the task starts only beside runs that aren't fresh.
  static bool MustRunIsolated(job_state& job, const task_name& task);
  /// Whether the VM could hold one more task of the step, apart from its room.
  bool MayHold(const vm_state& vm,
               const task_name& task,
               const step_spec& step,
               bool is_isolated) const;
  vm_state* ChooseVm(job_state* job,
                     const task_name& task,
                     const std::string& rack,
                     time_point now);
  struct vm_search;
  /// Returns whether the VM takes the task, and notes in the search whether it
  /// has room.
  bool Suits(vm_state* vm, vm_search* search) const;
  /// Return the VM of the list that suits the task best, or null.
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
  /// Up to when the index takes into account that times have passed.
  time_point indexed_at_;
  /// What an earlier owner recorded as vacant.
  std::set<vm_id> vacant_;
  /// Lives that are known to be over; the registry may still list them.
  std::set<vm_id> replaced_;
  /// Forgotten VMs whose records are to be dropped.
  std::vector<vm_id> dropped_vms_;
  /// VMs that are new, gone or described in another way since they were taken.
  std::vector<vm_id> vm_changes_;
  /// Closed VMs that have become empty since they were taken.
  std::vector<vm_id> emptied_;
  /// VMs with ends that wait for their batch of records to be stored.
  std::vector<vm_id> unacknowledged_;
  bool has_registry_ = false;
  std::uint64_t stored_through_ = 0;
  scheduler_counts counts_;
  /// Runs that were lost and haven't been reported.
  std::vector<lost_run> losses_;
  send_window window_;
  /// Starts that may still be ordered in this plan, and what is under way.
  std::size_t starts_left_ = 0;
  std::size_t starts_in_flight_ = 0;
  /// What found no VM in this plan.
  std::vector<unmet_demand> unmet_demands_;
  /// A VM's lease ran out before it had told what was started there.
  bool has_unreported_vm_ = false;
  time_point jobs_read_through_;
  /// Nothing: it isn't told.
  std::optional<time_point> cancellations_read_through_;
  /// The highest runs of unknown jobs that VMs had told of before they lapsed.
  std::map<job_id, std::map<task_name, std::uint32_t>> highest_unknown_runs_;
  bool is_recovered_ = false;
  /// The batch that records the last lapse of a VM.
  std::uint64_t expiry_batch_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_POOL_SCHEDULER_IMPL_H_
