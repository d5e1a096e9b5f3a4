#ifndef PLANTAINHEAD_SRC_OPERATORS_JSON_READER_H_
#define PLANTAINHEAD_SRC_OPERATORS_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/findings.h"
#include "plantainhead/core/time.h"

namespace plantainhead::operators {

/// Reads the JSON object in a request's body key by key and collects what is
/// wrong with it, so that one answer tells all.
/// Thread safety: none.
class json_reader {
 public:
  /// Throws `core::findings_error` when `body` is not a JSON object. An empty
  /// body counts as an empty object.
  explicit json_reader(const std::string& body);

  /// Returns the text under `key`, or an empty one.
  std::string Text(const std::string& key);
  /// Returns the name under `key`; reports one that is missing or can't stand
  /// in a path.
  std::string Name(const std::string& key);
  std::vector<std::string> Names(const std::string& key);
  std::uint32_t Count(const std::string& key, std::uint32_t otherwise);
  bool Flag(const std::string& key);
  /// Returns the time in UTC under `key`, or 1970-01-01.
  core::time_point Time(const std::string& key);
  /// Returns the time with its unit under `key`, or 0.
  core::duration Duration(const std::string& key);

  /// Adds a finding of the caller's own.
  void Report(std::string message);

  /// Throws `core::findings_error` if anything was wrong or a key is unknown.
  void Finish();

 private:
  const nlohmann::json* Find(const std::string& key);

  nlohmann::json object_;
  std::set<std::string> known_;
  std::vector<core::finding> findings_;
};

/// Returns true when `name` is made of letters, digits, '.', '_' and '-'.
/// Thread safety: safe from any thread.
bool IsPlainName(const std::string& name);

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_SRC_OPERATORS_JSON_READER_H_
