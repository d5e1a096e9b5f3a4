#ifndef PLANTAINHEAD_SRC_CORE_CONTAINS_H_
#define PLANTAINHEAD_SRC_CORE_CONTAINS_H_

#include <algorithm>

namespace plantainhead::core {

/// Returns true if `range` contains `value`. Thread safety: the same as that of
/// the range.
template <typename Range, typename Value>
bool Contains(const Range& range, const Value& value) {
  return std::find(range.begin(), range.end(), value) != range.end();
}

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_CONTAINS_H_
