#include "plantainhead/core/claims/claim_coordinator.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace plantainhead::core {

std::uint32_t PartitionOf(const claim_key& key) {
  const std::string& text = key.value();
  return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()) %
                                    kClaimPartitions);
}

stream_name ClaimStream(std::uint32_t partition) {
  return stream_name("claims-" + std::to_string(partition));
}

std::vector<incarnation> CoordinatorsOf(std::uint32_t partition,
                                        const fleet_state& state,
                                        const std::set<incarnation>& excluded,
                                        std::size_t most) {
  std::vector<std::pair<std::uint64_t, incarnation>> weighed;
  for (const auto& [who, member] : state.members) {
    if (excluded.contains(who)) {
      continue;
    }
    const std::array<std::uint64_t, 2> parts = {static_cast<std::uint64_t>(who),
                                                partition};
    weighed.emplace_back(XXH3_64bits(parts.data(), sizeof(parts)), who);
  }
  std::sort(weighed.rbegin(), weighed.rend());
  std::vector<incarnation> coordinators;
  for (std::size_t i = 0; i < std::min(most, weighed.size()); ++i) {
    coordinators.push_back(weighed[i].second);
  }
  return coordinators;
}

incarnation CoordinatorOf(std::uint32_t partition,
                          const fleet_state& state,
                          const std::set<incarnation>& excluded) {
  const std::vector<incarnation> coordinators =
      CoordinatorsOf(partition, state, excluded, 1);
  return coordinators.empty() ? incarnation::kNone : coordinators.front();
}

}  // namespace plantainhead::core
