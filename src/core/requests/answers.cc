#include "core/requests/answers.h"

#include <algorithm>
#include <utility>

namespace plantainhead::core {
namespace {

int StatusOf(answer_reason reason) {
  switch (reason) {
    case answer_reason::kUnknownService:
      return 404;
    case answer_reason::kUnknownClass:
    case answer_reason::kBadDeadline:
      return 400;
    case answer_reason::kBodyTooLarge:
      return 413;
    case answer_reason::kOverload:
      return 429;
    case answer_reason::kDeadline:
      return 504;
    case answer_reason::kEndpointLost:
    case answer_reason::kTruncated:
    case answer_reason::kPeerLost:
      return 502;
    case answer_reason::kKeyInProgress:
    case answer_reason::kKeyTooOld:
    case answer_reason::kKeyAlreadyRun:
      return 409;
    case answer_reason::kNone:
    case answer_reason::kNotReady:
    case answer_reason::kNoEndpoint:
    case answer_reason::kEndpointRefused:
    case answer_reason::kLogUnavailable:
    case answer_reason::kStopping:
      return 503;
  }
  return 503;
}

response MakeAnswer(outcome result, answer_reason reason, std::string detail) {
  response made;
  made.status = StatusOf(reason);
  made.result = result;
  made.reason = reason;
  made.detail = std::move(detail);
  return made;
}

}  // namespace

response NotRun(answer_reason reason,
                std::string detail,
                duration retry_after) {
  response made = MakeAnswer(outcome::kNotRun, reason, std::move(detail));
  made.retry_after = retry_after;
  return made;
}

response Unknown(answer_reason reason, std::string detail) {
  return MakeAnswer(outcome::kUnknown, reason, std::move(detail));
}

response AnswerForRefusedClaim(const claim_decision& refused) {
  // A request with the same key may have run, so these three cases do not
  // report not-run although this request was not run.
  switch (refused.verdict) {
    case claim_verdict::kInProgress: {
      response made = Unknown(answer_reason::kKeyInProgress,
                              "a request with this key is in progress");
      made.retry_after = std::max(refused.retry_after, kDefaultRetryAfter);
      return made;
    }
    case claim_verdict::kAlreadyRun:
      return Unknown(
          answer_reason::kKeyAlreadyRun,
          "a request with this key may have run; its answer is not stored");
    case claim_verdict::kTooOld:
      return Unknown(answer_reason::kKeyTooOld,
                     "the key is older than the claim window");
    case claim_verdict::kStoredAnswer:
      if (refused.stored.has_value()) {
        return *refused.stored;
      }
      return Unknown(answer_reason::kKeyAlreadyRun,
                     "the stored answer of this key is not available");
    case claim_verdict::kGranted:
    case claim_verdict::kLogUnavailable:
      break;
  }
  return NotRun(answer_reason::kLogUnavailable,
                "the key cannot be claimed while the log is unavailable",
                std::max(refused.retry_after, kDefaultRetryAfter));
}

}  // namespace plantainhead::core
