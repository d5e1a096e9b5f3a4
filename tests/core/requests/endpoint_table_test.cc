#include "plantainhead/core/requests/endpoint_table.h"

#include <catch2/catch.hpp>

#include <map>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

/// A fleet of 33 members in 11 zones with 520 endpoints of 5 services.
struct large_fleet {
  fleet_state fleet;
  std::vector<vm_listing> listings;

  large_fleet() {
    for (int i = 0; i < 5; ++i) {
      const service_name name("service-" + std::to_string(i));
      fleet.targets.services.push_back({name, {}});
    }
    for (std::uint64_t i = 1; i <= 33; ++i) {
      entry_member member;
      member.who = static_cast<incarnation>(i * 7919);
      member.zone = zone_id("zone-" + std::to_string(i % 11));
      fleet.members[member.who] = member;
    }
    for (int i = 0; i < 520; ++i) {
      vm_listing listing;
      listing.vm = vm_id("vm-" + std::to_string(i));
      listing.zone = zone_id("zone-" + std::to_string(i % 11));
      listing.port = 9000;
      listing.slots = 8;
      listing.service = service_name("service-" + std::to_string(i % 5));
      listings.push_back(listing);
    }
  }

  std::map<vm_id, incarnation> Owners() const {
    endpoint_table table;
    table.Rebuild(fleet, listings, incarnation::kNone, {});
    std::map<vm_id, incarnation> owners;
    for (const vm_listing& listing : listings) {
      owners[listing.vm] = table.FindVm(listing.vm)->owner;
    }
    return owners;
  }
};

TEST_CASE("Every endpoint has one owner") {
  large_fleet harness;
  const std::map<vm_id, incarnation> before = harness.Owners();

  SECTION("in its own zone, if the zone has members") {
    for (const vm_listing& listing : harness.listings) {
      const incarnation owner = before.at(listing.vm);
      CHECK(harness.fleet.members.at(owner).zone == listing.zone);
    }
  }

  SECTION("that stays the same when another member leaves") {
    const incarnation gone = harness.fleet.members.begin()->first;
    harness.fleet.members.erase(gone);
    for (const auto& [vm, owner] : harness.Owners()) {
      CHECK(owner != gone);
      CHECK((owner == before.at(vm) || before.at(vm) == gone));
    }
  }

  SECTION("in any zone, if its own zone has no member left") {
    std::erase_if(harness.fleet.members, [](const auto& member) {
      return member.second.zone == zone_id("zone-3");
    });
    for (const auto& [vm, owner] : harness.Owners()) {
      CHECK(owner != incarnation::kNone);
    }
  }

  SECTION("that is not stopping") {
    const incarnation stopping = harness.fleet.members.begin()->first;
    endpoint_table table;
    table.Rebuild(harness.fleet, harness.listings, stopping, {stopping});
    for (const auto& [name, routes] : table.services()) {
      CHECK(routes.owned.empty());
      for (const owner_share& share : routes.owners) {
        CHECK(share.owner != stopping);
      }
    }
    for (std::uint32_t part = 0; part < kClaimPartitions; ++part) {
      CHECK(table.CoordinatorsOf(part).size() ==
            harness.fleet.members.size() - 1);
      CHECK(table.CoordinatorsOf(part)[0] != stopping);
    }
  }
}

TEST_CASE("An endpoint takes new work only if no state excludes it") {
  request_harness harness;
  harness.AddEndpoint("runner-1", "suwon");
  fleet_vm& state = harness.fleet.vms[vm_id("runner-1")];
  bool expected = false;

  SECTION("neither the list nor the fold excludes it") {
    expected = true;
  }
  SECTION("the list excludes it") {
    harness.listings[0].state = vm_listing_state::kLeaving;
  }
  SECTION("the phase in the fold excludes it") {
    state.phase = vm_phase::kDraining;
  }
  SECTION("its quarantine excludes it") {
    state.quarantined = true;
  }

  harness.Rebuild();
  const service_routes* routes = harness.table.Find(kIntake);
  REQUIRE(routes->endpoints.size() == 1);
  CHECK(routes->endpoints[0].takes_new == expected);
  CHECK(routes->slots == (expected ? 8 : 0));
  CHECK(routes->owners.size() == (expected ? 1 : 0));
}

}  // namespace
}  // namespace plantainhead::core
