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

enum class task_phase {
  /// To be started as soon as its step may.
  kWaiting,
  /// A run of it is, or may be, on a VM.
  kPlaced,
  kDone,
};

struct job_task_state {
  task_phase phase = task_phase::kWaiting;
  /// Highest run that was ever ordered or listed.
  std::uint32_t last_run = 0;
  /// See `task_record`.
  std::uint32_t ended_run = 0;
  std::vector<std::uint32_t> failed_runs;
  bool is_presumed = false;
  std::string checkpoint;
  /// See `task_record`.
  std::vector<run_loss> losses;
  /// It may start only after this batch is stored; see `LapseSilentVms`.
  std::uint64_t starts_after_batch = 0;
  /// Where its last run failed; the next one goes elsewhere before
  /// `failed_until`.
  vm_id failed_on;
  time_point failed_until;
};

struct step_state {
  std::vector<job_task_state> tasks;
  std::uint32_t done = 0;
  std::uint32_t placed = 0;

  std::uint32_t Waiting() const {
    return static_cast<std::uint32_t>(tasks.size()) - done - placed;
  }
  bool IsDone() const { return done == tasks.size(); }
};

struct occurrence_state {
  std::vector<step_state> steps;
  /// What `RemainingChain` has found since a task was done.
  std::optional<duration> remaining_chain;
};

/// One accepted job and how far it is. Not thread-safe.
class job_state {
 public:
  /// Preconditions: `spec` is set and has a step; `arrived_at` is when this
  /// process learned of the job, and `submitted_at`, which isn't later, when
  /// its caller handed it in.
  job_state(std::shared_ptr<const job_spec> spec,
            const queue_policy& policy,
            time_point arrived_at,
            time_point submitted_at);

  const job_spec& spec() const { return *spec_; }
  const std::shared_ptr<const job_spec>& shared_spec() const { return spec_; }
  const queue_policy& policy() const { return policy_; }
  void SetPolicy(const queue_policy& policy);
  job_phase phase() const { return phase_; }
  /// When the job should have ended, by its caller's estimates.
  time_point deadline() const { return deadline_; }
  /// Tells only whether an earlier owner may have started the job. What its
  /// caller sees counts from `submitted_at`.
  time_point arrived_at() const { return arrived_at_; }
  time_point submitted_at() const { return submitted_at_; }
  /// Notes that an earlier owner had accepted the job.
  void MarkInherited() { is_inherited_ = true; }
  /// Notes that a task was ordered to start.
  void MarkStarted(time_point now) {
    if (!started_at_) {
      started_at_ = now;
    }
  }
  /// Notes what its tasks wait for from now on.
  void NoteWait(std::optional<wait_cause> cause, time_point now) {
    waits_.SetCause(cause, now);
  }
  /// Returns whether a task waits whose step is open.
  bool HasWaiting() const;
  job_result Result() const;

  /// Takes over what an earlier owner recorded.
  void Restore(const job_progress& progress);
  /// Returns what must outlast this process.
  job_progress Progress() const;

  /// Opens the occurrences that are due by `wall_now`. Returns whether there
  /// are any.
  bool OpenDue(time_point wall_now);
  /// Returns when the next occurrence opens, on the wall clock, or nothing.
  std::optional<time_point> NextDue() const;

  std::map<std::uint32_t, occurrence_state>& occurrences() {
    return occurrences_;
  }
  /// Returns the task, or null when the job has none of this name (any more).
  job_task_state* Find(const task_name& name);
  const step_spec& StepOf(const task_name& name) const {
    return spec_->steps[name.step];
  }
  /// Returns whether all steps that `step` depends on are done.
  bool IsOpen(const occurrence_state& occurrence, std::uint32_t step) const;
  /// Returns an estimate of the work left on the longest chain.
  duration RemainingChain(occurrence_state* occurrence) const;
  bool HasOccurrence() const { return !occurrences_.empty(); }

  /// Leaves out `count` run numbers that an earlier owner may have given, once
  /// in this object's life. Returns true when it is news.
  bool SkipUnreportedRuns(std::uint32_t count);
  /// Lets no task start before the batch is stored.
  void HoldUntilStored(std::uint64_t batch) { starts_after_batch_ = batch; }
  std::uint64_t starts_after_batch() const { return starts_after_batch_; }
  /// Notes that a VM has told of the run, of which nothing else is known.
  void NoteReportedRun(const task_name& name, std::uint32_t run);
  /// Returns the number that the next run of the task gets.
  std::uint32_t NextRun(const job_task_state& task) const {
    return std::max(task.last_run, unreported_runs_) + 1;
  }
  void MarkPlaced(const task_name& name, std::uint32_t run);
  /// Notes that a VM has taken a task. An order alone doesn't make a job run:
  /// it may be lost or refused, and callers would be told that the job runs,
  /// and operators that it doesn't wait. Returns true when it is news.
  bool MarkRunning();
  /// The run is over without effect; the task waits again.
  void MarkWaiting(const task_name& name);
  /// Takes the end of a run that a VM has listed. Returns false when it was
  /// recorded before, and nothing changed.
  bool ApplyEnd(const task_name& name,
                std::uint32_t run,
                end_kind how,
                const std::string& checkpoint,
                const vm_id& vm);
  /// Takes a run for ended that no VM can be running. Returns false when its
  /// end was recorded before.
  bool PresumeEnd(const task_name& name, std::uint32_t run);
  /// Counts a run against the task that was, or may have been, lost with its
  /// VM. What was counted for the run before is replaced. The job fails when
  /// the task is certain to crash its VMs. Returns false when it is no news.
  bool CountLoss(const task_name& name, const run_loss& loss);
  /// Takes back what was counted for runs on a VM of which this life turns out
  /// to live. Returns false when nothing was.
  bool WithdrawLosses(const vm_id& vm, const vm_incarnation& incarnation);
  /// Forgets what counts against a lasting task that is at work. Returns false
  /// when nothing did.
  bool ClearLosses(const task_name& name);
  /// Returns whether something may count against a task.
  bool HasLosses() const { return has_losses_; }
  void Cancel() { Finish(job_phase::kCancelled); }

 private:
  /// Takes an end of a run for which a later end, or a presumed one, is known.
  bool ApplyLate(const task_name& name,
                 job_task_state* task,
                 std::uint32_t run,
                 end_kind how);
  void CompleteTask(const task_name& name, job_task_state* task);
  /// Returns false when the failure was counted before, or the task is done.
  bool CountFailure(const task_name& name,
                    job_task_state* task,
                    std::uint32_t run);
  void Finish(job_phase phase);
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
  /// Some task may have losses.
  bool has_losses_ = false;
  std::map<std::uint32_t, occurrence_state> occurrences_;
  std::uint32_t opened_ = 0;
  /// See `job_progress`.
  std::uint32_t unreported_runs_ = 0;
  bool has_skipped_runs_ = false;
  std::uint64_t starts_after_batch_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_JOB_STATE_H_
