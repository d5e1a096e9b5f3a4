#include "plantainhead/core/jobs/index_ranges.h"

#include <algorithm>
#include <iterator>

namespace plantainhead::core::jobs {

index_ranges::range_map::const_iterator index_ranges::Find(
    std::uint32_t index) const {
  const auto next = ranges_.upper_bound(index);
  if (next == ranges_.begin()) {
    return ranges_.end();
  }
  const auto found = std::prev(next);
  return index < found->second ? found : ranges_.end();
}

bool index_ranges::Contains(std::uint32_t index) const {
  return Find(index) != ranges_.end();
}

bool index_ranges::Add(std::uint32_t index) {
  const std::uint64_t size = size_;
  AddRange(index, index + 1);
  return size_ != size;
}

void index_ranges::AddRange(std::uint32_t begin, std::uint32_t end) {
  if (begin == end) {
    return;
  }
  auto it = ranges_.upper_bound(begin);
  if (it != ranges_.begin() && std::prev(it)->second >= begin) {
    --it;
    begin = it->first;
  }
  while (it != ranges_.end() && it->first <= end) {
    end = std::max(end, it->second);
    size_ -= it->second - it->first;
    it = ranges_.erase(it);
  }
  ranges_.emplace_hint(it, begin, end);
  size_ += end - begin;
}

bool index_ranges::Remove(std::uint32_t index) {
  const auto found = Find(index);
  if (found == ranges_.end()) {
    return false;
  }
  const auto [begin, end] = *found;
  ranges_.erase(found);
  if (begin < index) {
    ranges_.emplace(begin, index);
  }
  if (index + 1 < end) {
    ranges_.emplace(index + 1, end);
  }
  --size_;
  return true;
}

std::uint32_t index_ranges::NextAbsent(std::uint32_t begin) const {
  const auto found = Find(begin);
  return found == ranges_.end() ? begin : found->second;
}

}  // namespace plantainhead::core::jobs
