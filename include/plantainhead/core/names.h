#ifndef PLANTAINHEAD_CORE_NAMES_H_
#define PLANTAINHEAD_CORE_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace plantainhead::core {

/// Table that maps the values of an enumeration to their names. Each
/// enumeration `E` that is read or written as text has an overload `NamesOf(E)`
/// that returns its table.
template <typename E, std::size_t N>
using name_table = std::array<std::pair<E, std::string_view>, N>;

/// Returns the name of `value`, or "?" when the table has none.
/// Thread safety: safe from any thread.
template <typename E>
std::string_view NameOf(E value) {
  for (const auto& [entry, name] : NamesOf(value)) {
    if (entry == value) {
      return name;
    }
  }
  return "?";
}

/// Returns the value named `name`, or `nullopt` if there is none. Thread
/// safety: safe from any thread.
template <typename E>
std::optional<E> FromName(std::string_view name) {
  for (const auto& [entry, entry_name] : NamesOf(E{})) {
    if (entry_name == name) {
      return entry;
    }
  }
  return std::nullopt;
}

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_NAMES_H_
