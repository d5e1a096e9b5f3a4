#ifndef PLANTAINHEAD_SRC_OBSERVE_LOG_LINE_H_
#define PLANTAINHEAD_SRC_OBSERVE_LOG_LINE_H_

#include <chrono>
#include <string>
#include <string_view>

#include "plantainhead/observe/logging.h"

namespace plantainhead::observe {

/// Returns one JSON object without a line break. Bytes that are not UTF-8 are
/// replaced.
/// Thread safety: safe from any thread.
std::string MakeLogLine(std::chrono::system_clock::time_point time,
                        core::log_severity level,
                        std::string_view message,
                        const log_fields& fields);

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_SRC_OBSERVE_LOG_LINE_H_
