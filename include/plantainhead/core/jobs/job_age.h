#ifndef PLANTAINHEAD_CORE_JOBS_JOB_AGE_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_AGE_H_

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Upper bound for the age of a job. An older job has missed its deadline in
/// any case, and a larger value is more likely caused by a clock that has
/// jumped.
inline constexpr duration kMaxAge = std::chrono::seconds(60);

/// Returns how long before `wall_now` the job was submitted. The result is
/// clamped to the range from zero to `kMaxAge`, since clocks differ and jump;
/// it is zero if the time of submission is unknown. Thread safety: safe from
/// any thread.
duration AgeOf(const job_spec& job, time_point wall_now);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_AGE_H_
