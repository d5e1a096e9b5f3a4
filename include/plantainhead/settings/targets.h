#ifndef PLANTAINHEAD_SETTINGS_TARGETS_H_
#define PLANTAINHEAD_SETTINGS_TARGETS_H_

#include <string>

#include "plantainhead/core/configuration.h"

namespace plantainhead::settings {

/// Parses the targets that an operator publishes from YAML text. `file` is the
/// file name used in findings. docs/CONFIGURATION.md describes the schema.
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` with all errors, each with its
/// location: unknown and missing keys, wrong units, values out of range, and
/// the inconsistencies between sections that `core::configuration_builder`
/// finds.
core::configuration ParseTargets(const std::string& text,
                                 const std::string& file);

/// Returns YAML text that `ParseTargets` parses to a configuration equal to
/// `targets`.
/// Thread safety: safe from any thread.
std::string FormatTargets(const core::configuration& targets);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SETTINGS_TARGETS_H_
