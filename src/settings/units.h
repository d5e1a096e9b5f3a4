#ifndef PLANTAINHEAD_SRC_SETTINGS_UNITS_H_
#define PLANTAINHEAD_SRC_SETTINGS_UNITS_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "plantainhead/core/time.h"

/// Values with their unit, as they stand in settings: "800ms", "8MiB", "99.5%".
/// All functions are safe from any thread.
namespace plantainhead::settings {

/// Says what is wrong with one value and how to write it; has no place.
class unit_error : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

/// Parses "250us", "800ms", "1.5s", "5m", "1h" or "30d". The unit is a must.
/// Throws `unit_error`.
core::duration ParseDuration(std::string_view text);

/// Parses "512B", "64KiB", "8MiB" or "1GiB". The unit is a must. Throws
/// `unit_error`.
std::uint64_t ParseBytes(std::string_view text);

/// Parses "99.5%" into 0.995; from 0% to 100%. Throws `unit_error`.
double ParseShare(std::string_view text);

/// Parses a plain decimal number without a unit. Throws `unit_error`.
double ParseNumber(std::string_view text);

/// Parses a plain whole number without a sign. Throws `unit_error`.
std::uint64_t ParseWholeNumber(std::string_view text);

/// Returns the shortest text that `ParseDuration` reads back as `value`.
std::string FormatDuration(core::duration value);

/// Returns the shortest text that `ParseBytes` reads back as `value`.
std::string FormatBytes(std::uint64_t value);

/// Returns the shortest text that `ParseShare` reads back as `value`.
std::string FormatShare(double value);

/// Returns the shortest text that `ParseNumber` reads back as `value`.
std::string FormatNumber(double value);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SRC_SETTINGS_UNITS_H_
