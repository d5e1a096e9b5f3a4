#include "plantainhead/core/jobs/record_faults.h"

#include <catch2/catch.hpp>
#include <string>

#include "plantainhead/core/jobs/fleet_list.h"
#include "plantainhead/core/jobs/vm_registry.h"

namespace plantainhead::core::jobs {
namespace {

const record_fault kFault{fault_kind::kWrongType, "state"};

vm_description VmOf(const vm_id& id, const pool_id& pool) {
  vm_description vm;
  vm.id = id;
  vm.pool = pool;
  return vm;
}

TEST_CASE("A fault is counted each time and reported once per key") {
  record_fault_counter counter;
  CHECK(counter.Note("t", "a", kFault));
  CHECK_FALSE(counter.Note("t", "a", kFault));
  CHECK(counter.Note("t", "b", kFault));
  CHECK(counter.Note("u", "a", {fault_kind::kNotJson, ""}));
  CHECK(counter.counts().at({"t", fault_kind::kWrongType}) == 3);
  CHECK(counter.counts().at({"u", fault_kind::kNotJson}) == 1);
  CHECK(counter.FaultyKeys() == 3);

  SECTION("and again after a valid record of the key") {
    counter.NoteValid("t", "a");
    CHECK(counter.FaultyKeys() == 2);
    CHECK(counter.Note("t", "a", kFault));
  }

  SECTION("with very many keys some are reported and all are counted") {
    constexpr int kKeys = 5000;
    int reported = 0;
    for (int i = 0; i < kKeys; ++i) {
      reported += counter.Note("v", std::to_string(i), kFault) ? 1 : 0;
    }
    CHECK(reported < kKeys);
    CHECK(counter.FaultyKeys() == 1000);
    CHECK(counter.counts().at({"v", fault_kind::kWrongType}) == kKeys);
  }
}

TEST_CASE("A fault has the safest effect, whoever wrote the record") {
  CHECK(EffectOf(record_use::kConfiguration) == fault_effect::kKeepPrevious);
  CHECK(EffectOf(record_use::kWave) == fault_effect::kKeepPrevious);
  CHECK(EffectOf(record_use::kVmEntry) == fault_effect::kNoNewTasks);
  CHECK(EffectOf(record_use::kJob) == fault_effect::kKeepPrevious);
  CHECK(EffectOf(record_use::kProgress) == fault_effect::kKeepPrevious);
  CHECK(EffectOf(record_use::kOwnerClaim) == fault_effect::kClaimUnknown);
  CHECK(EffectOf(record_use::kUsedVm) == fault_effect::kAssumeInUse);
  CHECK(EffectOf(record_use::kVacancy) == fault_effect::kKeepPrevious);
  CHECK(EffectOf(record_use::kHostOrder) == fault_effect::kAssumeInUse);
  CHECK(EffectOf(record_use::kFleetNote) == fault_effect::kKeepPrevious);
}

TEST_CASE("Names that become parts of keys and headers") {
  CHECK(IsValidName("i-7f3a91c2"));
  CHECK_FALSE(IsValidName(""));
  CHECK_FALSE(IsValidName("a b"));
  CHECK_FALSE(IsValidName("a\r\nb"));
  CHECK_FALSE(IsValidName("\xc3\xa9"));
  CHECK_FALSE(IsValidName(std::string(1, '\0')));
  CHECK(IsValidName(std::string(kMaxNameBytes, 'a')));
  CHECK_FALSE(IsValidName(std::string(kMaxNameBytes + 1, 'a')));
}

TEST_CASE("A VM whose record is unreadable is listed but not usable") {
  routing_configuration configuration;
  configuration.pools = {{"pool", false}};
  const routing_table routes(configuration);
  vm_registry registry;
  registry.Put(VmOf("a", "pool"));
  registry.Put(VmOf("b", "pool"));
  REQUIRE(registry.Usable(routes).size() == 2);

  registry.PutUnreadable("a");
  REQUIRE(registry.Usable(routes).size() == 1);
  CHECK(registry.Usable(routes)[0].id == "b");
  CHECK(registry.IsListed("a"));
  CHECK(registry.Listed() == std::set<vm_id>{"a", "b"});

  SECTION("until a valid record of it is read") {
    registry.Put(VmOf("a", "pool"));
    CHECK(registry.Usable(routes).size() == 2);
  }

  SECTION("it is not known whether it is draining") {
    vm_description leaving = VmOf("b", "pool");
    leaving.draining = true;
    registry.Put(leaving);
    CHECK(registry.Draining() == std::set<vm_id>{"b"});
    registry.PutUnreadable("b");
    CHECK(registry.Draining().empty());
  }

  SECTION("until its key is deleted") {
    registry.Drop("a");
    CHECK_FALSE(registry.IsListed("a"));
  }

  SECTION("a VM without any valid record is not usable either") {
    registry.PutUnreadable("c");
    CHECK(registry.Usable(routes).size() == 1);
    CHECK(registry.IsListed("c"));
  }

  SECTION("a pool that is not configured has no usable VMs") {
    registry.Put(VmOf("d", "other"));
    CHECK(registry.Usable(routes).size() == 1);
    configuration.pools.push_back({"other", false});
    CHECK(registry.Usable(routing_table(configuration)).size() == 2);
  }
}

// A row of the fleet list cannot be read. If its host were omitted, it would
// count as having left the fleet, and a wave that includes it would count as
// complete.
TEST_CASE("A host whose row is unreadable is listed as down") {
  fleet_host up;
  up.host = "a";
  up.state = host_state::kUp;
  fleet_host other = up;
  other.host = "b";
  const std::vector<fleet_host> before = {up, other};

  const auto kept = AddUnreadableHosts({up}, {"b"}, before);
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].state == host_state::kUp);
  CHECK(kept[1].host == "b");
  CHECK(kept[1].state == host_state::kDown);
  CHECK(kept[1].vm.empty());

  SECTION("a row without a name may be any host of the previous list") {
    const auto all = AddUnreadableHosts({up}, {""}, before);
    REQUIRE(all.size() == 2);
    CHECK(all[1].host == "b");
    CHECK(all[1].state == host_state::kDown);
  }

  SECTION("a host that also has a valid row keeps that row") {
    CHECK(AddUnreadableHosts({up}, {"a"}, before).size() == 1);
  }

  SECTION("without faults a host that is not listed has left") {
    CHECK(AddUnreadableHosts({up}, {}, before).size() == 1);
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
