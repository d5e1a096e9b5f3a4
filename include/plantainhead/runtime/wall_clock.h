#ifndef PLANTAINHEAD_RUNTIME_WALL_CLOCK_H_
#define PLANTAINHEAD_RUNTIME_WALL_CLOCK_H_

#include <chrono>

#include "plantainhead/core/time.h"

namespace plantainhead::runtime {

/// The process's clock: the wall clock as read once, plus the steady clock's
/// time since. A wall clock that is set back while the process runs would make
/// deadlines jump; this one never goes back.
class wall_clock {
 public:
  wall_clock();

  /// Returns the time in microseconds since 1970-01-01 UTC.
  /// Thread safety: safe from any thread.
  core::time_point Now() const;

 private:
  core::time_point wall_start_;
  std::chrono::steady_clock::time_point steady_start_;
};

}  // namespace plantainhead::runtime

#endif  // PLANTAINHEAD_RUNTIME_WALL_CLOCK_H_
