#ifndef PLANTAINHEAD_CALLER_REQUEST_PARSER_H_
#define PLANTAINHEAD_CALLER_REQUEST_PARSER_H_

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"

namespace plantainhead::caller {

/// A caller's request as HTTP brought it.
struct raw_request {
  std::string method;
  /// Path and query as received.
  std::string target;
  core::header_list headers;
  core::shared_body body;
  std::string remote_ip;
};

/// An answer to a request that never reaches the decisions.
struct refusal {
  int status = 400;
  std::string reason;
  std::string detail;
  core::outcome result = core::outcome::kNotRun;
};

struct patience_limits {
  std::chrono::milliseconds standard;
  std::chrono::milliseconds greatest;
};

/// The start of the path of every caller's request.
inline constexpr std::string_view kServicePrefix = "/s/";

/// Reads a request that arrived at `now`. Precondition: its target starts with
/// `kServicePrefix`. Thread safety: safe from any thread.
std::variant<core::request_envelope, refusal> ParseRequest(
    const raw_request& raw,
    core::time_point now,
    const patience_limits& limits);

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_REQUEST_PARSER_H_
