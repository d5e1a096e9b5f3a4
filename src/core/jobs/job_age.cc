#include "plantainhead/core/jobs/job_age.h"

#include <algorithm>

namespace plantainhead::core::jobs {

duration AgeOf(const job_spec& job, time_point wall_now) {
  if (!job.submitted_at) {
    return duration::zero();
  }
  return std::clamp(wall_now - *job.submitted_at, duration::zero(), kMaxAge);
}

}  // namespace plantainhead::core::jobs
