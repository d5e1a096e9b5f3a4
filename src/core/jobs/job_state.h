#ifndef PLANTAINHEAD_SRC_CORE_JOBS_JOB_STATE_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_JOB_STATE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plantainhead/core/jobs/job_result.h"
#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/vm_reports.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

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
  /// The VM on which the last run failed. The next run avoids it until
  /// `failed_until`.
  vm_id failed_on;
  time_point failed_until;
};

/// Tracks one step of an occurrence of a job.
struct step_state {
  std::vector<job_task_state> tasks;
  std::uint32_t done = 0;
  std::uint32_t placed = 0;

  std::uint32_t Waiting() const {
    return static_cast<std::uint32_t>(tasks.size()) - done - placed;
  }
  bool IsDone() const { return done == tasks.size(); }
};

/// Tracks one occurrence of a job.
struct occurrence_state {
  std::vector<step_state> steps;
  /// The cached result of `RemainingChain`; reset when a step is done.
  std::optional<duration> remaining_chain;
};

/// Tracks one accepted job and the progress of its tasks. Not thread-safe.
class job_state {
 public:
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
  bool HasWaiting() const;
  job_result Result() const;

  /// Restores the state that an earlier owner recorded.
  void Restore(const job_progress& progress);
  /// Returns the state that must survive this process.
  job_progress Progress() const;

  /// Opens the occurrences that are due by `wall_now`. Returns whether there
  /// were any.
  bool OpenDue(time_point wall_now);
  /// Opens the occurrence of a task that a VM lists: an earlier owner has
  /// opened it. Returns false, and changes nothing, if it was open, if the job
  /// has ended, or if the job has no such task.
  bool OpenListed(const task_name& name);
  /// Returns the wall-clock time at which the next occurrence opens, if there
  /// is one.
  std::optional<time_point> NextDue() const;

  std::map<std::uint32_t, occurrence_state>& occurrences() {
    return occurrences_;
  }
  /// Returns the task, or null if the job has no task of this name (any more).
  job_task_state* Find(const task_name& name);
  const step_spec& StepOf(const task_name& name) const {
    return spec_->steps[name.step];
  }
  /// Returns whether all steps that `step` depends on are done.
  bool IsOpen(const occurrence_state& occurrence, std::uint32_t step) const;
  /// Returns the estimated duration of the remaining critical path.
  duration RemainingChain(occurrence_state* occurrence) const;
  bool HasOccurrence() const { return !occurrences_.empty(); }

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
  /// nothing, if the end is recorded already.
  bool ApplyEnd(const task_name& name,
                std::uint32_t run,
                end_kind how,
                const std::string& checkpoint,
                const vm_id& vm);
  /// Presumes the end of a run that no VM can be running any more. Returns
  /// false if its end is recorded already.
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
  /// Applies the end of a run for which a later end, or a presumed one, is
  /// known.
  bool ApplyLate(const task_name& name,
                 job_task_state* task,
                 std::uint32_t run,
                 end_kind how);
  void CompleteTask(const task_name& name, job_task_state* task);
  /// Returns false if the failure was counted before or the task is done.
  bool CountFailure(const task_name& name,
                    job_task_state* task,
                    std::uint32_t run);
  void Finish(job_phase phase);
  /// Does nothing if the occurrence is open.
  void Open(std::uint32_t occurrence);
  void MarkDone(step_state* step, job_task_state* task);
  duration FindRemainingChain(const occurrence_state& occurrence) const;
  void CheckCompletion();
  duration LongestChain() const;

  std::shared_ptr<const job_spec> spec_;
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
  /// The number of the first occurrence that was not opened by its due time.
  std::uint32_t opened_ = 0;
  /// See `job_progress`.
  std::uint32_t unreported_runs_ = 0;
  bool has_skipped_runs_ = false;
  std::uint64_t starts_after_batch_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_JOB_STATE_H_
