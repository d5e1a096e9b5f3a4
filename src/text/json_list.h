#ifndef PLANTAINHEAD_SRC_TEXT_JSON_LIST_H_
#define PLANTAINHEAD_SRC_TEXT_JSON_LIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhead::text {

/// A JSON object whose list was taken apart without being parsed.
struct json_list {
  /// The object with an empty list.
  std::string rest;
  /// The texts of the list's elements. They need not be valid JSON.
  std::vector<std::string> rows;
};

/// Takes a list of a JSON object apart, so that its elements can be parsed one
/// by one: a parser rejects the whole text if one element has a number that is
/// too large or is nested too deeply. Returns nothing if the text has no list
/// named `field`, or if the list does not end. Names with escaped characters
/// are not recognized.
/// Thread safety: safe from any thread.
std::optional<json_list> SplitList(std::string_view object,
                                   std::string_view field);

}  // namespace plantainhead::text

#endif  // PLANTAINHEAD_SRC_TEXT_JSON_LIST_H_
