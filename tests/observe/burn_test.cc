#include "plantainhead/observe/burn.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

namespace plantainhead::observe {
namespace {

using core::slo_outcome;
using std::chrono::hours;

const core::class_name kUrgent("urgent");
const core::time_point kNoon{hours(24 * 20'000 + 12)};

core::fleet_state Fleet() {
  core::fleet_state fleet;
  core::work_class& urgent = fleet.targets.classes.emplace_back();
  urgent.name = kUrgent;
  urgent.served = 0.9;
  urgent.unavailability = 0.01;
  urgent.window = hours(720);
  return fleet;
}

void Add(core::fleet_state* fleet,
         slo_outcome fate,
         std::uint64_t count,
         core::time_point at) {
  core::request_counts counts;
  counts[fate] = count;
  fleet->ledgers[kUrgent].Add(at, counts);
}

budget_use Use(const core::fleet_state& fleet, burn_target target) {
  return UseOf(MakeBurnReport(fleet, kNoon).classes.at(0), target);
}

TEST_CASE("A class burns its budget") {
  core::fleet_state fleet = Fleet();

  SECTION("not at all while nobody asks") {
    const budget_use use = Use(fleet, burn_target::kInTime);
    CHECK(use.left == 1);
    CHECK(use.rates.size() == 3);
    CHECK_FALSE(use.exhausted_in.has_value());
  }

  SECTION("at the rate that its target allows") {
    Add(&fleet, slo_outcome::kServed, 90, kNoon);
    Add(&fleet, slo_outcome::kLate, 10, kNoon);
    const budget_use use = Use(fleet, burn_target::kInTime);
    CHECK(use.failed == Approx(0.1));
    CHECK(use.rates.at(1) == Approx(1));
    CHECK(use.left == Approx(0).margin(1e-9));
    // Late answers are answers: the other budget is untouched.
    CHECK(Use(fleet, burn_target::kAvailable).left == 1);
  }

  SECTION("and the time until it is used up follows from the last hour") {
    Add(&fleet, slo_outcome::kServed, 300, kNoon - hours(30));
    Add(&fleet, slo_outcome::kServed, 98, kNoon);
    Add(&fleet, slo_outcome::kFailure, 2, kNoon);
    const budget_use use = Use(fleet, burn_target::kAvailable);
    CHECK(use.left == Approx(0.5));
    CHECK(use.rates.at(1) == Approx(2));
    CHECK(*use.exhausted_in == hours(180));
    // 2% lost is well within the 10% that the other target allows.
    CHECK_FALSE(Use(fleet, burn_target::kInTime).exhausted_in.has_value());
  }

  SECTION("until it is overspent") {
    Add(&fleet, slo_outcome::kOverload, 1, kNoon);
    CHECK(Use(fleet, burn_target::kAvailable).left == Approx(-99));
    CHECK(*Use(fleet, burn_target::kAvailable).exhausted_in ==
          core::duration::zero());
  }

  SECTION("of which nothing was there") {
    fleet.targets.classes[0].unavailability = 0;
    Add(&fleet, slo_outcome::kFailure, 1, kNoon);
    CHECK(std::isinf(Use(fleet, burn_target::kAvailable).rates.at(0)));
  }

  SECTION("hour by hour") {
    Add(&fleet, slo_outcome::kMaintenance, 3, kNoon - hours(47));
    Add(&fleet, slo_outcome::kMaintenance, 5, kNoon - hours(48));
    const auto past = MakeBurnReport(fleet, kNoon).classes.at(0).hours;
    REQUIRE(past.size() == kBurnHours);
    CHECK(past.front()[slo_outcome::kMaintenance] == 3);
  }
}

TEST_CASE("A burn report is written") {
  core::fleet_state fleet = Fleet();
  Add(&fleet, slo_outcome::kFailure, 1, kNoon);

  SECTION("as JSON, in which null stands for infinity") {
    fleet.targets.classes[0].unavailability = 0;
    const auto report =
        nlohmann::json::parse(ToJson(MakeBurnReport(fleet, kNoon)));
    const auto& urgent = report["classes"][0];
    CHECK(urgent["windows"][3]["counts"]["failure"] == 1);
    CHECK(urgent["available"]["burn_rates"][0].is_null());
    CHECK(urgent["in_time"]["burn_rates"][0] == Approx(10));
  }

  SECTION("as text") {
    const std::string text = ToText(MakeBurnReport(fleet, kNoon));
    CHECK(text.find("At 2024-10-04T12:00:00Z") == 0);
    CHECK(text.find("failure 1") != std::string::npos);
    CHECK(text.find("used up") != std::string::npos);
  }

  SECTION("as a page that fetches nothing and escapes names") {
    fleet.targets.classes[0].name = core::class_name("a<b>");
    const std::string page = ToHtml(MakeBurnReport(fleet, kNoon));
    CHECK(page.find("a&lt;b&gt;") != std::string::npos);
    CHECK(page.find("<b>") == std::string::npos);
    CHECK(page.find("http") == std::string::npos);
    CHECK(page.find("src=") == std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
  }
}

}  // namespace
}  // namespace plantainhead::observe
