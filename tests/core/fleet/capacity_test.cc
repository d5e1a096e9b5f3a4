#include "plantainhead/core/fleet/capacity.h"

#include <catch2/catch.hpp>

#include "core/fleet/planner_harness.h"
#include "plantainhead/core/fleet/queueing.h"

namespace plantainhead::core {
namespace {

TEST_CASE("The number of slots follows from load and maximum wait") {
  SECTION("wait probabilities match published Erlang C tables") {
    CHECK(WaitProbability(2.0, 3) == Approx(4.0 / 9.0));
    CHECK(WaitProbability(0.5, 1) == Approx(0.5));
    CHECK(WaitProbability(3.0, 3) == 1.0);
  }

  SECTION("the minimum that keeps the share of late requests is returned") {
    const std::uint32_t slots = RequiredSlots(40.0, 0.01, 9.0);
    const auto late = [](std::uint32_t n) {
      return WaitProbability(40.0, n) * std::exp(-(n - 40.0) * 9.0);
    };
    CHECK(late(slots) <= 0.01);
    CHECK((slots == 41 || late(slots - 1) > 0.01));
    CHECK(RequiredSlots(0.0, 0.01, 1.0) == 0);
  }

  SECTION("a shorter maximum wait requires more slots") {
    CHECK(RequiredSlots(40.0, 0.01, 0.1) > RequiredSlots(40.0, 0.01, 9.0));
  }
}

TEST_CASE("The minimum even spread survives the loss of a domain") {
  CHECK(MinEvenSpread(7, 7, 3) == 11);
  CHECK(MinEvenSpread(7, 6, 3) == 9);
  CHECK(MinEvenSpread(7, 0, 3) == 7);
  CHECK(MinEvenSpread(1, 1, 3) == 2);
  CHECK(MinEvenSpread(7, 7, 1) == 7);
}

TEST_CASE("The capacity of a pool follows the targets of its classes") {
  planner_harness harness;
  configuration targets;
  targets.pools = {{pool_id("casework"), team_id(), 0}};
  targets.services = {{service_name("intake"), {pool_id("casework")}}};
  work_class work;
  work.name = class_name("petitions");
  work.service = service_name("intake");
  work.unavailability = 0.001;
  for (int i = 0; i < 9; ++i) {
    harness.AddVm("vm-" + std::to_string(i), "zone-" + std::to_string(i % 3),
                  "rack-" + std::to_string(i), "casework");
  }
  harness.demand[service_name("intake")] = {400,
                                            std::chrono::milliseconds(100)};
  const auto plan = [&] {
    targets.classes = {work};
    harness.Apply(
        publish_configuration{targets, harness.state.targets_version});
    harness.Step();
    const planner_inputs inputs = harness.Inputs();
    const phase_tracker tracker;
    const record_gate gate{std::chrono::seconds(1)};
    const fleet_view view(inputs, tracker, gate, harness.now);
    demand_estimator demand(std::chrono::seconds(1), std::chrono::minutes(1));
    demand.Observe(harness.demand, harness.now);
    return PlanCapacity(inputs, view, demand, planner_options())
        .at(pool_id("casework"));
  };
  plan();
  harness.StepFor(std::chrono::seconds(5));

  SECTION("a strict class keeps all VMs that it needs after a loss") {
    const pool_capacity strict = plan();
    CHECK(strict.is_known);
    CHECK(strict.need == 6);
    CHECK(strict.min_after_loss == 6);
  }

  SECTION("a class that tolerates 20% keeps fewer") {
    work.unavailability = 0.2;
    const pool_capacity lenient = plan();
    CHECK(lenient.min_after_loss < lenient.need);
    CHECK(lenient.floor < lenient.need);
  }

  SECTION("a class that burns its budget too fast allows no maintenance") {
    work.unavailability = 0.2;
    harness.budgets[work.name] = {0.1, 1.5};
    const pool_capacity burning = plan();
    CHECK(burning.floor == burning.need);
  }

  SECTION("a class that can wait keeps no spare VMs") {
    work.can_wait = true;
    CHECK(plan().min_after_loss == 0);
  }
}

TEST_CASE("The estimated load rises fast and falls slowly") {
  const service_name service("intake");
  const std::chrono::milliseconds held(100);
  demand_estimator demand(std::chrono::seconds(15), std::chrono::minutes(15));
  time_point now{std::chrono::hours(1)};
  const auto observe = [&](double rate, int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now += std::chrono::seconds(1);
      demand.Observe({{service, {rate, held}}}, now);
    }
    return demand.estimates().at(service).load;
  };
  CHECK(observe(100, 1) == Approx(10));
  CHECK(observe(200, 60) > 19);
  CHECK(observe(100, 60) > 18);
  demand.Observe({}, now + std::chrono::hours(1));
  CHECK(demand.estimates().contains(service));
}

}  // namespace
}  // namespace plantainhead::core
