#ifndef PLANTAINHEAD_CORE_TIME_H_
#define PLANTAINHEAD_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace plantainhead::core {

using duration = std::chrono::microseconds;

/// Clock type for the times passed to the decision logic. It has no `now()`:
/// each event is delivered with its time. The adapter reads the wall clock once
/// at process start and adds the time elapsed on the steady clock. Time
/// therefore never goes backwards within a process and stays comparable with
/// the dates that operators write.
struct clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = core::duration;
  using time_point = std::chrono::time_point<clock>;
  static constexpr bool is_steady = true;
};

/// Microseconds since 1970-01-01 UTC.
using time_point = clock::time_point;

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_TIME_H_
