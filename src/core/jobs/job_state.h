#ifndef PLANTAINHEAD_SRC_CORE_JOBS_JOB_STATE_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_JOB_STATE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "plantainhead/core/jobs/index_ranges.h"
#include "plantainhead/core/jobs/job_progress.h"
#include "plantainhead/core/jobs/job_result.h"
#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/vm_reports.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Returns the resources that a task of the step takes of a VM's capacity.
resources DemandOf(const step_spec& step);

/// The phase of a task from the point of view of the owner.
enum class task_phase {
  /// The task starts as soon as its step is ready.
  kWaiting,
  /// A run of the task is, or may be, on a VM.
  kPlaced,
  kDone,
};

/// Tracks one task of a job.
struct job_task_state {
  task_phase phase = task_phase::kWaiting;
  /// The highest run that was ever ordered or listed.
  std::uint32_t last_run = 0;
  /// See `task_record`.
  std::uint32_t ended_run = 0;
  std::vector<std::uint32_t> failed_runs;
  bool is_presumed = false;
  std::string checkpoint;
  /// See `task_record`.
  std::vector<run_loss> losses;
  /// The task may start only after this batch is stored; see
  /// `EndAllRunsAsLost`.
  std::uint64_t starts_after_batch = 0;
  /// How often the task was considered hung.
  std::uint32_t hung_runs = 0;
  /// The VM on which the last run failed. The next run avoids it until
  /// `failed_until`.
  vm_id failed_on;
  time_point failed_until;
};

/// Tracks one step of an occurrence of a job. Only tasks that have started and
/// are not done have a state of their own. Not thread-safe.
class step_state {
 public:
  explicit step_state(std::uint32_t task_count) : task_count_(task_count) {}

  std::uint32_t task_count() const { return task_count_; }
  std::uint32_t placed() const { return placed_; }
  std::uint32_t done() const {
    return static_cast<std::uint32_t>(touched_.size() - tracked_.size());
  }
  std::uint32_t Waiting() const { return task_count_ - done() - placed_; }
  bool IsDone() const { return done() == task_count_; }
  bool IsDone(std::uint32_t index) const {
    return touched_.Contains(index) && tracked_.count(index) == 0;
  }
  /// Returns the task, or null if it has no state of its own.
  const job_task_state* Find(std::uint32_t index) const;
  /// Returns the state of the task, which it creates if the task has none.
  /// Precondition: the task is not done.
  job_task_state* Track(std::uint32_t index);
  /// Returns the state of the task, which it creates if the task has none.
  /// Precondition: the task is waiting.
  job_task_state* MarkPlaced(std::uint32_t index);
  /// Precondition: the task is placed.
  void MarkWaiting(std::uint32_t index);
  /// Marks the tasks from `begin` to `end`, which is excluded, as done.
  void MarkDone(std::uint32_t begin, std::uint32_t end);
  std::map<std::uint32_t, job_task_state>& tracked() { return tracked_; }
  const std::map<std::uint32_t, job_task_state>& tracked() const {
    return tracked_;
  }
  /// Return the first task from `begin` on that is tracked and waiting, or that
  /// is neither tracked nor done; the number of tasks if there is none.
  std::uint32_t NextRetry(std::uint32_t begin) const;
  std::uint32_t NextUntracked(std::uint32_t begin) const;
  /// Returns the tasks that are done.
  index_ranges DoneTasks() const;

 private:
  std::uint32_t task_count_;
  std::uint32_t placed_ = 0;
  /// The tasks that are tracked or done.
  index_ranges touched_;
  std::map<std::uint32_t, job_task_state> tracked_;
  /// The tracked tasks that are waiting.
  std::set<std::uint32_t> retries_;
};

/// Tracks one occurrence of a job that is not done.
struct occurrence_state {
  /// The steps that have a tracked task, or some tasks that are done.
  std::map<std::uint32_t, step_state> steps;
  index_ranges done_steps;
  /// The steps that are not done and whose dependencies are done.
  index_ranges ready_steps;
  /// The ready steps with waiting tasks.
  index_ranges waiting_steps;
  /// What the tasks of these steps need, for those that end and those that
  /// last.
  resources waiting_demand;
  resources waiting_lasting_demand;
  bool is_started = false;
  /// The cached result of `RemainingChain`; reset when a step is done.
  std::optional<duration> remaining_chain;
};

/// Tracks one accepted job and the progress of its tasks. Its memory depends on
/// the tasks that are running or have failed, not on the tasks that the job
/// asks for. Not thread-safe.
class job_state {
 public:
  /// Identifies a step of an occurrence.
  struct step_ref {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    bool operator==(const step_ref&) const = default;
    friend bool operator<(const step_ref& a, const step_ref& b) {
      return std::tie(a.occurrence, a.step) < std::tie(b.occurrence, b.step);
    }
  };

  /// Preconditions: `spec` is set and has a step; `arrived_at` is when this
  /// process learned of the job; `submitted_at`, which is not later, is when
  /// its caller submitted it.
  job_state(std::shared_ptr<const job_spec> spec,
            const queue_policy& policy,
            time_point arrived_at,
            time_point submitted_at);

