#ifndef PLANTAINHEAD_CORE_JOBS_JOB_AGE_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_AGE_H_

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// A job that is older has missed its target anyway, and a clock that has
/// jumped tells no more than this.
inline constexpr duration kMaxAge = std::chrono::seconds(60);

/// Returns how long before `wall_now` the job was handed in: at least zero and
/// at most `kMaxAge`, since clocks differ and jump; zero when it isn't known.
/// Thread safety: safe from any thread.
duration AgeOf(const job_spec& job, time_point wall_now);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_AGE_H_
