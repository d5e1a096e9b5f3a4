#ifndef PLANTAINHEAD_SRC_JOBS_LOG_RATE_LIMITER_H_
#define PLANTAINHEAD_SRC_JOBS_LOG_RATE_LIMITER_H_

#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// Bounds how many lines of one kind are written: so many in each window of
/// time. A window begins with the first line after the last one's end.
/// Pure: it doesn't look at a clock. Not thread-safe.
class log_rate_limiter {
 public:
  /// What to do about one line.
  struct decision {
    bool is_allowed = false;
    /// Lines that the window before left out and that are to be told of now.
    unsigned suppressed_lines = 0;

    friend bool operator==(const decision&, const decision&) = default;
  };

  decision Acquire(core::time_point now,
                   unsigned max_lines,
                   core::duration window);

 private:
  core::time_point window_start_;
  unsigned written_lines_ = 0;
  unsigned suppressed_lines_ = 0;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_LOG_RATE_LIMITER_H_
