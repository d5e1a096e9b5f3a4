#include "jobs/fault_log.h"

#include <algorithm>

#include "jobs/event_log.h"

namespace plantainhead::jobs {
namespace {

// Maximum length of a key or a field path in a log line.
constexpr std::size_t kMaxLoggedBytes = 80;

// Replaces non-printable bytes and truncates the text: keys stored by other
// writers may have any content and length.
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
