#ifndef PLANTAINHEAD_SRC_CORE_JITTER_H_
#define PLANTAINHEAD_SRC_CORE_JITTER_H_

#include "plantainhead/core/random.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Returns a random duration in [0, `greatest`].
/// `greatest` must not be negative. Thread safety: none; changes `random`.
inline duration Jitter(random_source& random, duration greatest) {
  const auto choices = static_cast<std::uint64_t>(greatest.count()) + 1;
  return duration(static_cast<duration::rep>(random() % choices));
}

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_JITTER_H_
