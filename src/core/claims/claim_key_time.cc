#include "core/claims/claim_key_time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantainhead::core {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
/// The first 12 digits are milliseconds since 1970.
constexpr int kTimeDigits = 12;

std::optional<unsigned> HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return std::nullopt;
}

bool IsDashPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

}  // namespace

std::optional<time_point> KeyTime(const claim_key& key) {
  std::string_view text = key.value();
  if (text.size() < kUuidLength) {
    return std::nullopt;
  }
  text.remove_prefix(text.size() - kUuidLength);
  if (text[kVersionPosition] != '7') {
    return std::nullopt;
  }
  std::uint64_t milliseconds = 0;
  int digits = 0;
  for (std::size_t position = 0; position < kUuidLength; ++position) {
    if (IsDashPosition(position)) {
      if (text[position] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const std::optional<unsigned> digit = HexDigit(text[position]);
    if (!digit) {
      return std::nullopt;
    }
    if (digits < kTimeDigits) {
      milliseconds = milliseconds * 16 + *digit;
      ++digits;
    }
  }
  return time_point(std::chrono::milliseconds(milliseconds));
}

}  // namespace plantainhead::core
