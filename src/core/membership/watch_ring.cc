#include "plantainhead/core/membership/watch_ring.h"

#include <algorithm>
#include <tuple>

namespace plantainhead::core {
namespace {

struct ring_position {
  // Number of members of the same zone that precede this one.
  std::size_t zone_rank = 0;
  zone_id zone;
  incarnation who = incarnation::kNone;
};

// Orders the members by taking one of each zone in turn. If a whole zone is
// lost, each of its members still has watchers in other zones.
std::vector<ring_position> OrderMembers(const watch_ring::member_map& members) {
  std::map<zone_id, std::size_t> rounds;
  std::vector<ring_position> positions;
  positions.reserve(members.size());
  for (const auto& [who, member] : members) {
    positions.push_back({rounds[member.zone]++, member.zone, who});
  }
  std::ranges::sort(positions, {}, [](const ring_position& position) {
    return std::tuple(position.zone_rank, position.zone, position.who);
  });
  return positions;
}

}  // namespace

watch_ring::watch_ring(const member_map& members, std::size_t watchers) {
  if (members.empty()) {
    return;
  }
  const std::vector<ring_position> positions = OrderMembers(members);
  const std::size_t count = std::min(watchers, positions.size() - 1);
  for (std::size_t i = 0; i < positions.size(); ++i) {
    std::vector<incarnation>& list = watchers_[positions[i].who];
    list.reserve(count);
    for (std::size_t step = 1; step <= count; ++step) {
      list.push_back(positions[(i + step) % positions.size()].who);
    }
  }
}

const std::vector<incarnation>& watch_ring::WatchersOf(incarnation who) const {
  static const std::vector<incarnation> kNobody;
  const auto found = watchers_.find(who);
  return found == watchers_.end() ? kNobody : found->second;
}

bool watch_ring::Watches(incarnation watcher, incarnation watched) const {
  const std::vector<incarnation>& list = WatchersOf(watched);
  return std::find(list.begin(), list.end(), watcher) != list.end();
}

}  // namespace plantainhead::core
