#ifndef PLANTAINHEAD_CORE_JOBS_JOB_RESULT_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_RESULT_H_

#include <cstdint>
#include <optional>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/wait_time_tracker.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// How a job went, as its last owner saw it.
struct job_result {
  job_id id;
  queue_id queue;
  job_phase phase = job_phase::kCompleted;
  /// When its caller handed it in; where that isn't known, when this owner
  /// learned of it.
  time_point arrived_at;
  /// When its first task was ordered to start; none if none was.
  std::optional<time_point> started_at;
  /// When it should have ended.
  time_point deadline;
  /// The estimate of its longest chain of work.
  duration critical_path = duration::zero();
  /// What its tasks waited for.
  wait_time_tracker waits;
  /// Runs that failed, lapsed, or were stopped to run elsewhere.
  std::uint32_t repeated_runs = 0;
  /// It was accepted under an earlier owner, whose waits and repeated runs
  /// aren't told here.
  bool is_inherited = false;
  /// It failed since VMs were lost under one of its tasks again and again.
  bool is_given_up = false;
};

/// What spent the time of a job that missed its target, or that it missed none.
enum class job_verdict {
  kInTime,
  /// Its tasks used up their attempts.
  kFailed,
  /// One of its tasks crashes the VMs that start it.
  kGivenUp,
  kCancelled,
  /// It changed its owner on the way.
  kOwnerChanged,
  /// Runs of it were lost or failed and were repeated.
  kRunsRepeated,
  /// Without the waits of its tasks it would have been in time, or its first
  /// task started too late for what its caller estimated; mostly no VM had
  /// room.
  kWaitedForCapacity,
  /// The same, but mostly the owner of its pool started nothing.
  kWaitedForOwner,
  /// It took longer than its caller estimated, apart from what it waited.
  kRanLong,
};

inline constexpr name_table<job_verdict, 9> kJobVerdictNames = {{
    {job_verdict::kInTime, "in time"},
    {job_verdict::kFailed, "failed"},
    {job_verdict::kGivenUp, "given up, crashes VMs"},
    {job_verdict::kCancelled, "cancelled"},
    {job_verdict::kOwnerChanged, "late, owner changed"},
    {job_verdict::kRunsRepeated, "late, runs repeated"},
    {job_verdict::kWaitedForCapacity, "late, waited for room"},
    {job_verdict::kWaitedForOwner, "late, waited for its owner"},
    {job_verdict::kRanLong, "late, ran long"},
}};
inline constexpr const auto& NamesOf(job_verdict) {
  return kJobVerdictNames;
}

/// Returns what became of the job's target, when it ended at `ended_at`. Of
/// several causes the first in the order above counts, since it brings the
/// others about. Thread safety: safe from any thread.
job_verdict VerdictOf(const job_result& result, time_point ended_at);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_RESULT_H_
