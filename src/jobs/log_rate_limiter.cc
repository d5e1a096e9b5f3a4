#include "jobs/log_rate_limiter.h"

#include <utility>

namespace plantainhead::jobs {

line_budget::verdict line_budget::Take(core::time_point now,
                                       unsigned most,
                                       core::duration window) {
  verdict found;
  if (now - began_ >= window) {
    began_ = now;
    written_ = 0;
    found.left_out = std::exchange(left_out_, 0);
  }
  found.is_written = written_ < most;
  ++(found.is_written ? written_ : left_out_);
  return found;
}

}  // namespace plantainhead::jobs
