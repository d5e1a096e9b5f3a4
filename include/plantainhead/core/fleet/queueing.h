#ifndef PLANTAINHEAD_CORE_FLEET_QUEUEING_H_
#define PLANTAINHEAD_CORE_FLEET_QUEUEING_H_

#include <cstdint>

/// Queueing model (M/M/n, Erlang C) that computes the number of slots for a
/// load: equal servers with random arrivals and service times.
namespace plantainhead::core {

/// Returns the probability that an arrival has to wait when on average `load`
/// of `slots` slots are busy; 1 if the load exceeds the slots. Thread safety:
/// safe from any thread.
double WaitProbability(double load, std::uint32_t slots);

/// Returns the minimum number of slots with which at most the share
/// `late_share` in (0, 1] of the requests waits longer than `max_wait` mean
/// service times. Returns 0 if there is no load. Thread safety: safe from any
/// thread.
std::uint32_t RequiredSlots(double load, double late_share, double max_wait);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_QUEUEING_H_
