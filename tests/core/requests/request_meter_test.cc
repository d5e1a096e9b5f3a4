#include "plantainhead/core/requests/request_meter.h"

#include <catch2/catch.hpp>

#include "plantainhead/core/fleet/fleet_meter.h"

namespace plantainhead::core {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};
const class_name kPetitions("petitions");
const service_name kIntake("intake");

work_class Petitions() {
  work_class work;
  work.name = kPetitions;
  work.service = kIntake;
  work.within = std::chrono::milliseconds(800);
  work.unavailability = 0.01;
  return work;
}

response Answer(outcome result, answer_reason reason) {
  response answer;
  answer.result = result;
  answer.reason = reason;
  return answer;
}

TEST_CASE("An entry counts the SLO outcomes of its callers' requests") {
  request_meter meter;
  meter.OnArrival(1, Petitions(), kStart);
  const auto count = [&](slo_outcome fate) {
    const auto classes = meter.Classes();
    return classes.empty() ? 0 : classes.front().counts[fate];
  };

  SECTION("served in time") {
    meter.OnAnswer({1, Answer(outcome::kDone, answer_reason::kNone)}, false,
                   kStart + std::chrono::milliseconds(20));
    CHECK(count(slo_outcome::kServed) == 1);
  }
  SECTION("served too late") {
    meter.OnAnswer({1, Answer(outcome::kDone, answer_reason::kNone)}, false,
                   kStart + std::chrono::seconds(1));
    CHECK(count(slo_outcome::kLate) == 1);
  }
  SECTION("refused while maintenance keeps VMs out of use") {
    meter.OnAnswer({1, Answer(outcome::kNotRun, answer_reason::kOverload)},
                   true, kStart);
    CHECK(count(slo_outcome::kMaintenance) == 1);
  }
  SECTION("lost because of an endpoint failure") {
    meter.OnAnswer({1, Answer(outcome::kUnknown, answer_reason::kEndpointLost)},
                   true, kStart);
    CHECK(count(slo_outcome::kFailure) == 1);
  }
  SECTION("invalid, which consumes no budget") {
    meter.OnAnswer({1, Answer(outcome::kNotRun, answer_reason::kUnknownClass)},
                   false, kStart);
    CHECK(meter.Classes().empty());
  }
  SECTION("and records each request once") {
    meter.OnAnswer({1, Answer(outcome::kDone, answer_reason::kNone)}, false,
                   kStart);
    CHECK(meter.TakeUnrecorded().at(kPetitions).Total() == 1);
    CHECK(meter.TakeUnrecorded().empty());
  }
}

TEST_CASE("The planner derives demand and burn rate from the entries' counts") {
  fleet_meter meter;
  fleet_state fleet;
  fleet.targets.classes = {Petitions()};
  const incarnation entry{7};
  const auto report = [&](std::uint64_t served, std::uint64_t overload,
                          std::uint64_t finished, time_point at) {
    request_counts counts;
    counts[slo_outcome::kServed] = served;
    counts[slo_outcome::kOverload] = overload;
    meter.Observe(entry, {{kPetitions, counts}},
                  {{kIntake, finished,
                    static_cast<std::int64_t>(finished) *
                        duration(std::chrono::milliseconds(50))}},
                  at);
  };
  report(1000, 0, 1000, kStart);

  SECTION("without what was counted before the first report") {
    const auto demand = meter.Demand(fleet.targets, kStart);
    CHECK(demand.count(kIntake) == 0);
  }
  SECTION("over the last minute") {
    report(1095, 5, 1095, kStart + std::chrono::seconds(10));
    const time_point now = kStart + std::chrono::seconds(10);
    const auto demand = meter.Demand(fleet.targets, now);
    CHECK(demand.at(kIntake).arrivals_per_second == Approx(10));
    CHECK(demand.at(kIntake).mean_service_time ==
          std::chrono::milliseconds(50));
    CHECK(meter.Budgets(fleet, now).at(kPetitions).rate == Approx(5));
  }
  SECTION("and removes it after that") {
    report(1095, 5, 1095, kStart + std::chrono::seconds(10));
    report(1096, 5, 1096, kStart + std::chrono::minutes(5));
    const auto budgets = meter.Budgets(fleet, kStart + std::chrono::minutes(5));
    CHECK(budgets.at(kPetitions).rate == 0);
  }
}

}  // namespace
}  // namespace plantainhead::core
