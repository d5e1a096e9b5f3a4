#include "observe/log_line.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "observe/utc.h"
#include "plantainhead/core/names.h"

namespace plantainhead::observe {
namespace {

using json = nlohmann::ordered_json;

// "2026-03-01T12:00:00.123456Z"
std::string ToUtc(std::chrono::system_clock::time_point time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const auto rest =
      std::chrono::duration_cast<std::chrono::microseconds>(time - seconds);
  std::array<char, 16> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%06dZ",
                static_cast<int>(rest.count()));
  return UtcText(seconds.time_since_epoch().count()) + fraction.data();
}

}  // namespace

std::string MakeLogLine(std::chrono::system_clock::time_point time,
                        core::log_severity level,
                        std::string_view message,
                        const log_fields& fields) {
  json line = {{"time", ToUtc(time)},
               {"level", core::NameOf(level)},
               {"message", message}};
  for (const auto& [name, value] : fields) {
    const bool taken = name == "time" || name == "level" || name == "message";
    line[taken ? name + "_" : name] = value;
  }
  // ASCII only: log4cxx would turn other characters into '?' in the C locale,
  // which daemons run in.
  constexpr int kOneLine = -1;
  constexpr bool kAscii = true;
  return line.dump(kOneLine, ' ', kAscii, json::error_handler_t::replace);
}

}  // namespace plantainhead::observe
