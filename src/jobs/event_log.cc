#include "jobs/event_log.h"

#include <array>
#include <string>

#include "jobs/clocks.h"
#include "jobs/line_budget.h"

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

event_budget BudgetOf(job_event event) {
  switch (event) {
    case job_event::kReadRepeated:
    case job_event::kReadUnanswered:
    case job_event::kMembersUnknown:
      return kReadBudget;
    case job_event::kTaskStarted:
    case job_event::kTaskNotStarted:
    case job_event::kTaskStopped:
    case job_event::kTaskEnded:
    case job_event::kTaskLost:
      return kTaskBudget;
    default:
      return kLineBudget;
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
  static std::array<line_budget, kJobEventNames.size()> budgets;
  const event_budget budget = BudgetOf(event);
  const line_budget::verdict verdict =
      budgets.at(static_cast<std::size_t>(event))
          .Take(BootTime(), budget.lines, budget.window);
  if (verdict.left_out > 0) {
    observe::WriteLog(LevelOf(job_event::kLinesLeftOut),
                      core::NameOf(job_event::kLinesLeftOut),
                      {{"event", std::string(core::NameOf(event))},
                       {"count", std::to_string(verdict.left_out)}});
  }
  if (verdict.is_written) {
    ++lines_written;
    observe::WriteLog(LevelOf(event), core::NameOf(event), fields);
  }
}

}  // namespace plantainhead::jobs
