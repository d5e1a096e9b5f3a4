#ifndef PLANTAINHEAD_SRC_CORE_REQUESTS_ANSWERS_H_
#define PLANTAINHEAD_SRC_CORE_REQUESTS_ANSWERS_H_

#include <string>

#include "plantainhead/core/claims/claim_decision.h"
#include "plantainhead/core/requests/request.h"

/// Builds the answers that entries give when there is no answer from an
/// endpoint.
namespace plantainhead::core {

/// Used when there is no better estimate of when a retry may succeed.
inline constexpr duration kDefaultRetryAfter = std::chrono::seconds(1);

/// Returns an answer to a request that was not run and will not be.
response NotRun(answer_reason reason,
                std::string detail,
                duration retry_after = kDefaultRetryAfter);

/// Returns an answer to a request that may have run.
response Unknown(answer_reason reason, std::string detail);

/// Returns the answer to a request whose claim was not granted. Precondition:
/// the verdict is not `kGranted`.
response AnswerForRefusedClaim(const claim_decision& refused);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_REQUESTS_ANSWERS_H_
