#ifndef PLANTAINHEAD_SRC_PLATFORM_BACKOFF_H_
#define PLANTAINHEAD_SRC_PLATFORM_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "plantainhead/core/time.h"

namespace plantainhead::platform {

/// Waits between tries that fail. Each is twice the one before, up to a limit,
/// less a random part of up to half: entries that all lost the platform at one
/// moment would otherwise come back at one moment and bring it down again.
/// Thread safety: none.
class backoff {
 public:
  backoff(core::duration first, core::duration greatest, std::uint64_t seed)
      : first_(first), greatest_(greatest), next_(first), random_(seed) {}

  /// Returns the next wait.
  core::duration Next() {
    const core::duration whole = std::min(next_, greatest_);
    next_ = whole * 2;
    std::uniform_int_distribution<core::duration::rep> part(0,
                                                            whole.count() / 2);
    return whole - core::duration(part(random_));
  }

  /// The next wait is the first again.
  void Reset() { next_ = first_; }

 private:
  core::duration first_;
  core::duration greatest_;
  core::duration next_;
  std::mt19937_64 random_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_BACKOFF_H_
