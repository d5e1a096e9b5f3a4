#ifndef PLANTAINHEAD_TESTS_RECORD_MUTATIONS_H_
#define PLANTAINHEAD_TESTS_RECORD_MUTATIONS_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

/// Malformed variants of a valid record, as a faulty or incompatible writer
/// might produce them: in each, one value is removed or replaced by an invalid
/// one.
namespace plantainhead::testing {

struct mutation {
  /// Path of the changed value in the format of the decoders' errors, for
  /// example "routes[0].name".
  std::string place;
  /// Kind of change, for example "null".
  std::string change;
  nlohmann::json record;
};

/// Returns replacements for `value`: values of all other types, and numbers and
/// texts beyond any valid range.
inline std::vector<std::pair<std::string, nlohmann::json>> Replacements(
    const nlohmann::json& value) {
  using json = nlohmann::json;
  std::vector<std::pair<std::string, json>> others = {{"null", nullptr}};
  const auto add = [&](bool is_same, const char* name, const json& other) {
    if (!is_same) {
      others.emplace_back(name, other);
    }
  };
  add(value.is_string(), "text", "odd");
  add(value.is_number(), "number", 7);
  add(value.is_boolean(), "flag", true);
  add(value.is_array(), "list", json::array({1}));
  add(value.is_object(), "object", {{"odd", 1}});
  if (value.is_number()) {
    add(false, "negative", -1);
    add(false, "huge", UINT64_MAX);
    add(false, "hugely negative", INT64_MIN);
    add(false, "float", 0.5);
    add(false, "huge float", 1e300);
  }
  if (value.is_string()) {
    constexpr std::size_t kLong = 100'000;
    add(false, "long", std::string(kLong, 'x'));
  }
  return others;
}

/// Returns all mutations of a single value inside `root`, in document order.
inline std::vector<mutation> Mutations(const nlohmann::json& root) {
  using json = nlohmann::json;
  std::vector<mutation> all;
  std::function<void(const json::json_pointer&, const std::string&)> walk =
      [&](const json::json_pointer& at, const std::string& place) {
        const json& value = root.at(at);
        if (!place.empty()) {
          for (const auto& [change, other] : Replacements(value)) {
            json record = root;
            record.at(at) = other;
            all.push_back({place, change, std::move(record)});
          }
        }
        if (value.is_object()) {
          for (const auto& [key, child] : value.items()) {
            const std::string below = place.empty() ? key : place + "." + key;
            json record = root;
            record.at(at).erase(key);
            all.push_back({below, "missing", std::move(record)});
            walk(at / key, below);
          }
        } else if (value.is_array()) {
          for (std::size_t i = 0; i < value.size(); ++i) {
            walk(at / i, place + "[" + std::to_string(i) + "]");
          }
        }
      };
  walk(json::json_pointer(), "");
  return all;
}

/// Returns texts that are not valid records of any kind.
inline std::vector<std::string> MalformedTexts(const std::string& valid) {
  constexpr std::size_t kDeep = 1'000'000;
  return {"",
          " ",
          "null",
          "[]",
          "7",
          "\"text\"",
          std::string(1, '\0'),
          "\xff\xfe",
          valid.substr(0, valid.size() / 2),
          valid + "x",
          "{\"a\":\"\xc3\x28\"}",
          std::string(kDeep, '['),
          std::string(kDeep, '[') + std::string(kDeep, ']'),
          "{\"a\":1e999}",
          "{\"a\":NaN}"};
}

}  // namespace plantainhead::testing

#endif  // PLANTAINHEAD_TESTS_RECORD_MUTATIONS_H_
