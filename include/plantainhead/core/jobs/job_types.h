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

/// Jobs: steps of tasks that run on the VMs of one pool.
namespace plantainhead::core::jobs {

/// The caller's name of a job; it is the idempotency key of the submission.
using job_id = std::string;
/// A pool of VMs that serve the same queues.
using pool_id = std::string;
using queue_id = std::string;

/// An amount of the three resources that a VM has and a task takes.
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

/// Like tasks of a job that may start together.
struct step_spec {
  std::uint32_t task_count = 1;
  /// Of one task.
  resources need;
  /// The caller's guess of a task's run time; may be far off.
  duration estimate = duration::zero();
  /// Numbers of earlier steps that must be complete first.
  std::vector<std::uint32_t> depends_on;
  /// A stopped task can resume from its checkpoint.
  bool checkpoints = false;
  /// All tasks must run at the same time, and end together.
  bool gang = false;
  /// The tasks of a gang are slow unless all are in one rack.
  bool same_rack = false;
  /// Empty: any VM.
  std::string required_label;
  /// The rack that holds the data; elsewhere a task is slower. Empty: none.
  std::string preferred_rack;
  /// Most tasks of the step on one VM; 0: no limit.
  std::uint32_t max_per_vm = 0;
  /// Copies of a task may run side by side.
  bool speculative = false;
  /// The tasks run until the job is cancelled.
  bool long_running = false;
  /// Tasks of the same image behave alike.
  std::string image;
  /// A task that serves users must keep its tail latency below this; zero: the
  /// task serves nobody.
  duration latency_target = duration::zero();
  /// The tasks take processor time that others leave; only their memory and
  /// accelerators count against a VM's capacity.
  bool best_effort = false;
  /// Tasks of a lasting step that may be down at once for planned reasons.
  std::uint32_t max_unavailable = 0;
};

/// When the occurrences of a repeated job are due.
struct job_schedule {
  /// Wall time of the first one.
  time_point first_due;
  duration interval = duration::zero();
  std::uint32_t count = 1;
};

struct job_spec {
  job_id id;
  queue_id queue;
  /// Chosen when the job is accepted; it stays when the queue moves elsewhere.
  pool_id pool;
  /// Handed to each task as it is.
  std::string payload;
  std::vector<step_spec> steps;
  std::optional<job_schedule> schedule;
  /// Wall time, to the millisecond, at which a process took the job in; nothing
  /// where its record doesn't tell.
  std::optional<time_point> submitted_at = std::nullopt;
};

/// What operators ask of a queue.
struct queue_policy {
  /// 0 goes first.
  std::int32_t priority = 0;
  /// Failed runs after which a task's job fails. At least 1.
  std::uint32_t max_attempts = 1;
  /// A job should end within this multiple of its longest chain of work ...
  double stretch = 1.0;
  /// ... and this much more.
  duration latency_target = duration::zero();
};

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

/// Returns whether a job in this phase has ended for good.
inline bool IsFinal(job_phase phase) {
  return phase == job_phase::kCompleted || phase == job_phase::kFailed ||
         phase == job_phase::kCancelled;
}

/// Names one task of one occurrence of a job.
struct task_name {
  job_id job;
  /// 0 for a job that isn't repeated.
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const task_name&) const = default;
  friend bool operator<(const task_name& a, const task_name& b) {
    return std::tie(a.job, a.occurrence, a.step, a.index) <
           std::tie(b.job, b.occurrence, b.step, b.index);
  }
};

/// What must outlast the owner of a job about one of its tasks.
struct task_record {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  /// The highest run whose end is recorded here. A VM that lists that end again
  /// brings nothing new.
  std::uint32_t ended_run = 0;
  /// Runs that ended as failed, in any order. VMs tell of them in any order.
  std::vector<std::uint32_t> failed_runs;
  bool done = false;
  std::string checkpoint;
  /// No VM has listed how `ended_run` ended: its VM was silent or didn't have
  /// it.
  bool is_presumed = false;
  /// Runs that count against the task because their VMs were lost.
  std::vector<run_loss> losses = {};

  bool operator==(const task_record&) const = default;
};

/// What must outlast the owner of a job. A final phase has no tasks.
struct job_progress {
  job_phase phase = job_phase::kQueued;
  std::vector<task_record> tasks;
  /// Runs up to this number may have been given by an earlier owner, on a VM
  /// that never told of them.
  std::uint32_t unreported_runs = 0;

  bool operator==(const job_progress&) const = default;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_TYPES_H_
