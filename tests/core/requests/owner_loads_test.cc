#include "plantainhead/core/requests/owner_loads.h"

#include <catch2/catch.hpp>

#include <map>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

struct routing_fixture {
  request_harness harness;
  owner_loads loads;
  random_source random{1};
  service_load own;
  std::vector<incarnation> avoid;

  routing_fixture() {
    harness.AddMember(kPeer, "goyang");
    harness.AddMember(kOther, "seongnam");
    harness.AddEndpoint("runner-2", "goyang");
    harness.AddEndpoint("runner-3", "seongnam");
  }

  std::map<incarnation, int> DrawOwners(int times) {
    harness.table.Rebuild(harness.fleet, harness.listings, kSelf, {});
    std::map<incarnation, int> owner_counts;
    for (int i = 0; i < times; ++i) {
      const auto owner = loads.Choose(*harness.table.Find(kIntake), own,
                                      harness.Context(), avoid, random);
      owner_counts[owner.value_or(incarnation::kNone)] += 1;
    }
    return owner_counts;
  }

  void Report(incarnation owner, std::uint32_t busy, std::uint32_t queued) {
    loads.OnReport(owner, {{kIntake, 8, busy, queued}});
  }
};

TEST_CASE("An owner is chosen for a request") {
  routing_fixture fixture;

  SECTION("among those with endpoints, weighted by slots") {
    const auto owner_counts = fixture.DrawOwners(1000);
    CHECK(owner_counts.size() == 2);
    CHECK(owner_counts.at(kPeer) > 400);
    CHECK(owner_counts.at(kOther) > 400);
  }

  SECTION("this entry first, while it has a free slot") {
    fixture.harness.AddEndpoint("runner-1", "suwon");
    fixture.own = {kIntake, 8, 7, 0};
    CHECK(fixture.DrawOwners(10).at(kSelf) == 10);
    fixture.own.busy = 8;
    CHECK(fixture.DrawOwners(100)[kSelf] < 100);
  }

  SECTION("the less loaded of two") {
    fixture.Report(kPeer, 8, 20);
    fixture.Report(kOther, 8, 2);
    CHECK(fixture.DrawOwners(100).at(kOther) == 100);
  }

  SECTION("counting requests forwarded since its last report") {
    fixture.Report(kPeer, 0, 0);
    fixture.Report(kOther, 0, 0);
    for (int i = 0; i < 20; ++i) {
      fixture.loads.OnForwarded(kPeer, kIntake);
    }
    CHECK(fixture.DrawOwners(100).at(kOther) == 100);
  }

  SECTION("the one in this entry's zone on a tie") {
    fixture.harness.fleet.members[kPeer].zone = zone_id("suwon");
    fixture.harness.listings[0].zone = zone_id("suwon");
    fixture.harness.fleet.members.erase(kSelf);
    fixture.harness.fleet.members[kSelf].zone = zone_id("suwon");
    // The peer owns it, since this entry is the only other member of the zone.
    fixture.harness.stopping = {kSelf};
    fixture.harness.table.Rebuild(fixture.harness.fleet,
                                  fixture.harness.listings, kSelf, {kSelf});
    std::map<incarnation, int> owner_counts;
    for (int i = 0; i < 1000; ++i) {
      owner_counts[*fixture.loads.Choose(*fixture.harness.table.Find(kIntake),
                                         fixture.own, fixture.harness.Context(),
                                         {}, fixture.random)] += 1;
    }
    CHECK(owner_counts[kPeer] == 1000);
  }

  SECTION("never a suspect or one that was already tried") {
    fixture.harness.suspects = {kPeer};
    CHECK(fixture.DrawOwners(100).at(kOther) == 100);
    fixture.avoid = {kOther};
    CHECK(fixture.DrawOwners(100).at(incarnation::kNone) == 100);
  }
}

// The connection to an owner is lost. Until missing heartbeats make it a
// suspect, each request sent to it would be lost as well.
TEST_CASE("An owner whose connection was lost is not chosen") {
  routing_fixture fixture;
  fixture.loads.OnDisconnected(kPeer);
  CHECK(fixture.DrawOwners(100).at(kOther) == 100);

  SECTION("until it reports again") {
    fixture.Report(kPeer, 0, 0);
    CHECK(fixture.DrawOwners(100).size() == 2);
  }

  SECTION("and is removed once it is not a member") {
    fixture.harness.fleet.members.erase(kPeer);
    fixture.loads.Prune(fixture.harness.fleet);
    CHECK_FALSE(fixture.loads.IsDisconnected(kPeer));
  }
}

TEST_CASE("Owners report unavailable slots") {
  routing_fixture fixture;
  fixture.DrawOwners(1);
  const service_routes& routes = *fixture.harness.table.Find(kIntake);
  CHECK(fixture.loads.UnavailableSlots(routes) == 0);
  fixture.loads.OnReport(kPeer, {{kIntake, 3, 0, 0}});
  CHECK(fixture.loads.UnavailableSlots(routes) == 5);
  fixture.loads.OnDisconnected(kPeer);
  CHECK(fixture.loads.UnavailableSlots(routes) == 0);
}

}  // namespace
}  // namespace plantainhead::core
