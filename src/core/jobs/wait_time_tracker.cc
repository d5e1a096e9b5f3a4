#include "plantainhead/core/jobs/wait_time_tracker.h"

#include <algorithm>
#include <numeric>

namespace plantainhead::core::jobs {

void wait_time_tracker::SetCause(std::optional<wait_cause> cause,
                                 time_point now) {
  if (cause_) {
    waited_.at(static_cast<std::size_t>(*cause_)) += now - since_;
  }
  cause_ = cause;
  since_ = now;
}

duration wait_time_tracker::total() const {
  return std::accumulate(waited_.begin(), waited_.end(), duration::zero());
}

wait_cause wait_time_tracker::MainCause() const {
  const auto longest = std::max_element(waited_.begin(), waited_.end());
  return static_cast<wait_cause>(longest - waited_.begin());
}

}  // namespace plantainhead::core::jobs
