#ifndef PLANTAINHEAD_CORE_RANDOM_H_
#define PLANTAINHEAD_CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace plantainhead::core {

/// Pseudo-random number generator of the decision logic. The adapter seeds it,
/// so that a recorded session replays to the same decisions. Thread safety:
/// none; each core owns one.
using random_source = std::mt19937_64;

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_RANDOM_H_
