#include "plantainhead/core/fleet/wave_planner.h"

#include <catch2/catch.hpp>

#include "core/fleet/planner_harness.h"

namespace plantainhead::core {
namespace {

const wave_id kWave("kernel");
const char* const kZones[] = {"goyang", "seongnam", "suwon"};
constexpr std::size_t kVms = 12;

/// Harness with one service on one pool with four VMs in each of three zones.
/// With 40 of 96 slots busy, the wave can take several VMs at once.
class wave_planner_harness : public planner_harness {
 public:
  wave_planner_harness() {
    configuration targets;
    targets.pools = {{pool_id("casework"), team_id(), 0}};
    targets.services = {{service_name("intake"), {pool_id("casework")}}};
    work_class petitions;
    petitions.name = class_name("petitions");
    petitions.service = service_name("intake");
    petitions.unavailability = 0.001;
    targets.classes = {petitions};
    Apply(publish_configuration{targets, 0});
    demand[service_name("intake")] = {400, std::chrono::milliseconds(100)};
    for (const std::string zone : kZones) {
      for (int i = 0; i < 4; ++i) {
        AddVm(zone + "-" + std::to_string(i), zone,
              zone + "-rack-" + std::to_string(i / 2), "casework");
      }
    }
    StepFor(std::chrono::minutes(2));
    Apply(start_wave{kWave, {pool_id("casework")}, {}});
    after_step = [this] { RecordExtremes(); };
  }

  std::size_t Serving() const {
    return static_cast<std::size_t>(
        std::count_if(vms.begin(), vms.end(), [&](const vm_listing& vm) {
          const auto found = state.vms.find(vm.vm);
          return found != state.vms.end() &&
                 found->second.phase == vm_phase::kServing;
        }));
  }
  wave_state WaveState() const { return state.waves.at(kWave).state; }
  bool IsFinished() const { return WaveState() == wave_state::kFinished; }
  bool Finishes() {
    return StepUntil([this] { return IsFinished(); });
  }
  void CheckEachRebootedOnce() const {
    CHECK(reboots.size() == kVms);
    for (const auto& [vm, count] : reboots) {
      CHECK(count == 1);
    }
  }
  void LoseZone(const std::string& zone) {
    for (const vm_listing& vm : vms) {
      if (vm.zone == zone_id(zone)) {
        lost_.push_back(vm);
      }
    }
    std::erase_if(vms,
                  [&](const auto& vm) { return vm.zone == zone_id(zone); });
  }
  void ReturnZone() {
    vms.insert(vms.end(), lost_.begin(), lost_.end());
    lost_.clear();
  }

  std::size_t min_serving = kVms;
  std::size_t max_zones_down = 0;

 private:
  void RecordExtremes() {
    std::set<zone_id> zones;
    for (const vm_listing& vm : vms) {
      if (state.vms.contains(vm.vm) &&
          state.vms.at(vm.vm).phase != vm_phase::kServing) {
        zones.insert(vm.zone);
      }
    }
    max_zones_down = std::max(max_zones_down, zones.size());
    min_serving = std::min(min_serving, Serving());
  }

