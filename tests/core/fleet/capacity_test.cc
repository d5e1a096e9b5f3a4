#include "plantainhead/core/fleet/capacity.h"

#include <catch2/catch.hpp>

#include "core/fleet/planner_harness.h"
#include "plantainhead/core/fleet/queueing.h"

namespace plantainhead::core {
namespace {

TEST_CASE("Slots are worked out from load and patience") {
  SECTION("by Erlang C, as its published tables have it") {
    CHECK(WaitProbability(2.0, 3) == Approx(4.0 / 9.0));
    CHECK(WaitProbability(0.5, 1) == Approx(0.5));
    CHECK(WaitProbability(3.0, 3) == 1.0);
  }

  SECTION("as the fewest that keep the share of late requests") {
    const std::uint32_t slots = RequiredSlots(40.0, 0.01, 9.0);
    const auto late = [](std::uint32_t n) {
      return WaitProbability(40.0, n) * std::exp(-(n - 40.0) * 9.0);
    };
    CHECK(late(slots) <= 0.01);
    CHECK((slots == 41 || late(slots - 1) > 0.01));
    CHECK(RequiredSlots(0.0, 0.01, 1.0) == 0);
  }

  SECTION("with more of them the less patience there is") {
    CHECK(RequiredSlots(40.0, 0.01, 0.1) > RequiredSlots(40.0, 0.01, 9.0));
  }
}

TEST_CASE("The least spread survives the loss of a domain") {
  CHECK(MinEvenSpread(7, 7, 3) == 11);
  CHECK(MinEvenSpread(7, 6, 3) == 9);
  CHECK(MinEvenSpread(7, 0, 3) == 7);
  CHECK(MinEvenSpread(1, 1, 3) == 2);
  CHECK(MinEvenSpread(7, 7, 1) == 7);
}

TEST_CASE("A pool's capacity follows its classes") {
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

  SECTION("a strict one keeps all of its need through a loss") {
    const pool_capacity strict = plan();
    CHECK(strict.is_known);
    CHECK(strict.need == 6);
    CHECK(strict.min_after_loss == 6);
  }

  SECTION("one that tolerates 20% keeps less") {
    work.unavailability = 0.2;
    const pool_capacity lenient = plan();
    CHECK(lenient.min_after_loss < lenient.need);
    CHECK(lenient.floor < lenient.need);
  }

  SECTION("one that burns its budget gives nothing to maintenance") {
    work.unavailability = 0.2;
    harness.budgets[work.name] = {0.1, 1.5};
    const pool_capacity burning = plan();
    CHECK(burning.floor == burning.need);
  }

  SECTION("one that can wait keeps no spare for a loss") {
    work.can_wait = true;
    CHECK(plan().min_after_loss == 0);
  }
}

TEST_CASE("The learned load rises fast and falls slowly") {
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
