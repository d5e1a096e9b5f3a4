#include "plantainhead/core/requests/call_counts.h"

#include <algorithm>

namespace plantainhead::core {

std::uint32_t call_counts::CountOf(const vm_id& vm) const {
  const auto found = counts_.find(vm);
  return found == counts_.end() ? 0 : found->second;
}

const std::vector<const std::uint32_t*>& call_counts::OwnedCounts(
    const service_routes& routes) const {
  owned_counters& known = owned_[routes.name];
  if (known.version != routes.version) {
    known.version = routes.version;
    known.counters.clear();
    for (const std::size_t index : routes.owned) {
      known.counters.push_back(&counts_[routes.endpoints[index].vm]);
    }
  }
  return known.counters;
}

std::vector<vm_in_flight> call_counts::NonZeroCounts() const {
  std::vector<vm_in_flight> all;
  for (const auto& [vm, count] : counts_) {
    if (count > 0) {
      all.push_back({vm, count});
    }
  }
  std::sort(all.begin(), all.end(),
            [](const vm_in_flight& left, const vm_in_flight& right) {
              return left.vm < right.vm;
            });
  return all;
}

void call_counts::RemoveUnused() {
  owned_.clear();
  std::erase_if(counts_, [](const auto& count) { return count.second == 0; });
}

}  // namespace plantainhead::core
