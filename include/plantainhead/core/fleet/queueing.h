#ifndef PLANTAINHEAD_CORE_FLEET_QUEUEING_H_
#define PLANTAINHEAD_CORE_FLEET_QUEUEING_H_

#include <cstdint>

/// How many slots a load needs, by the model of many equal servers with random
/// arrivals and service times (M/M/n, Erlang C).
namespace plantainhead::core {

/// Returns the probability that an arrival has to wait when `load` slots are
/// busy on average out of `slots`; 1 when the load doesn't fit.
/// Thread safety: safe from any thread.
double WaitProbability(double load, std::uint32_t slots);

/// Returns the fewest slots with which at most `late` (a share in (0, 1]) of
/// the requests wait longer than `patience` mean service times. Returns 0 for
/// no load. Thread safety: safe from any thread.
std::uint32_t RequiredSlots(double load, double late, double patience);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_QUEUEING_H_
