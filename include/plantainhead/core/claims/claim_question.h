#ifndef PLANTAINHEAD_CORE_CLAIMS_CLAIM_QUESTION_H_
#define PLANTAINHEAD_CORE_CLAIMS_CLAIM_QUESTION_H_

#include <optional>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"

/// The seam between the requests and the claims of their keys. After each event
/// that it hands to `request_core`, the owner of both takes the questions with
/// `request_core::TakeClaimQuestions`, hands each to `claims`, and hands each
/// decision of the claims to `request_core::OnClaimDecision`, until there are
/// no more questions.
namespace plantainhead::core {

/// What `request_core` wants of the claims.
enum class claim_need {
  /// `claims::Ask`: claim the key. Ends in exactly one `claim_decision`.
  kAsk,
  /// `claims::Release`: the claim was granted, and the request was not
  /// dispatched and never will be.
  kRelease,
  /// `claims::Finished`: the request was dispatched and has ended with
  /// `answer`, whose result is `kDone` or `kUnknown`.
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
  /// For `kAsk`.
  time_point deadline;
  /// Set for `kFinished`.
  std::optional<response> answer;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CLAIMS_CLAIM_QUESTION_H_
