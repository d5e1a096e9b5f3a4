#include "text/json_list.h"

#include <cstddef>

namespace plantainhead::text {
namespace {

constexpr std::string_view kBlank = " \t\r\n";

/// Scans a JSON text one character at a time.
class scanner {
 public:
  explicit scanner(std::string_view text) : text_(text) {}

  /// Returns the next character that is not part of a string, and moves behind
  /// it; nothing at the end of the text.
  std::optional<char> Next() {
    while (at_ < text_.size()) {
      const char next = text_[at_++];
      if (next != '"') {
        return next;
      }
      SkipString();
    }
    return std::nullopt;
  }

  /// Returns the place behind the last character that `Next` has returned.
  std::size_t place() const { return at_; }
  /// Returns the last string that was skipped, without its quotes.
  std::string_view last_string() const { return last_string_; }

 private:
  void SkipString() {
    const std::size_t begin = at_;
    while (at_ < text_.size() && text_[at_] != '"') {
      at_ += text_[at_] == '\\' ? 2 : 1;
    }
    last_string_ = text_.substr(begin, at_ - begin);
    ++at_;
  }

  std::string_view text_;
  std::size_t at_ = 0;
  std::string_view last_string_;
};

// Moves behind the opening bracket of the list. Returns false if there is none.
bool FindList(std::string_view field, scanner* scan) {
  int level = 0;
  std::string_view name;
  while (const auto next = scan->Next()) {
    switch (*next) {
      case ':':
        name = level == 1 ? scan->last_string() : name;
        break;
      case ',':
        name = {};
        break;
      case '[':
        if (level == 1 && name == field) {
          return true;
        }
        ++level;
        break;
      case '{':
        ++level;
        break;
      case ']':
      case '}':
        --level;
        break;
      default:
        break;
    }
  }
  return false;
}

}  // namespace

std::optional<json_list> SplitList(std::string_view object,
                                   std::string_view field) {
  scanner scan(object);
  if (!FindList(field, &scan)) {
    return std::nullopt;
  }
  json_list list;
  list.rest = object.substr(0, scan.place());
  std::size_t row_begin = scan.place();
  int level = 1;
  while (const auto next = scan.Next()) {
    const bool is_opening = *next == '[' || *next == '{';
    const bool is_closing = *next == ']' || *next == '}';
    level += is_opening ? 1 : is_closing ? -1 : 0;
    const bool is_row_end = (*next == ',' && level == 1) || level == 0;
    if (!is_row_end) {
      continue;
    }
    const std::string_view row =
        object.substr(row_begin, scan.place() - 1 - row_begin);
    const bool is_blank =
        row.find_first_not_of(kBlank) == std::string_view::npos;
    const bool is_empty_list = level == 0 && list.rows.empty() && is_blank;
    if (!is_empty_list) {
      list.rows.emplace_back(row);
    }
    row_begin = scan.place();
    if (level == 0) {
      list.rest += object.substr(scan.place() - 1);
      return list;
    }
  }
  return std::nullopt;
}

}  // namespace plantainhead::text
