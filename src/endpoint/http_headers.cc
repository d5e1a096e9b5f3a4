#include "endpoint/http_headers.h"

#include <algorithm>
#include <array>
#include <set>

namespace plantainhead::endpoint {
namespace {

// Includes `Content-Length`, which is set anew on each hop, and `Expect`, which
// has already been handled on this hop.
constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "connection",          "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te",         "trailer",
    "transfer-encoding",   "upgrade",    "proxy-connection",
    "content-length",      "expect"};

std::set<std::string> ConnectionOptions(const core::header_list& headers) {
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

bool IsTokenCharacter(char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || kOthers.find(c) != std::string_view::npos;
}

}  // namespace

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

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
  const std::set<std::string> named = ConnectionOptions(headers);
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

bool IsWellFormed(std::string_view name, std::string_view value) {
  constexpr std::string_view kLineEnds("\r\n\0", 3);
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), IsTokenCharacter) &&
         value.find_first_of(kLineEnds) == std::string_view::npos;
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

}  // namespace plantainhead::endpoint
