#include "settings/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <system_error>
#include <utility>

namespace plantainhead::settings {
namespace {

using unit_entry = std::pair<std::string_view, std::int64_t>;

// Ordered from the largest to the smallest unit, so that formatting finds the
// shortest text.
constexpr std::array<unit_entry, 6> kDurationUnits = {{
    {"d", 86'400'000'000},
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};
constexpr std::array<unit_entry, 4> kByteUnits = {{
    {"GiB", std::int64_t{1} << 30},
    {"MiB", std::int64_t{1} << 20},
    {"KiB", std::int64_t{1} << 10},
    {"B", 1},
}};

constexpr char kDurationHelp[] =
    "write a duration with its unit: us, ms, s, m, h or d, as in 800ms";
constexpr char kBytesHelp[] =
    "write a size with its unit: B, KiB, MiB or GiB, as in 8MiB";
constexpr char kShareHelp[] = "write a percentage from 0% to 100%, as in 99.5%";

[[noreturn]] void Fail(std::string_view text, const char* help) {
  throw unit_error("'" + std::string(text) + "' cannot be parsed: " + help);
}

struct split_number {
  double number = 0;
  std::string_view unit;
};

// Splits "800ms" into its number and its unit. Returns nothing if the text does
// not start with a number.
std::optional<split_number> Split(std::string_view text) {
  split_number parts;
  const char* const end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data(), end, parts.number, std::chars_format::fixed);
  if (error != std::errc() || !std::isfinite(parts.number)) {
    return std::nullopt;
  }
  parts.unit = std::string_view(rest, static_cast<std::size_t>(end - rest));
  if (!parts.unit.empty() && parts.unit.front() == ' ') {
    parts.unit.remove_prefix(1);
  }
  return parts;
}

template <std::size_t N>
std::int64_t ParseUnits(std::string_view text,
                        const std::array<unit_entry, N>& units,
                        const char* help) {
  const std::optional<split_number> parts = Split(text);
  if (!parts || parts->number < 0) {
    Fail(text, help);
  }
  for (const auto& [unit, factor] : units) {
    if (unit != parts->unit) {
      continue;
    }
    const double value = parts->number * static_cast<double>(factor);
    constexpr auto kMaxValue =
        static_cast<double>(std::numeric_limits<std::int64_t>::max());
    if (value >= kMaxValue) {
      throw unit_error("'" + std::string(text) + "' is too large");
    }
    return std::llround(value);
  }
  Fail(text, help);
}

template <std::size_t N>
std::string FormatUnits(std::int64_t value,
                        const std::array<unit_entry, N>& units,
                        std::string_view unit_of_zero) {
  if (value == 0) {
    return "0" + std::string(unit_of_zero);
  }
  for (const auto& [unit, factor] : units) {
    if (value % factor == 0) {
      return std::to_string(value / factor) + std::string(unit);
    }
  }
  return std::to_string(value) + std::string(units.back().first);
}

}  // namespace

core::duration ParseDuration(std::string_view text) {
  return core::duration(ParseUnits(text, kDurationUnits, kDurationHelp));
}

std::uint64_t ParseBytes(std::string_view text) {
  return static_cast<std::uint64_t>(ParseUnits(text, kByteUnits, kBytesHelp));
}

double ParseShare(std::string_view text) {
  const std::optional<split_number> parts = Split(text);
  constexpr double kPercent = 100;
  const bool fits = parts && parts->unit == "%" && parts->number >= 0 &&
                    parts->number <= kPercent;
  if (!fits) {
    Fail(text, kShareHelp);
  }
  return parts->number / kPercent;
}

double ParseNumber(std::string_view text) {
  const std::optional<split_number> parts = Split(text);
  if (!parts || !parts->unit.empty()) {
    Fail(text, "write a number without a unit, as in 2.5");
  }
  return parts->number;
}

std::uint64_t ParseWholeNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end) {
    Fail(text, "write an unsigned integer, as in 8");
  }
  return number;
}

std::string FormatDuration(core::duration value) {
  return FormatUnits(value.count(), kDurationUnits, "s");
}

std::string FormatBytes(std::uint64_t value) {
  return FormatUnits(static_cast<std::int64_t>(value), kByteUnits, "B");
}

std::string FormatShare(double value) {
  constexpr double kPercent = 100;
  // The product may be off by the last bit and would then be printed as
  // 99.49999999999999. Therefore this searches for the shortest decimal that is
  // parsed back to exactly `value`.
  for (int precision = 1;
       precision <= std::numeric_limits<double>::max_digits10; ++precision) {
    std::array<char, 64> buffer{};
    const auto [end, error] =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                      value * kPercent, std::chars_format::general, precision);
    double read = 0;
    std::from_chars(buffer.data(), end, read);
    if (error == std::errc() && read / kPercent == value) {
      return FormatNumber(read) + "%";
    }
  }
  return FormatNumber(value * kPercent) + "%";
}

std::string FormatNumber(double value) {
  std::array<char, 400> buffer{};
  const auto [end, error] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                    std::chars_format::fixed);
  return error == std::errc() ? std::string(buffer.data(), end) : "0";
}

}  // namespace plantainhead::settings
