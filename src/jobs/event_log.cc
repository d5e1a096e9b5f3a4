#include "jobs/event_log.h"

#include <array>
#include <string>

#include "jobs/clocks.h"
#include "jobs/log_rate_limiter.h"

namespace plantainhead::jobs {
namespace {

std::uint64_t lines_written = 0;

core::log_severity LevelOf(job_event event) {
  switch (event) {
    case job_event::kStoreLost:
    case job_event::kConfigurationInvalid:
    case job_event::kRecordInvalid:
    case job_event::kReadRepeated:
    case job_event::kReadUnanswered:
    case job_event::kRecordsSlow:
    case job_event::kServerLimitReached:
    case job_event::kMembersUnknown:
    case job_event::kCountRefused:
    case job_event::kJobUnanswered:
    case job_event::kStartsPaused:
    case job_event::kVmLost:
    case job_event::kOwnershipLost:
    case job_event::kTakeoverFailed:
    case job_event::kHostNotServiced:
    case job_event::kLinesLeftOut:
      return core::log_severity::kWarning;
    default:
      return core::log_severity::kInfo;
  }
}

}  // namespace

std::uint64_t LinesWritten() {
  return lines_written;
}

log_rate_limit RateLimitOf(job_event event) {
  switch (event) {
    case job_event::kReadRepeated:
    case job_event::kReadUnanswered:
    case job_event::kMembersUnknown:
      return kReadRateLimit;
    case job_event::kTaskStarted:
    case job_event::kTaskNotStarted:
    case job_event::kTaskStopped:
    case job_event::kTaskEnded:
    case job_event::kTaskLost:
      return kTaskRateLimit;
    default:
      return kDefaultRateLimit;
  }
}

void AppendAge(const char* name,
               core::time_point time,
               observe::log_fields* fields) {
  if (time != core::time_point()) {
    fields->emplace_back(name, MillisOf(BootTime() - time));
  }
}

void LogEvent(job_event event, const observe::log_fields& fields) {
  static std::array<log_rate_limiter, kJobEventNames.size()> limiters;
  const log_rate_limit limit = RateLimitOf(event);
  const log_rate_limiter::decision decision =
      limiters.at(static_cast<std::size_t>(event))
          .Acquire(BootTime(), limit.lines, limit.window);
  if (decision.suppressed_lines > 0) {
    observe::WriteLog(LevelOf(job_event::kLinesLeftOut),
                      core::NameOf(job_event::kLinesLeftOut),
                      {{"event", std::string(core::NameOf(event))},
                       {"count", std::to_string(decision.suppressed_lines)}});
  }
  if (decision.is_allowed) {
    ++lines_written;
    observe::WriteLog(LevelOf(event), core::NameOf(event), fields);
  }
}

}  // namespace plantainhead::jobs
