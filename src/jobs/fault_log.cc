#include "jobs/fault_log.h"

#include <algorithm>

#include "jobs/event_log.h"

namespace plantainhead::jobs {
namespace {

// Of a key or a place in a line of the log.
constexpr std::size_t kMaxLoggedBytes = 80;

// Another writer's keys may have any bytes and any length.
std::string Printable(const std::string& text) {
  std::string printable = text.substr(0, kMaxLoggedBytes);
  std::replace_if(
      printable.begin(), printable.end(),
      [](char byte) { return byte < ' ' || byte > '~'; }, '?');
  return printable;
}

}  // namespace

void fault_log::Note(const std::string& topic,
                     const std::string& key,
                     const core::jobs::record_fault& fault) {
  if (counter_.Note(topic, key, fault)) {
    LogEvent(job_event::kRecordInvalid,
             {{"topic", topic},
              {"key", Printable(key)},
              {"fault", std::string(core::NameOf(fault.kind))},
              {"field", Printable(fault.field)}});
  }
}

}  // namespace plantainhead::jobs
