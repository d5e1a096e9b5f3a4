#ifndef PLANTAINHEAD_CORE_CLAIMS_CLAIM_COMMAND_H_
#define PLANTAINHEAD_CORE_CLAIMS_CLAIM_COMMAND_H_

#include <optional>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"

/// The interface between `request_core` and `claims`. After each event that it
/// passes to `request_core`, the owner of both calls
/// `request_core::TakeClaimCommands`, passes each command to `claims`, and
/// passes each decision of the claims to `request_core::OnClaimDecision`, until
/// there are no more commands.
namespace plantainhead::core {

/// The operation that `request_core` requests of `claims`.
enum class claim_operation {
  /// `claims::Acquire`: claim the key. Results in exactly one `claim_decision`.
  kAcquire,
  /// `claims::Release`: the claim was granted, and the request was not
  /// dispatched and never will be.
  kRelease,
  /// `claims::Complete`: the request was dispatched and has ended with
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
  /// This entry's id of the request, which the decision repeats.
  request_id request;
  /// Set for `kAcquire`.
  time_point deadline;
  /// Set for `kComplete`.
  std::optional<response> answer;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CLAIMS_CLAIM_COMMAND_H_
