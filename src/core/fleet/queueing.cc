#include "plantainhead/core/fleet/queueing.h"

#include <algorithm>
#include <cmath>

namespace plantainhead::core {
namespace {

/// Returns the Erlang B blocking probability, computed by its recurrence.
double BlockingProbability(double load, std::uint32_t slots) {
  double blocking = 1.0;
  for (std::uint32_t n = 1; n <= slots; ++n) {
    blocking = load * blocking / (n + load * blocking);
  }
  return blocking;
}

double WaitFromBlocking(double load, std::uint32_t slots, double blocking) {
  const double utilization = load / slots;
  if (utilization >= 1.0) {
    return 1.0;
  }
  return blocking / (1.0 - utilization * (1.0 - blocking));
}

}  // namespace

double WaitProbability(double load, std::uint32_t slots) {
  if (load <= 0.0) {
    return 0.0;
  }
  if (slots == 0) {
    return 1.0;
  }
  return WaitFromBlocking(load, slots, BlockingProbability(load, slots));
}

std::uint32_t RequiredSlots(double load, double late_share, double max_wait) {
  if (load <= 0.0) {
    return 0;
  }
  auto slots = static_cast<std::uint32_t>(std::floor(load)) + 1;
  double blocking = BlockingProbability(load, slots);
  const double wait_limit = std::max(0.0, max_wait);
  while (true) {
    const double waits = WaitFromBlocking(load, slots, blocking);
    const double late = waits * std::exp(-(slots - load) * wait_limit);
    if (late <= late_share) {
      return slots;
    }
    ++slots;
    blocking = load * blocking / (slots + load * blocking);
  }
}

}  // namespace plantainhead::core
