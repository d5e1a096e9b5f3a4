#ifndef PLANTAINHEAD_CORE_REQUESTS_REQUEST_H_
#define PLANTAINHEAD_CORE_REQUESTS_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// The bytes of a body. Shared, so that routing a request, which never reads
/// the body, does not copy it.
using shared_body = std::shared_ptr<const std::string>;

/// A caller's request with everything that routing needs.
struct request_envelope {
  caller_id caller;
  service_name service;
  class_name work;
  std::string method;
  /// Path and query at the endpoint, with the leading slash.
  std::string path;
  header_list headers;
  shared_body body;
  /// The time at which the caller stops waiting; no attempt is started after
  /// it.
  time_point deadline;
  bool idempotent = true;
  /// Idempotency key, set if a request that is not idempotent is identified
  /// across retries.
  std::optional<claim_key> key;
};

/// What a caller may conclude from an answer about whether the request ran.
enum class outcome {
  /// The complete answer of the endpoint.
  kDone,
  /// The request was not run and will not be; a retry is safe.
  kNotRun,
  /// The request may have run.
  kUnknown,
};

inline constexpr name_table<outcome, 3> kOutcomeNames = {{
    {outcome::kDone, "done"},
    {outcome::kNotRun, "not-run"},
    {outcome::kUnknown, "unknown"},
}};
inline constexpr const auto& NamesOf(outcome) {
  return kOutcomeNames;
}

/// The reason why an answer does not come from the endpoint.
enum class answer_reason {
  kNone,
  kUnknownService,
  kUnknownClass,
  kBadDeadline,
  kBodyTooLarge,
  kNotReady,
  kNoEndpoint,
  kOverload,
  kDeadline,
  kEndpointLost,
  kEndpointRefused,
  kTruncated,
  kPeerLost,
  kLogUnavailable,
  kKeyInProgress,
  kKeyTooOld,
  kKeyAlreadyRun,
  kStopping,
};

inline constexpr name_table<answer_reason, 18> kAnswerReasonNames = {{
    {answer_reason::kNone, "none"},
    {answer_reason::kUnknownService, "unknown-service"},
    {answer_reason::kUnknownClass, "unknown-class"},
    {answer_reason::kBadDeadline, "bad-deadline"},
    {answer_reason::kBodyTooLarge, "body-too-large"},
    {answer_reason::kNotReady, "not-ready"},
    {answer_reason::kNoEndpoint, "no-endpoint"},
    {answer_reason::kOverload, "overload"},
    {answer_reason::kDeadline, "deadline"},
    {answer_reason::kEndpointLost, "endpoint-lost"},
    {answer_reason::kEndpointRefused, "endpoint-refused"},
    {answer_reason::kTruncated, "truncated"},
    {answer_reason::kPeerLost, "peer-lost"},
    {answer_reason::kLogUnavailable, "log-unavailable"},
    {answer_reason::kKeyInProgress, "key-in-progress"},
    {answer_reason::kKeyTooOld, "key-too-old"},
    {answer_reason::kKeyAlreadyRun, "key-already-run"},
    {answer_reason::kStopping, "stopping"},
}};
inline constexpr const auto& NamesOf(answer_reason) {
  return kAnswerReasonNames;
}

/// A complete answer to one request.
struct response {
  /// HTTP status.
  int status = 0;
  header_list headers;
  shared_body body;
  outcome result = outcome::kUnknown;
  answer_reason reason = answer_reason::kNone;
  /// Human-readable explanation, for answers that do not come from the
  /// endpoint.
  std::string detail;
  /// Always set when `result` is `kNotRun`.
  std::optional<duration> retry_after;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_REQUEST_H_
