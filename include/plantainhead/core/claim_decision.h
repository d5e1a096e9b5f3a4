#ifndef PLANTAINHEAD_CORE_CLAIM_DECISION_H_
#define PLANTAINHEAD_CORE_CLAIM_DECISION_H_

#include <optional>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/request.h"
#include "plantainhead/core/time.h"

/// The seam between the requests and the claims of their keys. After each event
/// that it hands to `request_core`, the owner of both takes the questions with
/// `request_core::TakeClaimQuestions`, hands each to the claims, and hands the
/// claims' decisions to `request_core::OnClaimDecision`.
namespace plantainhead::core {

/// What `request_core` wants of the claims.
enum class claim_need {
  /// Claim the key; ends in a `claim_decision` unless released before.
  kAsk,
  /// The request was not dispatched and never will be. Comes for a granted
  /// claim, and for one that is still undecided; may come twice.
  kRelease,
  /// The request was dispatched and has ended; `answer` is set. An answer whose
  /// result is `kDone` may be kept for a retry of the key; `kUnknown` says only
  /// that it ended.
  kFinished,
};

inline constexpr name_table<claim_need, 3> kClaimNeedNames = {{
    {claim_need::kAsk, "ask"},
    {claim_need::kRelease, "release"},
    {claim_need::kFinished, "finished"},
}};
inline constexpr const auto& NamesOf(claim_need) {
  return kClaimNeedNames;
}

struct claim_question {
  claim_need need = claim_need::kAsk;
  claim_key key;
  /// This entry's own id of the request, repeated in the decision.
  request_id request;
  /// Set for `kFinished`.
  std::optional<response> answer;
};

/// What the claims found.
enum class claim_verdict {
  /// The claim was read back as the first for its key; dispatching is allowed.
  kGranted,
  /// Another request with the key holds the claim and has not ended.
  kInProgress,
  /// The key has ended; `stored` is its answer.
  kStoredAnswer,
  /// The key was claimed and its answer isn't held here.
  kAlreadyRun,
  /// The key is older than the claim window.
  kTooOld,
  /// The log can't be reached; this request will not be dispatched.
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

struct claim_decision {
  request_id request;
  claim_verdict verdict = claim_verdict::kLogUnavailable;
  /// Set when `verdict` is `kStoredAnswer`.
  std::optional<response> stored;
  /// When asking again may help.
  duration retry_after{};
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CLAIM_DECISION_H_
