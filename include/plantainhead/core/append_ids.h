#ifndef PLANTAINHEAD_CORE_APPEND_IDS_H_
#define PLANTAINHEAD_CORE_APPEND_IDS_H_

#include <cstdint>

#include "plantainhead/core/ids.h"

namespace plantainhead::core {

/// Numbers the appends of one entry process. Shared by all modules that append,
/// so that each can tell its own `append_finished` events from the others'.
/// Thread safety: none.
class append_ids {
 public:
  append_id Next() { return append_id(++last_); }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_APPEND_IDS_H_
