#include "jobs/log_rate_limiter.h"

#include <utility>

namespace plantainhead::jobs {

log_rate_limiter::decision log_rate_limiter::Acquire(core::time_point now,
                                                     unsigned max_lines,
                                                     core::duration window) {
  decision result;
  if (now - window_start_ >= window) {
    window_start_ = now;
    written_lines_ = 0;
    result.suppressed_lines = std::exchange(suppressed_lines_, 0);
  }
  result.is_allowed = written_lines_ < max_lines;
  ++(result.is_allowed ? written_lines_ : suppressed_lines_);
  return result;
}

}  // namespace plantainhead::jobs
