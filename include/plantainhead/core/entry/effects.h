#ifndef PLANTAINHEAD_CORE_ENTRY_EFFECTS_H_
#define PLANTAINHEAD_CORE_ENTRY_EFFECTS_H_

#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

/// What a module of the decisions wants done. Modules append to it, in order.
/// Thread safety: none.
struct effects {
  /// Carried out by the adapter.
  action_list actions;
  /// Records for the control stream. `control_log` gives them ids, batches
  /// them, appends again those whose answer was lost and drops what has become
  /// void.
  std::vector<record_body> records;

  void Do(action item) { actions.push_back(std::move(item)); }
  void Append(record_body body) { records.push_back(std::move(body)); }
  void Log(log_severity level,
           std::string message,
           std::vector<std::pair<std::string, std::string>> fields = {}) {
    Do(write_log_message{level, std::move(message), std::move(fields)});
  }
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_ENTRY_EFFECTS_H_
