#include "plantainhead/core/claim_home.h"

#include <xxhash.h>

#include <array>
#include <string>

namespace plantainhead::core {

std::uint32_t PartitionOf(const claim_key& key) {
  const std::string& text = key.value();
  return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()) %
                                    kClaimPartitions);
}

stream_name ClaimStream(std::uint32_t partition) {
  return stream_name("claims-" + std::to_string(partition));
}

incarnation HomeOf(std::uint32_t partition,
                   const fleet_state& state,
                   const std::set<incarnation>& excluded) {
  incarnation home = incarnation::kNone;
  std::uint64_t greatest = 0;
  for (const auto& [who, member] : state.members) {
    if (excluded.count(who) > 0) {
      continue;
    }
    const std::array<std::uint64_t, 2> parts = {static_cast<std::uint64_t>(who),
                                                partition};
    const std::uint64_t score = XXH3_64bits(parts.data(), sizeof(parts));
    if (home == incarnation::kNone || score > greatest) {
      home = who;
      greatest = score;
    }
  }
  return home;
}

}  // namespace plantainhead::core
