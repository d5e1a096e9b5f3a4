#ifndef PLANTAINHEAD_SRC_JOBS_FAULT_LOG_H_
#define PLANTAINHEAD_SRC_JOBS_FAULT_LOG_H_

#include <string>

#include "plantainhead/core/jobs/record_faults.h"

namespace plantainhead::jobs {

/// Counts what can't be read, and writes one line for each key that holds it.
/// Thread safety: one thread at a time.
class fault_log {
 public:
  /// `topic` may also name a list that isn't one of the store's.
  void Note(const std::string& topic,
            const std::string& key,
            const core::jobs::record_fault& fault);
  void NoteValid(const std::string& topic, const std::string& key) {
    ledger_.NoteValid(topic, key);
  }
  const core::jobs::record_fault_counter& ledger() const { return ledger_; }

 private:
  core::jobs::record_fault_counter ledger_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FAULT_LOG_H_
