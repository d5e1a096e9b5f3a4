#include "plantainhead/core/jobs/job_result.h"

namespace plantainhead::core::jobs {

job_verdict VerdictOf(const job_result& result, time_point ended_at) {
  if (result.phase == job_phase::kFailed) {
    return result.is_given_up ? job_verdict::kGivenUp : job_verdict::kFailed;
  }
  if (result.phase == job_phase::kCancelled) {
    return job_verdict::kCancelled;
  }
  if (ended_at <= result.deadline) {
    return job_verdict::kInTime;
  }
  if (result.is_inherited) {
    return job_verdict::kOwnerChanged;
  }
  if (result.repeated_runs > 0) {
    return job_verdict::kRunsRepeated;
  }
  const time_point latest_start = result.deadline - result.critical_path;
  const bool began_late =
      !result.started_at || *result.started_at > latest_start;
  const bool has_waited = result.waits.total() >= ended_at - result.deadline;
  if (!began_late && !has_waited) {
    return job_verdict::kRanLong;
  }
  return result.waits.MainCause() == wait_cause::kCapacity
             ? job_verdict::kWaitedForCapacity
             : job_verdict::kWaitedForOwner;
}

}  // namespace plantainhead::core::jobs
