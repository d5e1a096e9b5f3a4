#ifndef PLANTAINHEAD_CORE_TIME_H_
#define PLANTAINHEAD_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace plantainhead::core {

using duration = std::chrono::microseconds;

/// The clock of the decisions. It has no `now()`: every event comes with its
/// time. The adapter reads the wall clock once at its start and adds the time
/// of the steady clock, so that the time never goes back within a process and
/// still compares with dates that operators write.
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
