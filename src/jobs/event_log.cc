#include "jobs/event_log.h"

#include <array>
#include <string>
#include <utility>

#include "jobs/clocks.h"

namespace plantainhead::jobs {
namespace {

struct line_budget {
  core::time_point second_began;
  unsigned written = 0;
  unsigned left_out = 0;
};

core::note_level LevelOf(job_event event) {
  switch (event) {
    case job_event::kStoreLost:
    case job_event::kConfigurationInvalid:
    case job_event::kRecordInvalid:
    case job_event::kReadRepeated:
    case job_event::kReadUnanswered:
    case job_event::kCountRefused:
    case job_event::kJobUnanswered:
    case job_event::kVmLost:
    case job_event::kOwnershipLost:
    case job_event::kTakeoverFailed:
    case job_event::kHostNotServiced:
    case job_event::kLinesLeftOut:
      return core::note_level::kWarning;
    default:
      return core::note_level::kInfo;
  }
}

}  // namespace

void LogEvent(job_event event, const observe::log_fields& fields) {
  static std::array<line_budget, kJobEventNames.size()> budgets;
  line_budget& budget = budgets.at(static_cast<std::size_t>(event));
  const core::time_point now = BootTime();
  if (now - budget.second_began >= std::chrono::seconds(1)) {
    if (budget.left_out > 0) {
      observe::WriteLog(LevelOf(job_event::kLinesLeftOut),
                        core::NameOf(job_event::kLinesLeftOut),
                        {{"event", std::string(core::NameOf(event))},
                         {"count", std::to_string(budget.left_out)}});
    }
    budget = {now, 0, 0};
  }
  if (budget.written >= kMostLinesPerSecond) {
    ++budget.left_out;
    return;
  }
  ++budget.written;
  observe::WriteLog(LevelOf(event), core::NameOf(event), fields);
}

}  // namespace plantainhead::jobs
