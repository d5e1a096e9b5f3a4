#include "plantainhead/observe/request_recorder.h"

#include <catch2/catch.hpp>

namespace plantainhead::observe {
namespace {

core::fleet_state Fleet() {
  core::fleet_state fleet;
  fleet.offset = 1;
  fleet.targets_version = 1;
  core::work_class urgent;
  urgent.name = core::class_name("urgent");
  urgent.service = core::service_name("intake");
  fleet.targets.classes.push_back(urgent);
  fleet.targets.services.push_back(
      {core::service_name("intake"), {core::pool_id("intake")}});
  return fleet;
}

TEST_CASE("An entry's answers are recorded") {
  const core::time_point start{std::chrono::hours(1)};
  metrics all;
  request_recorder recorder(start, &all);
  core::fleet_state fleet = Fleet();
  recorder.FollowFleet(fleet);
  core::request_envelope request;
  request.work = core::class_name("urgent");
  core::response answer;
  answer.result = core::outcome::kDone;
  answer.status = 200;
  const auto late = start + std::chrono::seconds(2);
  const auto causes = [&] {
    return recorder.Report(late).classes.at(0).windows.at(0).counts.causes;
  };

  SECTION("as burn and as metrics of their class") {
    recorder.Record(request, answer, start, late);
    CHECK(causes().at(burn_cause::kOverload) == 1);
    CHECK(all.ToText().find("plantainhead_answers_total{class=\"urgent\","
                            "outcome=\"done\"} 1") != std::string::npos);
  }

  SECTION("as burn by a wave while one holds VMs of their pools") {
    fleet.offset = 2;
    core::vm_state& vm = fleet.vms[core::vm_id("vm-1")];
    vm.pool = core::pool_id("intake");
    vm.phase = core::vm_phase::kDraining;
    vm.wave = core::wave_id("w1");
    recorder.FollowFleet(fleet);
    recorder.Record(request, answer, start, late);
    CHECK(causes().at(burn_cause::kWave) == 1);
  }

  SECTION("but not those of a class that callers made up") {
    request.work = core::class_name("made-up");
    recorder.Record(request, answer, start, late);
    CHECK(causes().empty());
    CHECK(all.ToText().empty());
  }
}

}  // namespace
}  // namespace plantainhead::observe
