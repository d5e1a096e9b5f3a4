#ifndef PLANTAINHEAD_SETTINGS_FILES_H_
#define PLANTAINHEAD_SETTINGS_FILES_H_

#include <string>

namespace plantainhead::settings {

/// Returns the entire content of the file at `path`.
/// Thread safety: safe from any thread.
/// Errors: throws `core::findings_error` if it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace plantainhead::settings

#endif  // PLANTAINHEAD_SETTINGS_FILES_H_
