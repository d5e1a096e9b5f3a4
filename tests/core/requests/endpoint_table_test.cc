#include "plantainhead/core/requests/endpoint_table.h"

#include <catch2/catch.hpp>

#include <map>

#include "core/requests/request_harness.h"

namespace plantainhead::core {
namespace {

/// 33 members in 11 zones, 520 endpoints of 5 services.
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
  large_fleet world;
  const std::map<vm_id, incarnation> before = world.Owners();

  SECTION("in its own zone, when that has members") {
    for (const vm_listing& listing : world.listings) {
      const incarnation owner = before.at(listing.vm);
      CHECK(world.fleet.members.at(owner).zone == listing.zone);
    }
  }

  SECTION("that stays when another member goes") {
    const incarnation gone = world.fleet.members.begin()->first;
    world.fleet.members.erase(gone);
    for (const auto& [vm, owner] : world.Owners()) {
      CHECK(owner != gone);
      CHECK((owner == before.at(vm) || before.at(vm) == gone));
    }
  }

  SECTION("somewhere, when its zone has no member left") {
    std::erase_if(world.fleet.members, [](const auto& member) {
      return member.second.zone == zone_id("zone-3");
    });
    for (const auto& [vm, owner] : world.Owners()) {
      CHECK(owner != incarnation::kNone);
    }
  }

  SECTION("that isn't stopping") {
    const incarnation stopping = world.fleet.members.begin()->first;
    endpoint_table table;
    table.Rebuild(world.fleet, world.listings, stopping, {stopping});
    for (const auto& [name, routes] : table.services()) {
      CHECK(routes.owned.empty());
      for (const owner_share& share : routes.owners) {
        CHECK(share.owner != stopping);
      }
    }
    for (std::uint32_t part = 0; part < kClaimPartitions; ++part) {
      CHECK(table.HomesOf(part).size() == world.fleet.members.size() - 1);
      CHECK(table.HomesOf(part)[0] != stopping);
    }
  }
}

TEST_CASE("An endpoint takes new work only if nothing speaks against it") {
  request_harness world;
  world.AddEndpoint("runner-1", "suwon");
  fleet_vm& state = world.fleet.vms[vm_id("runner-1")];
  bool expected = false;

  SECTION("neither the list nor the fold") {
    expected = true;
  }
  SECTION("not the list") {
    world.listings[0].state = vm_listing_state::kLeaving;
  }
  SECTION("not the fold's phase") {
    state.phase = vm_phase::kDraining;
  }
  SECTION("not its quarantine") {
    state.quarantined = true;
  }

  world.Rebuild();
  const service_routes* routes = world.table.Find(kIntake);
  REQUIRE(routes->endpoints.size() == 1);
  CHECK(routes->endpoints[0].takes_new == expected);
  CHECK(routes->slots == (expected ? 8 : 0));
  CHECK(routes->owners.size() == (expected ? 1 : 0));
}

}  // namespace
}  // namespace plantainhead::core
