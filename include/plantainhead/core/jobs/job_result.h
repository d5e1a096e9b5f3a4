#ifndef PLANTAINHEAD_CORE_JOBS_JOB_RESULT_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_RESULT_H_

#include <cstdint>
#include <optional>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/wait_time_tracker.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Outcome of a job as observed by its last owner.
struct job_result {
  job_id id;
  queue_id queue;
  job_phase phase = job_phase::kCompleted;
  /// When the caller submitted the job; if that is unknown, when this owner
  /// learned of it.
  time_point arrived_at;
  /// When the start of the first task was ordered; empty if none was ordered.
  std::optional<time_point> started_at;
  /// When the job should have ended.
  time_point deadline;
  /// Estimated duration of the longest chain of dependent steps.
  duration critical_path = duration::zero();
  /// How long its tasks waited, by cause.
  wait_time_tracker waits;
  /// Number of runs that failed, whose lease expired, or that were stopped to
  /// run elsewhere.
  std::uint32_t repeated_runs = 0;
  /// The job was accepted under an earlier owner, whose wait times and repeated
  /// runs are not included.
  bool is_inherited = false;
  /// The job failed because VMs were repeatedly lost while running one of its
  /// tasks.
  bool is_given_up = false;
};

/// Why a job missed its deadline or did not complete, or that it completed in
/// time.
enum class job_verdict {
  kInTime,
  /// Its tasks used up their attempts.
  kFailed,
  /// One of its tasks crashes the VMs that start it.
  kGivenUp,
  kCancelled,
  /// The ownership of the job changed while it was running.
  kOwnerChanged,
  /// Runs of it were lost or failed and were repeated.
  kRunsRepeated,
  /// It would have been in time without the wait times of its tasks, or its
  /// first task started too late for the caller's estimate, and most of the
  /// wait time was spent waiting for a VM with enough free capacity.
  kWaitedForCapacity,
  /// Like `kWaitedForCapacity`, but most of the wait time was spent waiting for
  /// the owner of its pool.
  kWaitedForOwner,
  /// It took longer than its caller estimated, not counting wait times.
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

/// Returns whether a job that ended at `ended_at` met its deadline, and
/// otherwise the cause. If several causes apply, the first one in the order of
/// the enumerators counts, since it brings about the others. Thread safety:
/// safe from any thread.
job_verdict VerdictOf(const job_result& result, time_point ended_at);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_RESULT_H_