  const job_spec& spec() const { return *spec_; }
  const std::shared_ptr<const job_spec>& shared_spec() const { return spec_; }
  const queue_policy& policy() const { return policy_; }
  void SetPolicy(const queue_policy& policy);
  job_phase phase() const { return phase_; }
  /// The time by which the job should have ended, according to the estimates of
  /// its caller.
  time_point deadline() const { return deadline_; }
  /// Used only to determine whether an earlier owner may have started the job.
  /// Durations that the caller observes are measured from `submitted_at`.
  time_point arrived_at() const { return arrived_at_; }
  time_point submitted_at() const { return submitted_at_; }
  /// Records that an earlier owner had accepted the job.
  void MarkInherited() { is_inherited_ = true; }
  /// Records that a start of a task was ordered.
  void MarkStarted(time_point now) {
    if (!started_at_) {
      started_at_ = now;
    }
  }
  /// Records what the tasks of the job wait for from now on.
  void NoteWait(std::optional<wait_cause> cause, time_point now) {
    waits_.SetCause(cause, now);
  }
  /// Returns whether a task of a ready step is waiting.
  bool HasWaiting() const { return !waiting_occurrences_.empty(); }
  job_result Result() const;

  /// Restores the state that an earlier owner recorded.
  void Restore(const job_progress& progress);
  /// Returns the state that must survive this process. Tasks that are done are
  /// listed one by one while the record stays small, since older versions read
  /// no other form.
  job_progress Progress();

  /// Opens occurrences that are due by `wall_now`, as many as may start soon.
  /// Returns whether there were any.
  bool OpenDue(time_point wall_now);
  /// Opens the occurrence of a task that a VM lists: an earlier owner has
  /// opened it. Returns false, and changes nothing, if it was open or is done,
  /// if the job has ended, or if the job has no such task.
  bool OpenListed(const task_name& name);

  /// Returns the task, or null if the job has no task of this name (any more).
  /// The pointer is valid until the job changes.
  const job_task_state* Find(const task_name& name) const;
  /// Returns the task for a change, or null if it is done or the job has no
  /// task of this name (any more).
  job_task_state* Track(const task_name& name);
  const step_spec& StepOf(const task_name& name) const {
    return spec_->steps[name.step];
  }
  /// Returns the step, or null if none of its tasks has started.
  const step_state* FindStep(const step_ref& step) const;
  /// Appends ready steps with waiting tasks, from `begin` on, until the list
  /// has `count` of them.
  void WaitingSteps(const step_ref& begin,
                    std::size_t count,
                    std::vector<step_ref>* steps) const;
  /// Returns whether a ready step runs until the job is cancelled.
  bool HasReadyLongRunning() const { return ready_long_running_ > 0; }
  /// Returns the longest estimated duration of the remaining critical path of
  /// an open occurrence.
  duration RemainingChain();
  /// Returns the resources that waiting tasks of ready steps need, without
  /// those of occurrences that are late and have an end.
  resources WaitingDemand(time_point now);
  bool HasOccurrence() const { return !occurrences_.empty(); }
  /// Return the numbers of tasks of open occurrences that wait, whether or not
  /// their steps are ready, and that are placed.
  std::uint64_t waiting_tasks() const { return waiting_; }
  std::uint64_t placed_tasks() const { return placed_; }
  /// Returns whether `count` more tasks may start for the first time. If not,
  /// the progress of the job might exceed a record of the store.
  bool MayTrack(std::uint32_t count) const;
  /// Returns whether tasks that have started may start again. If not, the
  /// record has no room for their ends.
  bool MayRetry() const { return record_bytes_ <= kMaxRetryBytes; }
  /// The step at which the next plan continues. The plan sets it.
  step_ref next_step;

