#include "plantainhead/core/membership/watch_ring.h"

#include <algorithm>
#include <tuple>

namespace plantainhead::core {
namespace {

struct ring_place {
  // How many members of the same zone come before this one.
  std::size_t round = 0;
  zone_id zone;
  incarnation who = incarnation::kNone;
};

// Takes one member of each zone in turn. If a zone is lost as a whole, each of
// its members still has watchers in other zones.
std::vector<ring_place> Arrange(const watch_ring::member_map& members) {
  std::map<zone_id, std::size_t> rounds;
  std::vector<ring_place> places;
  places.reserve(members.size());
  for (const auto& [who, member] : members) {
    places.push_back({rounds[member.zone]++, member.zone, who});
  }
  std::ranges::sort(places, {}, [](const ring_place& place) {
    return std::tuple(place.round, place.zone, place.who);
  });
  return places;
}

}  // namespace

watch_ring::watch_ring(const member_map& members, std::size_t watchers) {
  if (members.empty()) {
    return;
  }
  const std::vector<ring_place> places = Arrange(members);
  const std::size_t count = std::min(watchers, places.size() - 1);
  for (std::size_t i = 0; i < places.size(); ++i) {
    std::vector<incarnation>& list = watchers_[places[i].who];
    list.reserve(count);
    for (std::size_t step = 1; step <= count; ++step) {
      list.push_back(places[(i + step) % places.size()].who);
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
