#include "caller/request_parser.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>
#include "endpoint/http_headers.h"

namespace plantainhead::caller {
namespace {

constexpr std::string_view kClassHeader = "plantain-class";
constexpr std::string_view kDeadlineHeader = "plantain-deadline-ms";
constexpr std::string_view kIdempotentHeader = "plantain-idempotent";
constexpr std::string_view kKeyHeader = "idempotency-key";
constexpr std::string_view kCallerHeader = "plantain-caller";

constexpr std::size_t kMostKeyBytes = 255;

// Separates the caller's identity from its key. No header value can hold it,
// so two callers can't build the same joined key.
constexpr char kKeySeparator = '\n';

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

// What follows "/s/": the service's name and the path at the endpoint.
struct split_target {
  std::string service;
  std::string path;
};

split_target Split(std::string_view target) {
  const std::string_view rest = target.substr(kServicePrefix.size());
  const auto end = rest.find_first_of("/?");
  split_target parts;
  parts.service = rest.substr(0, end);
  if (end == std::string_view::npos) {
    parts.path = "/";
  } else if (rest[end] == '?') {
    parts.path = "/" + std::string(rest.substr(end));
  } else {
    parts.path = rest.substr(end);
  }
  return parts;
}

bool IdempotentByMethod(std::string_view method) {
  return method != "POST" && method != "PATCH";
}

}  // namespace

std::variant<core::request_envelope, refusal> ParseRequest(
    const raw_request& raw,
    core::time_point now,
    const patience_limits& limits) {
  core::request_envelope envelope;
  split_target parts = Split(raw.target);
  if (parts.service.empty()) {
    return refusal{400, "bad-request", "the path names no service: /s/NAME/"};
  }
  envelope.service = core::service_name(std::move(parts.service));
  envelope.path = std::move(parts.path);
  envelope.method = raw.method;
  envelope.body = raw.body;

  std::chrono::milliseconds patience = limits.standard;
  if (const std::string* text =
          endpoint::FindHeader(raw.headers, kDeadlineHeader)) {
    const std::optional<std::int64_t> value =
        ParseInteger(endpoint::Trim(*text));
    if (!value || *value < 1 || *value > limits.greatest.count()) {
      return refusal{
          400, std::string(core::NameOf(core::answer_reason::kBadDeadline)),
          "Plantain-Deadline-Ms must be an integer from 1 to " +
              std::to_string(limits.greatest.count())};
    }
    patience = std::chrono::milliseconds(*value);
  }
  envelope.deadline = now + patience;

  envelope.idempotent = IdempotentByMethod(raw.method);
  if (const std::string* text =
          endpoint::FindHeader(raw.headers, kIdempotentHeader)) {
    const std::string_view value = endpoint::Trim(*text);
    if (value != "true" && value != "false") {
      return refusal{400, "bad-request",
                     "Plantain-Idempotent must be true or false"};
    }
    envelope.idempotent = value == "true";
  }

  if (const std::string* text =
          endpoint::FindHeader(raw.headers, kClassHeader)) {
    envelope.work = core::class_name(std::string(endpoint::Trim(*text)));
  }
  const std::string* who = endpoint::FindHeader(raw.headers, kCallerHeader);
  envelope.caller = core::caller_id(who != nullptr ? *who : raw.remote_ip);
  if (const std::string* key = endpoint::FindHeader(raw.headers, kKeyHeader)) {
    if (key->empty() || key->size() > kMostKeyBytes) {
      return refusal{400, "bad-request",
                     "Idempotency-Key must have 1 to 255 bytes"};
    }
    envelope.key =
        core::claim_key(envelope.caller.value() + kKeySeparator + *key);
  }
  envelope.headers = endpoint::WithoutHopByHop(raw.headers);
  return envelope;
}

}  // namespace plantainhead::caller
