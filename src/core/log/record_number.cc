#include "plantainhead/core/log/record_number.h"

#include <charconv>
#include <string_view>
#include <system_error>

#include "core/hex.h"

namespace plantainhead::core {
namespace {

constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;
constexpr int kDecimalBase = 10;

std::optional<std::uint64_t> Parse(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, base);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

record_id MakeRecordId(const record_number& number) {
  return record_id(ToHex(number.writer) + "-" + std::to_string(number.number));
}

std::optional<record_number> ParseRecordId(const record_id& id) {
  const std::string_view text = id.value();
  if (text.size() <= kHexDigits || text[kHexDigits] != '-') {
    return std::nullopt;
  }
  const auto writer = Parse(text.substr(0, kHexDigits), kHexBase);
  const auto number = Parse(text.substr(kHexDigits + 1), kDecimalBase);
  if (!writer || !number) {
    return std::nullopt;
  }
  const record_number parsed{incarnation{*writer}, *number};
  // Only the canonical format is accepted; "+1" or "01" would be different ids.
  return MakeRecordId(parsed) == id ? std::optional(parsed) : std::nullopt;
}

}  // namespace plantainhead::core
