#ifndef PLANTAINHEAD_CORE_REQUESTS_RETRY_BUDGET_H_
#define PLANTAINHEAD_CORE_REQUESTS_RETRY_BUDGET_H_

#include <algorithm>

namespace plantainhead::core {

/// Limits retries to a share of the requests with a token bucket. Without a
/// limit, retries would multiply the load when endpoints fail together, just
/// when capacity is short, and the overload would sustain itself. Thread
/// safety: none.
class retry_budget {
 public:
  /// Tokens that each new request adds; a retry costs one token.
  static constexpr double kRetryRatio = 0.1;
  /// Maximum number of saved tokens, for bursts.
  static constexpr double kMaxTokens = 50;

  void OnRequest() { tokens_ = std::min(kMaxTokens, tokens_ + kRetryRatio); }

  /// Consumes the token for one retry. Returns false if there is none.
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
