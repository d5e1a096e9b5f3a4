#include "plantainhead/core/requests/owner_loads.h"

#include <catch2/catch.hpp>

#include <map>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

struct routing_story {
  request_harness harness;
  owner_loads loads;
  random_source random{1};
  service_load own;
  std::vector<incarnation> avoid;

  routing_story() {
    harness.AddMember(kPeer, "goyang");
    harness.AddMember(kOther, "seongnam");
    harness.AddEndpoint("runner-2", "goyang");
    harness.AddEndpoint("runner-3", "seongnam");
  }

  std::map<incarnation, int> Draw(int times) {
    harness.table.Rebuild(harness.fleet, harness.listings, kSelf, {});
    std::map<incarnation, int> drawn;
    for (int i = 0; i < times; ++i) {
      const auto owner = loads.Choose(*harness.table.Find(kIntake), own,
                                      harness.Context(), avoid, random);
      drawn[owner.value_or(incarnation::kNone)] += 1;
    }
    return drawn;
  }

  void Report(incarnation owner, std::uint32_t busy, std::uint32_t queued) {
    loads.OnReport(owner, {{kIntake, 8, busy, queued}});
  }
};

TEST_CASE("An owner is chosen for a request") {
  routing_story story;

  SECTION("among those with endpoints, by their slots") {
    const auto drawn = story.Draw(1000);
    CHECK(drawn.size() == 2);
    CHECK(drawn.at(kPeer) > 400);
    CHECK(drawn.at(kOther) > 400);
  }

  SECTION("this entry first, while it has a free slot") {
    story.harness.AddEndpoint("runner-1", "suwon");
    story.own = {kIntake, 8, 7, 0};
    CHECK(story.Draw(10).at(kSelf) == 10);
    story.own.busy = 8;
    CHECK(story.Draw(100)[kSelf] < 100);
  }

  SECTION("the one that is less full of two") {
    story.Report(kPeer, 8, 20);
    story.Report(kOther, 8, 2);
    CHECK(story.Draw(100).at(kOther) == 100);
  }

  SECTION("with what was sent since its last report counted in") {
    story.Report(kPeer, 0, 0);
    story.Report(kOther, 0, 0);
    for (int i = 0; i < 20; ++i) {
      story.loads.OnForwarded(kPeer, kIntake);
    }
    CHECK(story.Draw(100).at(kOther) == 100);
  }

  SECTION("the one in this entry's zone when they tie") {
    story.harness.fleet.members[kPeer].zone = zone_id("suwon");
    story.harness.listings[0].zone = zone_id("suwon");
    story.harness.fleet.members.erase(kSelf);
    story.harness.fleet.members[kSelf].zone = zone_id("suwon");
    // Owned by the peer as the only other member of the zone is this entry.
    story.harness.stopping = {kSelf};
    story.harness.table.Rebuild(story.harness.fleet, story.harness.listings,
                                kSelf, {kSelf});
    std::map<incarnation, int> drawn;
    for (int i = 0; i < 1000; ++i) {
      drawn[*story.loads.Choose(*story.harness.table.Find(kIntake), story.own,
                                story.harness.Context(), {}, story.random)] +=
          1;
    }
    CHECK(drawn[kPeer] == 1000);
  }

  SECTION("never a suspect or one that was tried") {
    story.harness.suspects = {kPeer};
    CHECK(story.Draw(100).at(kOther) == 100);
    story.avoid = {kOther};
    CHECK(story.Draw(100).at(incarnation::kNone) == 100);
  }
}

// The connection to an owner breaks. Until heartbeats stop for long enough to
// suspect it, each request sent to it would be lost as well.
TEST_CASE("An owner whose connection was lost isn't chosen") {
  routing_story story;
  story.loads.OnDisconnected(kPeer);
  CHECK(story.Draw(100).at(kOther) == 100);

  SECTION("until it is heard again") {
    story.Report(kPeer, 0, 0);
    CHECK(story.Draw(100).size() == 2);
  }

  SECTION("and is forgotten once it is no member") {
    story.harness.fleet.members.erase(kPeer);
    story.loads.Prune(story.harness.fleet);
    CHECK_FALSE(story.loads.IsDisconnected(kPeer));
  }
}

TEST_CASE("Owners report slots that are out of use") {
  routing_story story;
  story.Draw(1);
  const service_routes& routes = *story.harness.table.Find(kIntake);
  CHECK(story.loads.UnavailableSlots(routes) == 0);
  story.loads.OnReport(kPeer, {{kIntake, 3, 0, 0}});
  CHECK(story.loads.UnavailableSlots(routes) == 5);
  story.loads.OnDisconnected(kPeer);
  CHECK(story.loads.UnavailableSlots(routes) == 0);
}

}  // namespace
}  // namespace plantainhead::core