  /// Skips `count` run numbers that an earlier owner may have used. Has an
  /// effect only once for each object. Returns whether the state changed.
  bool SkipUnreportedRuns(std::uint32_t count);
  /// Prevents tasks of the job from starting before the batch is stored.
  void HoldUntilStored(std::uint64_t batch) { starts_after_batch_ = batch; }
  std::uint64_t starts_after_batch() const { return starts_after_batch_; }
  /// Records the number of a run that a VM has reported and of which nothing
  /// else is known.
  void NoteReportedRun(const task_name& name, std::uint32_t run);
  /// Returns the number of the next run of the task.
  std::uint32_t NextRun(const job_task_state& task) const {
    return std::max(task.last_run, unreported_runs_) + 1;
  }
  void MarkPlaced(const task_name& name, std::uint32_t run);
  /// Records that a VM has accepted a task. An order does not suffice: it may
  /// be lost or rejected, and the job would be reported as running to callers
  /// and as not waiting to operators. Returns whether the phase changed.
  bool MarkRunning();
  /// Returns the task to the waiting phase after a run that had no effect.
  void MarkWaiting(const task_name& name);
  /// Applies the end of a run that a VM has listed. Returns false, and changes
  /// nothing, if the end is recorded already or the task is done.
  bool ApplyEnd(const task_name& name,
                std::uint32_t run,
                end_kind how,
                const std::string& checkpoint,
                const vm_id& vm);
  /// Presumes the end of a run that no VM can be running any more. Returns
  /// false if its end is recorded already or the task is done.
  bool PresumeEnd(const task_name& name, std::uint32_t run);
  /// Counts a run that was, or may have been, lost with its VM against the
  /// task. Replaces what was counted for the same run before. The job fails
  /// when the task is certain to crash its VMs. Returns whether anything
  /// changed.
  bool CountLoss(const task_name& name, const run_loss& loss);
  /// Withdraws the losses that were counted for runs on an incarnation of a VM
  /// that proves to be running. Returns false if there were none.
  bool WithdrawLosses(const vm_id& vm, const vm_incarnation& incarnation);
  /// Clears the losses of a long-running task that is ready. Returns false if
  /// there were none.
  bool ClearLosses(const task_name& name);
  /// Returns whether any task may have losses.
  bool HasLosses() const { return has_losses_; }
  void Cancel() { Finish(job_phase::kCancelled); }

 private:
  /// Returns whether the job has, or had, a task of this name.
  bool IsValid(const task_name& name) const;
  /// Applies the end of a run for which a later end, or a presumed one, is
  /// known.
  bool ApplyLate(const task_name& name,
                 job_task_state* task,
                 std::uint32_t run,
                 end_kind how);
  void CompleteTask(const task_name& name);
  /// Returns false if the failure was counted before.
  bool CountFailure(const task_name& name,
                    job_task_state* task,
                    std::uint32_t run);
  void Finish(job_phase phase);
  /// Returns the occurrence, which it opens unless it is open. Precondition: it
  /// is not done.
  occurrence_state* Open(std::uint32_t occurrence);
  step_state* TrackStep(const step_ref& step);
  /// Marks the tasks from `begin` to `end`, which is excluded, as done.
  /// Does nothing unless the occurrence is open. Closes it if it is done then.
  void MarkDone(const step_ref& step, std::uint32_t begin, std::uint32_t end);
  void CompleteStep(const step_ref& step);
  bool IsReady(const occurrence_state& occurrence, std::uint32_t step) const;
  void MakeReady(const step_ref& step);
  /// Updates what depends on the number of waiting tasks of a step. Does
  /// nothing if the step is not ready.
  void NoteWaiting(const step_ref& step,
                   std::uint32_t before,
                   std::uint32_t after);
  duration FindRemainingChain(const occurrence_state& occurrence) const;
  duration FindLongestChain() const;
  void CheckCompletion();
  void RestoreDone(const done_ranges& done);
  /// Marks the open occurrences of the range as done.
  void CompleteOpen(const done_occurrences& range);
  void RestoreTask(const task_record& record);
  /// Appends the tasks that are not done and must be recorded.
  void AppendLive(std::vector<task_record>* tasks) const;
  done_ranges DoneRanges() const;
  /// Appends the tasks of the ranges, one by one.
  void AppendDone(const done_ranges& done,
                  std::vector<task_record>* tasks) const;
  /// Returns what is reserved in the record for each tracked task.
  std::size_t ReservedBytes() const;
  /// Updates `record_bytes_` and `extra_record_bytes_`.
  void NoteRecordSize(const job_progress& progress);

  std::shared_ptr<const job_spec> spec_;
  duration longest_chain_;
  std::uint64_t tasks_per_occurrence_ = 0;
  queue_policy policy_;
  time_point arrived_at_;
  time_point submitted_at_;
  time_point deadline_;
  job_phase phase_ = job_phase::kQueued;
  std::optional<time_point> started_at_;
  wait_time_tracker waits_;
  std::uint32_t repeated_runs_ = 0;
  bool is_inherited_ = false;
  bool is_given_up_ = false;
  /// Whether any task may have losses.
  bool has_losses_ = false;
  std::map<std::uint32_t, occurrence_state> occurrences_;
  index_ranges done_occurrences_;
  /// The open occurrences that have waiting steps.
  std::set<std::uint32_t> waiting_occurrences_;
  /// The number of open occurrences of which no task has started.
  std::uint32_t unstarted_ = 0;
  std::uint64_t waiting_ = 0;
  std::uint64_t placed_ = 0;
  std::uint64_t done_ = 0;
  std::uint64_t ready_long_running_ = 0;
  std::size_t tracked_ = 0;
  /// The bytes of the newest record, and those beyond what is reserved for each
  /// tracked task.
  std::size_t record_bytes_ = 0;
  std::size_t extra_record_bytes_ = 0;
  /// The number of the first occurrence that was not opened by its due time.
  std::uint32_t opened_ = 0;
  /// See `job_progress`.
  std::uint32_t unreported_runs_ = 0;
  bool has_skipped_runs_ = false;
  std::uint64_t starts_after_batch_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_JOB_STATE_H_
