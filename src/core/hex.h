#ifndef PLANTAINHEAD_SRC_CORE_HEX_H_
#define PLANTAINHEAD_SRC_CORE_HEX_H_

#include <cstdint>
#include <string>

#include "plantainhead/core/ids.h"

namespace plantainhead::core {

/// Returns `number` as 16 hexadecimal digits. Thread safety: safe from any
/// thread.
inline std::string ToHex(std::uint64_t number) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr int kLength = 16;
  constexpr int kBitsPerDigit = 4;
  std::string text(kLength, '0');
  for (int i = kLength - 1; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = kDigits[number & 0xF];
    number >>= kBitsPerDigit;
  }
  return text;
}

inline std::string ToHex(incarnation who) {
  return ToHex(static_cast<std::uint64_t>(who));
}

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_HEX_H_
