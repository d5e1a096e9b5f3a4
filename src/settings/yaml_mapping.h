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

/// Where a reader puts what it finds wrong in one file.
/// Thread safety: none.
struct finding_sink {
  std::string file;
  std::vector<core::finding> findings;

  /// Adds a finding at the place of `node`.
  void Add(const YAML::Node& node, std::string message);

  /// Throws `core::findings_error` in the order of the places, if there is
  /// anything to throw.
  void ThrowIfAny();
};

/// Parses `text` as one YAML document that is a mapping. Throws
/// `core::findings_error` when it isn't one.
YAML::Node ParseDocument(const std::string& text, const std::string& file);

enum class presence { kRequired, kOptional };

/// Least and greatest value that is allowed.
template <typename T>
struct value_range {
  T least;
  T most;
};

/// Reads one YAML mapping key by key. What is wrong goes to the sink and leaves
/// the target value as it was, so that one pass finds all mistakes.
/// Thread safety: none.
class yaml_mapping {
 public:
  /// `name` is the path of the mapping for messages, empty at the top.
  /// Precondition: `sink` outlives the mapping.
  yaml_mapping(const YAML::Node& node, std::string name, finding_sink* sink);

  void ReadText(const std::string& key,
                std::string* value,
                presence need = presence::kOptional);
  void ReadFlag(const std::string& key, bool* value);
  void ReadWholeNumber(const std::string& key,
                       std::uint64_t* value,
                       value_range<std::uint64_t> range,
                       presence need = presence::kOptional);
  void ReadNumber(const std::string& key,
                  double* value,
                  value_range<double> range);
  void ReadDuration(const std::string& key,
                    core::duration* value,
                    value_range<core::duration> range,
                    presence need = presence::kOptional);
  void ReadBytes(const std::string& key,
                 std::uint64_t* value,
                 value_range<std::uint64_t> range);
  void ReadShare(const std::string& key,
                 double* value,
                 presence need = presence::kOptional);

  /// Returns the mapping under `key`; nothing when it is missing or of another
  /// kind.
  std::optional<yaml_mapping> Section(const std::string& key,
                                      presence need = presence::kOptional);

  /// Returns the mappings in the list under `key`, without those of another
  /// kind.
  std::vector<yaml_mapping> List(const std::string& key);

  /// Returns the texts in the list under `key`.
  std::vector<std::string> TextList(const std::string& key,
                                    presence need = presence::kOptional);

  /// Reports keys that nobody read, with the known key that is nearest, and
  /// keys that stand twice. Call it last.
  void CheckKeys();

  /// Returns the node under `key`, else the mapping's own, for the place of a
  /// finding.
  YAML::Node At(const std::string& key) const;

  /// Returns where the mapping starts.
  core::source_location place() const;

 private:
  // Returns the node under `key`, or a null node after reporting that it is
  // missing. The key counts as known from then on.
  std::optional<YAML::Node> Find(const std::string& key, presence need);
  std::optional<std::string> Scalar(const std::string& key, presence need);
  std::string PathOf(const std::string& key) const;

  // Parses the scalar under `key` by `parse`, which throws `unit_error`.
  template <typename T, typename Parse>
  std::optional<T> ReadWith(const std::string& key, presence need, Parse parse);
  template <typename T, typename Parse, typename Format>
  void ReadInRange(const std::string& key,
                   T* value,
                   value_range<T> range,
                   presence need,
                   Parse parse,
                   Format format);

  YAML::Node node_;
  std::string name_;
  finding_sink* sink_;
  std::vector<std::string> known_;
};

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SRC_SETTINGS_YAML_MAPPING_H_
