#ifndef PLANTAINHEAD_SRC_PLATFORM_BACKOFF_H_
#define PLANTAINHEAD_SRC_PLATFORM_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "plantainhead/core/time.h"

namespace plantainhead::platform {

/// Computes the delays between retries. Each delay is twice the previous one,
/// up to a maximum, less a random part of up to half. Without this jitter,
/// entries that lost the platform at the same moment would all reconnect at the
/// same moment and overload it again.
/// Thread safety: none.
class backoff {
 public:
  backoff(core::duration initial, core::duration max, std::uint64_t seed)
      : initial_(initial), max_(max), next_(initial), random_(seed) {}

  /// Returns the next delay.
  core::duration Next() {
    const core::duration full_wait = std::min(next_, max_);
    next_ = full_wait * 2;
    std::uniform_int_distribution<core::duration::rep> reduction(
        0, full_wait.count() / 2);
    return full_wait - core::duration(reduction(random_));
  }

  /// Makes the next delay start from the initial one again.
  void Reset() { next_ = initial_; }

 private:
  core::duration initial_;
  core::duration max_;
  core::duration next_;
  std::mt19937_64 random_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_BACKOFF_H_
