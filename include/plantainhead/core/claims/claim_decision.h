#ifndef PLANTAINHEAD_CORE_CLAIMS_CLAIM_DECISION_H_
#define PLANTAINHEAD_CORE_CLAIMS_CLAIM_DECISION_H_

#include <optional>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// The result of a request's claim on its idempotency key.
enum class claim_verdict {
  /// The request may be dispatched until its deadline; no other request with
  /// this key may be.
  kGranted,
  /// Another request with this key is being claimed or run by this entry.
  kInProgress,
  /// The request with this key finished at this entry; `stored` is its answer.
  kStoredAnswer,
  /// The key was claimed and its answer is not stored here: the request may
  /// have run, and is never run again.
  kAlreadyRun,
  /// The timestamp in the key is older than the claim window.
  kTooOld,
  /// No claim is possible at the moment. The request was not run and never will
  /// be; a later one with the same key may be.
  kLogUnavailable,
};

inline constexpr name_table<claim_verdict, 6> kClaimVerdictNames = {{
    {claim_verdict::kGranted, "granted"},
    {claim_verdict::kInProgress, "in-progress"},
    {claim_verdict::kStoredAnswer, "stored-answer"},
    {claim_verdict::kAlreadyRun, "already-run"},
    {claim_verdict::kTooOld, "too-old"},
    {claim_verdict::kLogUnavailable, "log-unavailable"},
}};
inline constexpr const auto& NamesOf(claim_verdict) {
  return kClaimVerdictNames;
}

/// The decision on one `claims::Acquire`.
struct claim_decision {
  request_id request;
  claim_verdict verdict = claim_verdict::kLogUnavailable;
  /// Set for `kStoredAnswer`.
  std::optional<response> stored;
  /// How long the caller should wait before a retry; set for `kInProgress` and
  /// `kLogUnavailable`.
  duration retry_after{};
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CLAIMS_CLAIM_DECISION_H_
