#ifndef PLANTAINHEAD_CORE_LOG_APPEND_IDS_H_
#define PLANTAINHEAD_CORE_LOG_APPEND_IDS_H_

#include <cstdint>

#include "plantainhead/core/ids.h"

namespace plantainhead::core {

/// Generates append ids. All modules of one entry that append to the log share
/// one generator, so that each `append_finished` event belongs to exactly one
/// module. Thread safety: none; owned by the thread that runs the decision
/// logic.
class append_ids {
 public:
  /// Returns an id that this object has not returned before, never `kNone`.
  append_id Next() { return static_cast<append_id>(++last_); }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_APPEND_IDS_H_
