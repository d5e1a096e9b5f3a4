#include "observe/utc.h"

#include <array>
#include <ctime>

namespace plantainhead::observe {

std::string UtcText(std::int64_t seconds) {
  const std::time_t whole = seconds;
  std::tm parts{};
  gmtime_r(&whole, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  return text.data();
}

}  // namespace plantainhead::observe
