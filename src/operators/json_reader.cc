#include "operators/json_reader.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <stdexcept>
#include <utility>

#include "operators/views.h"
#include "settings/units.h"

namespace plantainhead::operators {
namespace {

constexpr char kBodyName[] = "request body";

nlohmann::json ParseObject(const std::string& body) {
  if (body.empty()) {
    return nlohmann::json::object();
  }
  nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
  if (!value.is_object()) {
    throw core::findings_error(
        {{{kBodyName, 0, 0}, "the body must be a JSON object"}});
  }
  return value;
}

}  // namespace

bool IsPlainName(const std::string& name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char character) {
           return std::isalnum(character) != 0 || character == '.' ||
                  character == '_' || character == '-';
         });
}

json_reader::json_reader(const std::string& body)
    : object_(ParseObject(body)) {}

const nlohmann::json* json_reader::Find(const std::string& key) {
  known_.insert(key);
  const auto found = object_.find(key);
  return found == object_.end() ? nullptr : &*found;
}

void json_reader::Report(std::string message) {
  findings_.push_back({{kBodyName, 0, 0}, std::move(message)});
}

std::string json_reader::Text(const std::string& key) {
  const nlohmann::json* const value = Find(key);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    Report("'" + key + "' must be a text");
    return "";
  }
  return value->get<std::string>();
}

std::string json_reader::Name(const std::string& key) {
  std::string name = Text(key);
  if (!IsPlainName(name)) {
    Report("'" + key + "' must be a name of letters, digits, '.', '_' and '-'");
  }
  return name;
}

std::vector<std::string> json_reader::Names(const std::string& key) {
  const nlohmann::json* const value = Find(key);
  std::vector<std::string> names;
  if (value == nullptr || !value->is_array() || value->empty()) {
    Report("'" + key + "' must be a list of names");
    return names;
  }
  for (const nlohmann::json& item : *value) {
    if (item.is_string()) {
      names.push_back(item.get<std::string>());
    } else {
      Report("'" + key + "' must be a list of names");
    }
  }
  return names;
}

std::uint32_t json_reader::Count(const std::string& key,
                                 std::uint32_t otherwise) {
  const nlohmann::json* const value = Find(key);
  if (value == nullptr) {
    return otherwise;
  }
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
  if (!value->is_number_unsigned() || value->get<std::uint64_t>() > kMost) {
    Report("'" + key + "' must be a whole number without a sign");
    return otherwise;
  }
  return value->get<std::uint32_t>();
}

bool json_reader::Flag(const std::string& key) {
  const nlohmann::json* const value = Find(key);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    Report("'" + key + "' must be true or false");
    return false;
  }
  return value->get<bool>();
}

core::time_point json_reader::Time(const std::string& key) {
  const std::string text = Text(key);
  if (text.empty()) {
    return {};
  }
  try {
    return FromUtc(text);
  } catch (const std::invalid_argument& error) {
    Report("'" + key + "': " + error.what());
    return {};
  }
}

core::duration json_reader::Duration(const std::string& key) {
  const std::string text = Text(key);
  if (text.empty()) {
    return {};
  }
  try {
    return settings::ParseDuration(text);
  } catch (const settings::unit_error& error) {
    Report("'" + key + "': " + error.what());
    return {};
  }
}

void json_reader::Finish() {
  for (const auto& [key, value] : object_.items()) {
    if (!known_.contains(key)) {
      Report("'" + key + "' is not known");
    }
  }
  if (!findings_.empty()) {
    throw core::findings_error(std::move(findings_));
  }
}

}  // namespace plantainhead::operators
