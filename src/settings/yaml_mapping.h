#ifndef PLANTAINHEAD_SRC_SETTINGS_YAML_MAPPING_H_
#define PLANTAINHEAD_SRC_SETTINGS_YAML_MAPPING_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plantainhead/core/findings.h"
#include "plantainhead/core/time.h"

namespace plantainhead::settings {

/// Collects the findings of one file while it is parsed.
/// Thread safety: none.
struct finding_sink {
  std::string file;
  std::vector<core::finding> findings;

  /// Adds a finding at the location of `node`.
  void Add(const YAML::Node& node, std::string message);

  /// Throws `core::findings_error` with all findings ordered by location, if
  /// there are any.
  void ThrowIfAny();
};

/// Parses `text` as a single YAML document that is a mapping. Throws
/// `core::findings_error` if it is not one.
YAML::Node ParseDocument(const std::string& text, const std::string& file);

/// Whether a key must be present in a mapping.
enum class presence { kRequired, kOptional };

/// Smallest and largest value that a setting may have.
template <typename T>
struct value_range {
  T min;
  T max;
};

/// Reads the values of one YAML mapping key by key. An invalid value is
/// reported to the sink and leaves the output unchanged, so that one pass finds
/// all errors.
/// Thread safety: none.
class yaml_mapping {
 public:
  /// `name` is the path of the mapping used in messages; it is empty for the
  /// top-level mapping.
  /// Precondition: `sink` outlives the mapping.
  yaml_mapping(const YAML::Node& node, std::string name, finding_sink* sink);

  void ReadText(const std::string& key,
                std::string* value,
                presence requirement = presence::kOptional);
  void ReadFlag(const std::string& key, bool* value);
  void ReadWholeNumber(const std::string& key,
                       std::uint64_t* value,
                       value_range<std::uint64_t> range,
                       presence requirement = presence::kOptional);
  void ReadNumber(const std::string& key,
                  double* value,
                  value_range<double> range);
  void ReadDuration(const std::string& key,
                    core::duration* value,
                    value_range<core::duration> range,
                    presence requirement = presence::kOptional);
  void ReadBytes(const std::string& key,
                 std::uint64_t* value,
                 value_range<std::uint64_t> range);
  void ReadShare(const std::string& key,
                 double* value,
                 presence requirement = presence::kOptional);

  /// Returns the mapping under `key`, or nothing if it is missing or not a
  /// mapping.
  std::optional<yaml_mapping> Section(
      const std::string& key,
      presence requirement = presence::kOptional);

  /// Returns the mappings in the list under `key`, without the items that are
  /// not mappings.
  std::vector<yaml_mapping> List(const std::string& key);

  /// Returns the scalar values in the list under `key`.
  std::vector<std::string> TextList(const std::string& key,
                                    presence requirement = presence::kOptional);

  /// Reports keys that were not read, with the most similar known key, and
  /// duplicate keys. Call it after all keys have been read.
  void CheckKeys();

  /// Returns the node under `key`, or the mapping's own node if it is missing,
  /// for the location of a finding.
  YAML::Node At(const std::string& key) const;

  /// Returns the location of the start of the mapping.
  core::source_location place() const;

 private:
  // Returns the node under `key`, or nothing if it is missing, which is
  // reported if the key is required. The key counts as known from then on.
  std::optional<YAML::Node> Find(const std::string& key, presence requirement);
  std::optional<std::string> Scalar(const std::string& key,
                                    presence requirement);
  std::string QuotedPath(const std::string& key) const;

  // Parses the scalar under `key` with `parse`, which throws `unit_error`.
  template <typename T, typename Parse>
  std::optional<T> ReadWith(const std::string& key,
                            presence requirement,
                            Parse parse);
  template <typename T, typename Parse, typename Format>
  void ReadInRange(const std::string& key,
                   T* value,
                   value_range<T> range,
                   presence requirement,
                   Parse parse,
                   Format format);

  YAML::Node node_;
  std::string name_;
  finding_sink* sink_;
  std::vector<std::string> known_keys_;
};

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SRC_SETTINGS_YAML_MAPPING_H_
