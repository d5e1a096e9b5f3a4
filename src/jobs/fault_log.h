#ifndef PLANTAINHEAD_SRC_JOBS_FAULT_LOG_H_
#define PLANTAINHEAD_SRC_JOBS_FAULT_LOG_H_

#include <string>

#include "plantainhead/core/jobs/record_faults.h"

namespace plantainhead::jobs {

/// Counts the records that cannot be decoded, and logs one line for each key
/// that holds such a record.
/// Thread safety: one thread at a time.
class fault_log {
 public:
  /// Counts a fault in the record under `key` and logs it unless it has been
  /// logged before. `topic` may also name a list that is not kept in the store.
  void Note(const std::string& topic,
            const std::string& key,
            const core::jobs::record_fault& fault);
  /// Notes that the newest record under `key` is valid.
  void NoteValid(const std::string& topic, const std::string& key) {
    counter_.NoteValid(topic, key);
  }
  const core::jobs::record_fault_counter& counter() const { return counter_; }

 private:
  core::jobs::record_fault_counter counter_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FAULT_LOG_H_
