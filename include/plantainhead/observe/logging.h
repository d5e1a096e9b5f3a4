#ifndef PLANTAINHEAD_OBSERVE_LOGGING_H_
#define PLANTAINHEAD_OBSERVE_LOGGING_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "plantainhead/core/entry/actions.h"

/// The log of a process: one JSON object a line, with `time` (UTC), `level`,
/// `message` and the fields, all in ASCII.
namespace plantainhead::observe {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Starts the log. Lines below `level` are left out; `file` is a path, which is
/// appended to, or "-" for the standard output. Without this call nothing is
/// written. A second call replaces the first.
/// Thread safety: call it while no other thread logs.
/// Errors: throws `std::system_error` when the file can't be opened.
void ConfigureLogging(core::log_severity level, const std::string& file);

/// Hands a line to the log and returns at once; a thread of the log writes it.
/// While the reader of the log is stuck and `kLogBacklog` lines wait, further
/// ones are dropped, and a line tells how many were. A field called `time`,
/// `level` or `message` gets a trailing "_".
/// Thread safety: safe from any thread.
void WriteLog(core::log_severity level,
              std::string_view message,
              const log_fields& fields = {});

/// Writes a note of the decisions.
/// Thread safety: safe from any thread.
void WriteLog(const core::write_log_message& note);

/// Writes what waits, for at most two seconds, and ends the log. Call it at the
/// end of `main`.
/// Thread safety: call it while no other thread logs.
void StopLogging();

/// Lines that wait at most.
inline constexpr std::size_t kLogBacklog = 8192;

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_OBSERVE_LOGGING_H_
