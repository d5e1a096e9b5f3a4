#ifndef PLANTAINHEAD_SRC_JOBS_LOG_RATE_LIMITER_H_
#define PLANTAINHEAD_SRC_JOBS_LOG_RATE_LIMITER_H_

#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// Bounds how many lines of one kind are written: so many in each window of
/// time. A window begins with the first line after the last one's end.
/// Pure: it doesn't look at a clock. Not thread-safe.
class line_budget {
 public:
  /// What to do about one line.
  struct verdict {
    bool is_written = false;
    /// Lines that the window before left out and that are to be told of now.
    unsigned left_out = 0;

    friend bool operator==(const verdict&, const verdict&) = default;
  };

  verdict Take(core::time_point now, unsigned most, core::duration window);

 private:
  core::time_point began_;
  unsigned written_ = 0;
  unsigned left_out_ = 0;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_LOG_RATE_LIMITER_H_