  std::vector<vm_listing> lost_;
};

TEST_CASE("A wave reboots every VM of a pool") {
  wave_planner_harness harness;
  // 40 busy slots require seven VMs; see capacity_test.
  constexpr std::size_t kNeeded = 7;

  SECTION("each exactly once, one zone at a time, with enough in service") {
    REQUIRE(harness.Finishes());
    harness.CheckEachRebootedOnce();
    CHECK(harness.max_zones_down == 1);
    CHECK(harness.min_serving >= kNeeded);
    CHECK(harness.min_serving <= kVms - 4);
    CHECK(harness.CountPhase(vm_phase::kServing) == kVms);
  }

  SECTION("but not while a request may be in flight at it") {
    // A request is in flight at goyang-0 when the wave drains that VM, and its
    // entry continues to report it. A reboot now would abort the request.
    harness.in_flight[vm_id("goyang-0")] = 1;
    harness.StepFor(std::chrono::minutes(5));
    CHECK(harness.Vm("goyang-0").phase == vm_phase::kDraining);
    CHECK_FALSE(harness.reboots.contains(vm_id("goyang-0")));

    harness.in_flight.clear();
    REQUIRE(harness.Finishes());
    harness.CheckEachRebootedOnce();
  }

  SECTION("but not while an entry has not applied the drain") {
    // An entry lags behind in the log and still sends requests to the VM. Its
    // heartbeats show no requests in flight, because it does not yet know that
    // the VM is draining.
    harness.reported_offset = harness.state.offset;
    harness.StepFor(std::chrono::minutes(5));
    CHECK(harness.reboots.empty());

    harness.reported_offset.reset();
    CHECK(harness.Finishes());
  }

  SECTION("but not while requests of a lost entry may still run") {
    // An entry fails with requests in flight at a draining VM. The heartbeats
    // of the others show none at once, because the lost entry no longer counts.
    // Its requests may run until their deadline.
    join_entry join;
    join.who = incarnation{2};
    join.name = entry_id("entry-2");
    harness.Apply(join);
    harness.Step();
    harness.Step();
    harness.Apply(leave_entry{incarnation{2}});
    const time_point lost = harness.now;
    REQUIRE(harness.StepUntil([&] { return !harness.reboots.empty(); }));
    CHECK(harness.now - lost >= planner_options().max_deadline);
  }

  SECTION(
      "except one that never drains, which stays in service with a report") {
    // A request at goyang-1 hangs for hours. The wave must neither abort it nor
    // wait for it forever before it takes the remaining VMs.
    harness.stuck = {vm_id("goyang-1")};
    REQUIRE(
        harness.StepUntil([&] { return harness.reboots.size() == kVms - 1; }));
    harness.StepFor(std::chrono::minutes(5));
    CHECK_FALSE(harness.reboots.contains(vm_id("goyang-1")));
    CHECK_FALSE(harness.IsFinished());
    CHECK(harness.Planner().reasons().at("vm:goyang-1") ==
          "it did not drain in time and serves again");

    harness.stuck.clear();
    REQUIRE(harness.Finishes());
    harness.CheckEachRebootedOnce();
    CHECK(harness.max_zones_down == 1);
  }
}

TEST_CASE("A wave runs while a service has no load") {
  // The only zone of the pool has no load. A wave that takes all its VMs at
  // once leaves no VM for the next request.
  planner_harness harness;
  configuration targets;
  targets.pools = {{pool_id("casework"), team_id(), 0}};
  targets.services = {{service_name("intake"), {pool_id("casework")}}};
  harness.Apply(publish_configuration{targets, 0});
  harness.demand[service_name("intake")] = {0, duration()};
  for (int i = 0; i < 5; ++i) {
    harness.AddVm("vm-" + std::to_string(i), "suwon", "rack", "casework");
  }
  harness.StepFor(std::chrono::minutes(2));
  harness.Apply(start_wave{kWave, {pool_id("casework")}, {}});
  std::size_t min_serving = 5;
  harness.after_step = [&] {
    min_serving = std::min(min_serving, harness.CountPhase(vm_phase::kServing));
  };
  REQUIRE(harness.StepUntil([&] {
    return harness.state.waves.at(kWave).state == wave_state::kFinished;
  }));
  CHECK(min_serving == 3);
}

TEST_CASE("A failure uses up the spare capacity during a wave") {
  wave_planner_harness harness;
  REQUIRE(harness.StepUntil([&] { return !harness.reboots.empty(); }));

  SECTION("when another zone is lost") {
    // Goyang is in maintenance when Suwon fails with all its VMs. Four VMs are
    // in service where seven are needed. Each further drain would make it
    // worse, so the wave returns the drained VMs to service and waits.
    harness.LoseZone("suwon");
    REQUIRE(harness.StepUntil(
        [&] { return harness.WaveState() == wave_state::kPaused; },
        std::chrono::seconds(5)));
    CHECK(IsAutoPause(harness.state.waves.at(kWave)));
    const std::size_t begun = harness.reboots.size();
    harness.StepFor(std::chrono::seconds(50));
    CHECK(harness.reboots.size() == begun);
    CHECK(harness.CountPhase(vm_phase::kDraining) == 0);

    harness.ReturnZone();
    REQUIRE(harness.Finishes());
    harness.CheckEachRebootedOnce();
  }
}

TEST_CASE("The platform refuses to reboot a VM") {
  // The VM is drained and will not be rebooted. It must not count as visited,
  // and it has to return to service once the operator cancels the wave; its
  // runner refuses work until it receives the operation.
  wave_planner_harness harness;
  harness.reboot_refusing = {vm_id("goyang-0")};
  REQUIRE(
      harness.StepUntil([&] { return harness.reboots.size() >= kVms - 1; }));
  harness.StepFor(std::chrono::minutes(30));
  CHECK(harness.Vm("goyang-0").phase == vm_phase::kRebooting);
  CHECK_FALSE(harness.IsFinished());

  harness.Apply(set_wave_state{0, kWave, harness.state.waves.at(kWave).version,
                               wave_state::kCancelled, ""});
  REQUIRE(harness.StepUntil(
      [&] { return harness.CountPhase(vm_phase::kServing) == kVms; },
      std::chrono::minutes(5)));
  harness.Step();
  CHECK(harness.executed.contains(harness.Vm("goyang-0").operation));
}

TEST_CASE("A budget burns too fast during a wave") {
  // Requests of petitions are refused more often than their budget allows. The
  // wave may be the cause, so it takes no further VMs until this is over.
  wave_planner_harness harness;
  REQUIRE(harness.StepUntil([&] { return !harness.reboots.empty(); }));
  harness.budgets[class_name("petitions")] = {0.4, 3.0};
  REQUIRE(harness.StepUntil(
      [&] { return harness.WaveState() == wave_state::kPaused; },
      std::chrono::seconds(5)));
  harness.StepFor(std::chrono::minutes(2));
  const std::size_t begun = harness.reboots.size();
  harness.StepFor(std::chrono::minutes(10));
  CHECK(harness.reboots.size() == begun);
  CHECK(harness.CountPhase(vm_phase::kServing) == kVms);

  harness.budgets[class_name("petitions")] = {0.4, 0.5};
  REQUIRE(harness.Finishes());
  harness.CheckEachRebootedOnce();
}

TEST_CASE("An operator controls a wave") {
  wave_planner_harness harness;
  REQUIRE(harness.StepUntil([&] { return !harness.reboots.empty(); }));
  const auto set_state = [&](wave_state to) {
    return harness.Apply(set_wave_state{
        0, kWave, harness.state.waves.at(kWave).version, to, ""});
  };

  SECTION("and cancels it midway") {
    set_state(wave_state::kCancelled);
    REQUIRE(harness.StepUntil(
        [&] { return harness.CountPhase(vm_phase::kServing) == kVms; }));
    const std::size_t begun = harness.reboots.size();
    harness.StepFor(std::chrono::minutes(10));
    CHECK(harness.reboots.size() == begun);
    CHECK(begun < kVms);
  }

  SECTION("and pauses it until it is resumed") {
    set_state(wave_state::kPaused);
    harness.StepFor(std::chrono::minutes(10));
    const std::size_t begun = harness.reboots.size();
    CHECK(begun < kVms);
    CHECK(harness.CountPhase(vm_phase::kServing) == kVms);
    harness.StepFor(std::chrono::minutes(10));
    CHECK(harness.reboots.size() == begun);

    set_state(wave_state::kRunning);
    REQUIRE(harness.Finishes());
    harness.CheckEachRebootedOnce();
  }
}

TEST_CASE("A planner is lost during a wave") {
  wave_planner_harness harness;

  SECTION("repeatedly, also between a record and its operation") {
    // The planner appends the record for a reboot and fails before it sends the
    // operation or receives its result. The next planner has only the fold; it
    // sends the operation of the record again under the same id.
    std::set<operation_id> survived;
    harness.StepUntil([&] {
      for (const auto& [id, vm] : harness.state.vms) {
        const bool is_written = vm.phase == vm_phase::kRebooting &&
                                !harness.executed.contains(vm.operation);
        if (is_written && survived.insert(vm.operation).second) {
          harness.ReplacePlanner();
        } else if (vm.phase == vm_phase::kRebooting &&
                   survived.insert(operation_id("sent " + vm.operation.value()))
                       .second) {
          harness.ReplacePlanner();
        }
      }
      return harness.IsFinished();
    });
    CHECK(survived.size() >= kVms);
    REQUIRE(harness.IsFinished());
    harness.CheckEachRebootedOnce();
    CHECK(harness.max_zones_down == 1);
  }

  SECTION("and resumes after another has taken over") {
    // The planner was suspended while it held the lease, and continues to plan
    // before it reads that the lease is lost. Its records carry the old epoch
    // and must be rejected; otherwise two planners would drain VMs of two
    // zones.
    planner frozen;
    planner_inputs inputs = harness.Inputs();
    harness.ReplacePlanner();
    effects late;
    frozen.OnTick(inputs, harness.now, late);
    REQUIRE_FALSE(late.records.empty());
    for (const record_body& body : late.records) {
      CHECK(harness.Apply(body).outcome == fold_outcome::kConflict);
    }
  }
}

}  // namespace
}  // namespace plantainhead::core
