#ifndef PLANTAINHEAD_CORE_LOG_APPEND_IDS_H_
#define PLANTAINHEAD_CORE_LOG_APPEND_IDS_H_

#include <cstdint>

#include "plantainhead/core/ids.h"

namespace plantainhead::core {

/// Hands out the numbers of appends. All modules of one entry that append to
/// the log share one, so that an `append_finished` belongs to one of them only.
/// Thread safety: none; owned by the thread of the decisions.
class append_ids {
 public:
  /// Returns a number that this object has not returned before, never `kNone`.
  append_id Next() { return static_cast<append_id>(++last_); }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_APPEND_IDS_H_
