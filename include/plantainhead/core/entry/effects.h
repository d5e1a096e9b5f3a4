#ifndef PLANTAINHEAD_CORE_ENTRY_EFFECTS_H_
#define PLANTAINHEAD_CORE_ENTRY_EFFECTS_H_

#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

/// Output of a decision module: actions and records, which modules append in
/// order. Thread safety: none.
struct effects {
  /// Actions for the adapter to execute.
  action_list actions;
  /// Records for the control stream. `control_log` assigns ids, batches the
  /// records, retries those whose append result is unknown and drops those that
  /// have become obsolete.
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
