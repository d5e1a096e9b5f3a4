#include "plantainhead/core/membership/watch_ring.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace plantainhead::core {
namespace {

watch_ring::member_map Members(std::uint64_t count, std::uint64_t zones) {
  watch_ring::member_map members;
  for (std::uint64_t number = 1; number <= count; ++number) {
    entry_member& member = members[incarnation{number}];
    member.who = incarnation{number};
    member.zone = zone_id("zone-" + std::to_string(number % zones));
  }
  return members;
}

TEST_CASE("The members of a view are placed on a ring") {
  SECTION("each with the configured number of watchers, excluding itself") {
    const auto members = Members(9, 3);
    const watch_ring ring(members, 3);
    std::map<incarnation, int> watch_counts;
    for (const auto& [who, member] : members) {
      CHECK(ring.WatchersOf(who).size() == 3);
      CHECK_FALSE(ring.Watches(who, who));
      for (const incarnation watcher : ring.WatchersOf(who)) {
        CHECK(ring.Watches(watcher, who));
        ++watch_counts[watcher];
      }
    }
    for (const auto& [who, count] : watch_counts) {
      CHECK(count == 3);
    }
  }

  // If all watchers of a member were in its own zone, a power loss of the zone
  // would leave no member to detect its failure.
  SECTION("with the nearest two watchers in other zones") {
    const auto members = Members(9, 3);
    const watch_ring ring(members, 3);
    for (const auto& [who, member] : members) {
      const auto& watchers = ring.WatchersOf(who);
      CHECK(members.at(watchers[0]).zone != member.zone);
      CHECK(members.at(watchers[1]).zone != member.zone);
    }
  }

  SECTION("of one, two or no members") {
    CHECK(watch_ring(Members(1, 1), 3).WatchersOf(incarnation{1}).empty());
    const watch_ring two(Members(2, 1), 3);
    CHECK(two.Watches(incarnation{1}, incarnation{2}));
    CHECK(two.WatchersOf(incarnation{1}).size() == 1);
    CHECK(watch_ring({}, 3).WatchersOf(incarnation{1}).empty());
  }
}

}  // namespace
}  // namespace plantainhead::core
