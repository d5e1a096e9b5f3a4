#ifndef PLANTAINHEAD_SRC_SETTINGS_UNITS_H_
#define PLANTAINHEAD_SRC_SETTINGS_UNITS_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "plantainhead/core/time.h"

/// Parsing and formatting of setting values with units: "800ms", "8MiB",
/// "99.5%".
/// All functions may be called from any thread.
namespace plantainhead::settings {

/// Thrown when a value cannot be parsed. The message describes the error and
/// the expected format, but not the file, line or key.
class unit_error : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

/// Parses "250us", "800ms", "1.5s", "5m", "1h" or "30d". The unit is required.
/// Throws `unit_error`.
core::duration ParseDuration(std::string_view text);

/// Parses "512B", "64KiB", "8MiB" or "1GiB". The unit is required.
/// Throws `unit_error`.
std::uint64_t ParseBytes(std::string_view text);

/// Parses a percentage such as "99.5%" into a fraction such as 0.995. The range
/// is 0% to 100%.
/// Throws `unit_error`.
double ParseShare(std::string_view text);

/// Parses a decimal number without a unit. Throws `unit_error`.
double ParseNumber(std::string_view text);

/// Parses an unsigned integer without a unit. Throws `unit_error`.
std::uint64_t ParseWholeNumber(std::string_view text);

/// Returns the shortest text that `ParseDuration` parses to `value`.
std::string FormatDuration(core::duration value);

/// Returns the shortest text that `ParseBytes` parses to `value`.
std::string FormatBytes(std::uint64_t value);

/// Returns the shortest text that `ParseShare` parses to `value`.
std::string FormatShare(double value);

/// Returns the shortest text that `ParseNumber` parses to `value`.
std::string FormatNumber(double value);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SRC_SETTINGS_UNITS_H_
