#ifndef PLANTAINHEAD_CORE_REQUESTS_RETRY_BUDGET_H_
#define PLANTAINHEAD_CORE_REQUESTS_RETRY_BUDGET_H_

#include <algorithm>

namespace plantainhead::core {

/// A token bucket filled by requests: retries can't be more than a share of
/// them. Without it, when endpoints fail together, retries would multiply the
/// load just when capacity is short, and the overload would keep itself up.
/// Thread safety: none.
class retry_budget {
 public:
  /// A new request adds this much of one retry.
  static constexpr double kRetryRatio = 0.1;
  /// Most retries that can be saved up, for a burst.
  static constexpr double kMaxTokens = 50;

  void OnRequest() { tokens_ = std::min(kMaxTokens, tokens_ + kRetryRatio); }

  /// Takes one retry out. Returns false when there is none.
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 10;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_RETRY_BUDGET_H_
