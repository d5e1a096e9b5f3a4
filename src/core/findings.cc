#include "plantainhead/core/findings.h"

#include <utility>

namespace plantainhead::core {
namespace {

std::string Join(const std::vector<finding>& findings) {
  std::string text;
  for (const finding& item : findings) {
    if (!text.empty()) {
      text += '\n';
    }
    text += ToString(item);
  }
  return text;
}

}  // namespace

std::string ToString(const finding& item) {
  std::string text = item.place.file;
  if (item.place.line > 0) {
    text += ':' + std::to_string(item.place.line);
    text += ':' + std::to_string(item.place.column);
  }
  if (!text.empty()) {
    text += ": ";
  }
  return text + item.message;
}

findings_error::findings_error(std::vector<finding> findings)
    : std::runtime_error(Join(findings)), findings_(std::move(findings)) {}

}  // namespace plantainhead::core
