#ifndef PLANTAINHEAD_SRC_JOBS_APPEND_LIMITS_H_
#define PLANTAINHEAD_SRC_JOBS_APPEND_LIMITS_H_

#include <cstddef>
#include <iterator>
#include <vector>

#include "platform/store_client.h"

namespace plantainhead::jobs {

/// The number of bytes of records that one append should not exceed. It leaves
/// room for a record of the maximum size.
inline constexpr std::size_t kMaxAppendBytes =
    adapter::kMaxCallBytes / 2 - adapter::kMaxRecordBytes;

/// Removes the first items whose records fit into one append, at least one, and
/// returns them. `record_of` returns the record of an item. Precondition: there
/// is an item.
/// Thread safety: safe from any thread for different lists.
template <typename Item, typename RecordOf>
std::vector<Item> TakeForAppend(std::vector<Item>* items, RecordOf record_of) {
  std::size_t bytes = 0;
  auto end = items->begin();
  do {
    bytes += adapter::BytesOf(record_of(*end));
    ++end;
  } while (end != items->end() &&
           bytes + adapter::BytesOf(record_of(*end)) <= kMaxAppendBytes);
  std::vector<Item> taken(std::make_move_iterator(items->begin()),
                          std::make_move_iterator(end));
  items->erase(items->begin(), end);
  return taken;
}

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_APPEND_LIMITS_H_
