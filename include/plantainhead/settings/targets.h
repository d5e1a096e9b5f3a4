#ifndef PLANTAINHEAD_SETTINGS_TARGETS_H_
#define PLANTAINHEAD_SETTINGS_TARGETS_H_

#include <string>

#include "plantainhead/core/configuration.h"

namespace plantainhead::settings {

/// Parses the targets that an operator publishes from YAML text. `file` names
/// the text in findings. docs/CONFIGURATION.md has the schema.
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` with all that is wrong, each with its
/// place: unknown and missing keys, wrong units and ranges, and what
/// `core::configuration_builder` finds across the parts.
core::configuration ParseTargets(const std::string& text,
                                 const std::string& file);

/// Returns YAML text that `ParseTargets` reads back as `targets`.
/// Thread safety: safe from any thread.
std::string FormatTargets(const core::configuration& targets);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SETTINGS_TARGETS_H_
