#include "caller/request_parser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace plantainhead::caller {
namespace {

constexpr std::string_view kClassHeader = "plantain-class";
constexpr std::string_view kDeadlineHeader = "plantain-deadline-ms";
constexpr std::string_view kIdempotentHeader = "plantain-idempotent";
constexpr std::string_view kKeyHeader = "idempotency-key";
constexpr std::string_view kCallerHeader = "plantain-caller";

constexpr std::size_t kMostKeyBytes = 255;

// `Content-Length` is set anew on each hop; `Expect` was met on this one.
constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "connection",          "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te",         "trailer",
    "transfer-encoding",   "upgrade",    "proxy-connection",
    "content-length",      "expect"};

// Separates the caller's identity from its key. No header value can hold it,
// so two callers can't build the same joined key.
constexpr char kKeySeparator = '\n';

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

std::set<std::string> NamedByConnection(const core::header_list& headers) {
  std::set<std::string> names;
  for (const auto& [name, value] : headers) {
    if (ToLower(name) != "connection") {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      names.insert(ToLower(Trim(rest.substr(0, comma))));
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
    }
  }
  return names;
}

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

const std::string* FindHeader(const core::header_list& headers,
                              std::string_view name) {
  for (const auto& [entry, value] : headers) {
    if (ToLower(entry) == name) {
      return &value;
    }
  }
  return nullptr;
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

core::header_list WithoutHopByHop(const core::header_list& headers) {
  const std::set<std::string> named = NamedByConnection(headers);
  core::header_list kept;
  for (const auto& [name, value] : headers) {
    const std::string lower = ToLower(name);
    const bool fixed =
        std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), lower) !=
        kHopByHopHeaders.end();
    if (!fixed && named.count(lower) == 0) {
      kept.emplace_back(name, value);
    }
  }
  return kept;
}

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
  if (const std::string* text = FindHeader(raw.headers, kDeadlineHeader)) {
    const std::optional<std::int64_t> value = ParseInteger(Trim(*text));
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
  if (const std::string* text = FindHeader(raw.headers, kIdempotentHeader)) {
    const std::string_view value = Trim(*text);
    if (value != "true" && value != "false") {
      return refusal{400, "bad-request",
                     "Plantain-Idempotent must be true or false"};
    }
    envelope.idempotent = value == "true";
  }

  if (const std::string* text = FindHeader(raw.headers, kClassHeader)) {
    envelope.work = core::class_name(std::string(Trim(*text)));
  }
  const std::string* who = FindHeader(raw.headers, kCallerHeader);
  envelope.caller = core::caller_id(who != nullptr ? *who : raw.remote_ip);
  if (const std::string* key = FindHeader(raw.headers, kKeyHeader)) {
    if (key->empty() || key->size() > kMostKeyBytes) {
      return refusal{400, "bad-request",
                     "Idempotency-Key must have 1 to 255 bytes"};
    }
    envelope.key =
        core::claim_key(envelope.caller.value() + kKeySeparator + *key);
  }
  envelope.headers = WithoutHopByHop(raw.headers);
  return envelope;
}

}  // namespace plantainhead::caller
