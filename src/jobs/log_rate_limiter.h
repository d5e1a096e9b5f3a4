#ifndef PLANTAINHEAD_SRC_JOBS_LOG_RATE_LIMITER_H_
#define PLANTAINHEAD_SRC_JOBS_LOG_RATE_LIMITER_H_

#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// Limits the number of log lines of one kind per time window, and counts the
/// suppressed lines. A window starts with the first line after the end of the
/// previous window. Pure: it reads no clock. Not thread-safe.
class log_rate_limiter {
 public:
  /// Decision on one line.
  struct decision {
    bool is_allowed = false;
    /// Number of lines suppressed in the previous window, to be logged now.
    unsigned suppressed_lines = 0;

    friend bool operator==(const decision&, const decision&) = default;
  };

  /// Decides whether a line may be logged at `now`, with at most `max_lines`
  /// per `window`.
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
