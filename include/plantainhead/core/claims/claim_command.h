#ifndef PLANTAINHEAD_CORE_CLAIMS_CLAIM_COMMAND_H_
#define PLANTAINHEAD_CORE_CLAIMS_CLAIM_COMMAND_H_

#include <optional>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"

/// The seam between the requests and the claims of their keys. After each event
/// that it hands to `request_core`, the owner of both takes the questions with
/// `request_core::TakeClaimCommands`, hands each to `claims`, and hands each
/// decision of the claims to `request_core::OnClaimDecision`, until there are
/// no more questions.
namespace plantainhead::core {

/// What `request_core` wants of the claims.
enum class claim_operation {
  /// `claims::Ask`: claim the key. Ends in exactly one `claim_decision`.
  kAcquire,
  /// `claims::Release`: the claim was granted, and the request was not
  /// dispatched and never will be.
  kRelease,
  /// `claims::Finished`: the request was dispatched and has ended with
  /// `answer`, whose result is `kDone` or `kUnknown`.
  kComplete,
};

inline constexpr name_table<claim_operation, 3> kClaimOperationNames = {{
    {claim_operation::kAcquire, "ask"},
    {claim_operation::kRelease, "release"},
    {claim_operation::kComplete, "finished"},
}};
inline constexpr const auto& NamesOf(claim_operation) {
  return kClaimOperationNames;
}

struct claim_command {
  claim_operation operation = claim_operation::kAcquire;
  claim_key key;
  /// This entry's own id of the request, repeated in the decision.
  request_id request;
  /// For `kAcquire`.
  time_point deadline;
  /// Set for `kComplete`.
  std::optional<response> answer;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CLAIMS_CLAIM_COMMAND_H_
