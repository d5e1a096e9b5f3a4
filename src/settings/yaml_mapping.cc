#include "settings/yaml_mapping.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

#include "settings/units.h"

namespace plantainhead::settings {
namespace {

core::source_location PlaceOf(const YAML::Mark& mark, const std::string& file) {
  if (mark.is_null()) {
    return {file, 0, 0};
  }
  return {file, mark.line + 1, mark.column + 1};
}

// Returns the Levenshtein distance of two texts.
std::size_t EditDistance(const std::string& left, const std::string& right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t replaced =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

// Returns the known key most similar to `key`, or an empty text if none is
// similar enough.
std::string NearestKey(const std::string& key,
                       const std::vector<std::string>& known) {
  constexpr std::size_t kMaxEdits = 3;
  std::string nearest;
  std::size_t min_distance = kMaxEdits + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(key, candidate);
    if (distance < min_distance && distance < candidate.size()) {
      min_distance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace

void finding_sink::Add(const YAML::Node& node, std::string message) {
  findings.push_back({PlaceOf(node.Mark(), file), std::move(message)});
}

void finding_sink::ThrowIfAny() {
  if (findings.empty()) {
    return;
  }
  std::stable_sort(findings.begin(), findings.end(),
                   [](const core::finding& left, const core::finding& right) {
                     return std::tie(left.place.line, left.place.column) <
                            std::tie(right.place.line, right.place.column);
                   });
  throw core::findings_error(std::move(findings));
}

YAML::Node ParseDocument(const std::string& text, const std::string& file) {
  std::vector<YAML::Node> documents;
  try {
    documents = YAML::LoadAll(text);
  } catch (const YAML::Exception& error) {
    throw core::findings_error({{PlaceOf(error.mark, file), error.msg}});
  }
  if (documents.size() != 1 || !documents.front().IsMap()) {
    throw core::findings_error(
        {{{file, 1, 1}, "the file must contain exactly one YAML mapping"}});
  }
  return documents.front();
}

yaml_mapping::yaml_mapping(const YAML::Node& node,
                           std::string name,
                           finding_sink* sink)
    : node_(node), name_(std::move(name)), sink_(sink) {}

std::string yaml_mapping::QuotedPath(const std::string& key) const {
  return "'" + (name_.empty() ? key : name_ + "." + key) + "'";
}

YAML::Node yaml_mapping::At(const std::string& key) const {
  for (const auto& item : node_) {
    if (item.first.IsScalar() && item.first.Scalar() == key) {
      return item.second;
    }
  }
  return node_;
}

core::source_location yaml_mapping::place() const {
  return PlaceOf(node_.Mark(), sink_->file);
}

std::optional<YAML::Node> yaml_mapping::Find(const std::string& key,
                                             presence requirement) {
  known_keys_.push_back(key);
  for (const auto& item : node_) {
    if (item.first.IsScalar() && item.first.Scalar() == key) {
      return item.second;
    }
  }
  if (requirement == presence::kRequired) {
    sink_->Add(node_, QuotedPath(key) + " is missing");
  }
  return std::nullopt;
}

std::optional<std::string> yaml_mapping::Scalar(const std::string& key,
                                                presence requirement) {
  const std::optional<YAML::Node> node = Find(key, requirement);
  if (!node) {
    return std::nullopt;
  }
  if (!node->IsScalar()) {
    sink_->Add(*node, QuotedPath(key) + " must be a scalar value");
    return std::nullopt;
  }
  return node->Scalar();
}

template <typename T, typename Parse>
std::optional<T> yaml_mapping::ReadWith(const std::string& key,
                                        presence requirement,
                                        Parse parse) {
  const std::optional<std::string> text = Scalar(key, requirement);
  if (!text) {
    return std::nullopt;
  }
  try {
    return parse(*text);
  } catch (const unit_error& error) {
    sink_->Add(At(key), QuotedPath(key) + ": " + error.what());
    return std::nullopt;
  }
}

template <typename T, typename Parse, typename Format>
void yaml_mapping::ReadInRange(const std::string& key,
                               T* value,
                               value_range<T> range,
                               presence requirement,
                               Parse parse,
                               Format format) {
  const std::optional<T> read = ReadWith<T>(key, requirement, parse);
  if (!read) {
    return;
  }
  if (*read < range.min || *read > range.max) {
    sink_->Add(At(key), QuotedPath(key) + " must be between " +
                            format(range.min) + " and " + format(range.max) +
                            ", not " + format(*read));
    return;
  }
  *value = *read;
}

void yaml_mapping::ReadText(const std::string& key,
                            std::string* value,
                            presence requirement) {
  const std::optional<std::string> text = Scalar(key, requirement);
  if (!text) {
    return;
  }
  if (requirement == presence::kRequired && text->empty()) {
    sink_->Add(At(key), QuotedPath(key) + " is empty");
    return;
  }
  *value = *text;
}

void yaml_mapping::ReadFlag(const std::string& key, bool* value) {
  const auto parse = [](const std::string& text) {
    if (text != "true" && text != "false") {
      throw unit_error("'" + text + "' cannot be parsed: write true or false");
    }
    return text == "true";
  };
  *value = ReadWith<bool>(key, presence::kOptional, parse).value_or(*value);
}

void yaml_mapping::ReadWholeNumber(const std::string& key,
                                   std::uint64_t* value,
                                   value_range<std::uint64_t> range,
                                   presence requirement) {
  ReadInRange(key, value, range, requirement, ParseWholeNumber,
              [](std::uint64_t number) { return std::to_string(number); });
}

void yaml_mapping::ReadNumber(const std::string& key,
                              double* value,
                              value_range<double> range) {
  ReadInRange(key, value, range, presence::kOptional, ParseNumber,
              FormatNumber);
}

void yaml_mapping::ReadDuration(const std::string& key,
                                core::duration* value,
                                value_range<core::duration> range,
                                presence requirement) {
  ReadInRange(key, value, range, requirement, ParseDuration, FormatDuration);
}

void yaml_mapping::ReadBytes(const std::string& key,
                             std::uint64_t* value,
                             value_range<std::uint64_t> range) {
  ReadInRange(key, value, range, presence::kOptional, ParseBytes, FormatBytes);
}

void yaml_mapping::ReadShare(const std::string& key,
                             double* value,
                             presence requirement) {
  *value = ReadWith<double>(key, requirement, ParseShare).value_or(*value);
}

std::optional<yaml_mapping> yaml_mapping::Section(const std::string& key,
                                                  presence requirement) {
  const std::optional<YAML::Node> node = Find(key, requirement);
  if (!node) {
    return std::nullopt;
  }
  if (!node->IsMap()) {
    sink_->Add(*node, QuotedPath(key) + " must be a mapping");
    return std::nullopt;
  }
  return yaml_mapping(*node, name_.empty() ? key : name_ + "." + key, sink_);
}

std::vector<yaml_mapping> yaml_mapping::List(const std::string& key) {
  const std::optional<YAML::Node> node = Find(key, presence::kOptional);
  std::vector<yaml_mapping> items;
  if (!node) {
    return items;
  }
  if (!node->IsSequence()) {
    sink_->Add(*node, QuotedPath(key) + " must be a list");
    return items;
  }
  for (std::size_t i = 0; i < node->size(); ++i) {
    const YAML::Node item = (*node)[i];
    const std::string name = key + "[" + std::to_string(i) + "]";
    if (item.IsMap()) {
      items.emplace_back(item, name, sink_);
    } else {
      sink_->Add(item, QuotedPath(name) + " must be a mapping");
    }
  }
  return items;
}

std::vector<std::string> yaml_mapping::TextList(const std::string& key,
                                                presence requirement) {
  const std::optional<YAML::Node> node = Find(key, requirement);
  std::vector<std::string> texts;
  if (!node) {
    return texts;
  }
  if (!node->IsSequence()) {
    sink_->Add(*node, QuotedPath(key) + " must be a list");
    return texts;
  }
  for (const YAML::Node& item : *node) {
    if (item.IsScalar()) {
      texts.push_back(item.Scalar());
    } else {
      sink_->Add(item, QuotedPath(key) + " must contain only scalar values");
    }
  }
  return texts;
}

void yaml_mapping::CheckKeys() {
  std::set<std::string> seen;
  for (const auto& item : node_) {
    if (!item.first.IsScalar()) {
      sink_->Add(item.first, "a key must be a scalar value");
      continue;
    }
    const std::string& key = item.first.Scalar();
    if (!seen.insert(key).second) {
      sink_->Add(item.first, QuotedPath(key) + " is defined more than once");
      continue;
    }
    if (std::find(known_keys_.begin(), known_keys_.end(), key) !=
        known_keys_.end()) {
      continue;
    }
    const std::string nearest = NearestKey(key, known_keys_);
    sink_->Add(
        item.first,
        QuotedPath(key) + " is not a known key" +
            (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
  }
}

}  // namespace plantainhead::settings
