#ifndef PLANTAINHEAD_CORE_JOBS_JOB_TYPES_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "plantainhead/core/jobs/run_loss.h"
#include "plantainhead/core/jobs/vm_life.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

/// Defines jobs: steps of tasks that run on the VMs of one pool.
namespace plantainhead::core::jobs {

/// Identifies a job. The caller chooses it, and it is the idempotency key of
/// the submission.
using job_id = std::string;
/// Identifies a pool of VMs that serve the same queues.
using pool_id = std::string;
using queue_id = std::string;

/// An amount of the resources that a VM provides and a task requires.
struct resources {
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool operator==(const resources&) const = default;
};

/// Returns whether `need` fits into `room` in all three resources.
inline bool Fits(const resources& need, const resources& room) {
  return need.cpu_millis <= room.cpu_millis &&
         need.memory_mb <= room.memory_mb && need.gpus <= room.gpus;
}

inline resources operator+(const resources& a, const resources& b) {
  return {a.cpu_millis + b.cpu_millis, a.memory_mb + b.memory_mb,
          a.gpus + b.gpus};
}

inline resources operator-(const resources& a, const resources& b) {
  return {a.cpu_millis - b.cpu_millis, a.memory_mb - b.memory_mb,
          a.gpus - b.gpus};
}

/// Describes a group of identical tasks of a job that may start together.
struct step_spec {
  std::uint32_t task_count = 1;
  /// The resources that one task requires.
  resources need;
  /// The caller's estimate of the run time of one task. It may be far off.
  duration estimate = duration::zero();
  /// Indices of earlier steps that must be complete before this one starts.
  std::vector<std::uint32_t> depends_on;
  /// Whether a stopped task can resume from its checkpoint.
  bool checkpoints = false;
  /// Whether all tasks must run at the same time and end together.
  bool gang = false;
  /// Whether the tasks of a gang are slow unless they all run in one rack.
  bool same_rack = false;
  /// The label that a VM must have. Empty: any VM is suitable.
  std::string required_label;
  /// The rack that holds the data; a task runs more slowly in other racks.
  /// Empty: no preference.
  std::string preferred_rack;
  /// The maximum number of tasks of the step on one VM. 0: no limit.
  std::uint32_t max_per_vm = 0;
  /// Whether copies of a task may run concurrently.
  bool speculative = false;
  /// Whether the tasks run until the job is cancelled.
  bool long_running = false;
  /// The image of the tasks. Tasks of the same image have similar behavior.
  std::string image;
  /// The limit for the tail latency of a task that serves users. Zero: the task
  /// serves no users.
  duration latency_target = duration::zero();
  /// Whether the tasks use only the processor time that other tasks leave idle.
  /// Only their memory and accelerators count against the capacity of a VM.
  bool best_effort = false;
  /// The number of tasks of a long-running step that may be down at the same
  /// time for planned reasons.
  std::uint32_t max_unavailable = 0;
};

/// Defines when the occurrences of a repeated job are due.
struct job_schedule {
  /// The wall-clock time of the first occurrence.
  time_point first_due;
  duration interval = duration::zero();
  std::uint32_t count = 1;
};

/// Describes a submitted job and the pool that was chosen for it.
struct job_spec {
  job_id id;
  queue_id queue;
  /// The pool is chosen when the job is accepted. The job stays in it when the
  /// queue moves to another pool.
  pool_id pool;
  /// Passed to each task unchanged.
  std::string payload;
  std::vector<step_spec> steps;
  std::optional<job_schedule> schedule;
  /// The wall-clock time, in milliseconds, at which a process accepted the job.
  /// Empty if the record does not contain it.
  std::optional<time_point> submitted_at = std::nullopt;
};

/// The scheduling policy that operators configure for a queue.
struct queue_policy {
  /// Queues with a lower value are scheduled first.
  std::int32_t priority = 0;
  /// The number of failed runs of a task after which its job fails. At least 1.
  std::uint32_t max_attempts = 1;
  /// A job should end within this multiple of the length of its critical path,
  double stretch = 1.0;
  /// plus this duration.
  duration latency_target = duration::zero();

  bool operator==(const queue_policy&) const = default;
};

/// The phase of a job from its submission to its end.
enum class job_phase {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

inline constexpr name_table<job_phase, 5> kJobPhaseNames = {{
    {job_phase::kQueued, "queued"},
    {job_phase::kRunning, "running"},
    {job_phase::kCompleted, "completed"},
    {job_phase::kFailed, "failed"},
    {job_phase::kCancelled, "cancelled"},
}};
inline constexpr const auto& NamesOf(job_phase) {
  return kJobPhaseNames;
}

/// Returns whether a job in this phase has ended permanently.
inline bool IsFinal(job_phase phase) {
  return phase == job_phase::kCompleted || phase == job_phase::kFailed ||
         phase == job_phase::kCancelled;
}

/// Identifies one task of one occurrence of a job.
struct task_name {
  job_id job;
  /// 0 for a job that is not repeated.
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const task_name&) const = default;
  friend bool operator<(const task_name& a, const task_name& b) {
    return std::tie(a.job, a.occurrence, a.step, a.index) <
           std::tie(b.job, b.occurrence, b.step, b.index);
  }
};

/// The state of a task that is stored so that it survives a change of the owner
/// of its job.
struct task_record {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  /// The highest run whose end is recorded here. If a VM lists that end again,
  /// it is a duplicate.
  std::uint32_t ended_run = 0;
  /// Runs that failed, in the order in which VMs reported them, which is
  /// arbitrary.
  std::vector<std::uint32_t> failed_runs;
  bool done = false;
  std::string checkpoint;
  /// No VM has reported how `ended_run` ended, because its VM did not answer or
  /// did not have the run.
  bool is_presumed = false;
  /// Runs that count against the task because their VMs were lost.
  std::vector<run_loss> losses = {};

  bool operator==(const task_record&) const = default;
};

/// Consecutive occurrences of a job that are done, from `begin` to `end`, which
/// is excluded.
struct done_occurrences {
  std::uint32_t begin = 0;
  std::uint32_t end = 0;

  bool operator==(const done_occurrences&) const = default;
};

/// Like `done_occurrences`, for steps of an occurrence.
struct done_steps {
  std::uint32_t occurrence = 0;
  std::uint32_t begin = 0;
  std::uint32_t end = 0;

  bool operator==(const done_steps&) const = default;
};

/// Like `done_occurrences`, for tasks of a step.
struct done_tasks {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t begin = 0;
  std::uint32_t end = 0;

  bool operator==(const done_tasks&) const = default;
};

/// The tasks of a job that are done, unless they are listed one by one.
struct done_ranges {
  std::vector<done_occurrences> occurrences;
  std::vector<done_steps> steps;
  std::vector<done_tasks> tasks;

  bool IsEmpty() const {
    return occurrences.empty() && steps.empty() && tasks.empty();
  }
  bool operator==(const done_ranges&) const = default;
};

/// The state of a job that is stored so that it survives a change of the owner.
/// In a final phase it contains no tasks.
struct job_progress {
  job_phase phase = job_phase::kQueued;
  std::vector<task_record> tasks;
  /// An earlier owner may have used run numbers up to this one on a VM that
  /// never reported those runs.
  std::uint32_t unreported_runs = 0;
  done_ranges done = {};

  bool operator==(const job_progress&) const = default;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_TYPES_H_
