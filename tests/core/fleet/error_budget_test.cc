#include "plantainhead/core/fleet/error_budget.h"

#include <catch2/catch.hpp>

#include "plantainhead/core/log/fold.h"

namespace plantainhead::core {
namespace {

constexpr time_point kNoon{std::chrono::hours(24 * 365 + 12)};

request_counts Counts(std::uint64_t served, std::uint64_t overload) {
  request_counts counts;
  counts[slo_outcome::kServed] = served;
  counts[slo_outcome::kOverload] = overload;
  return counts;
}

TEST_CASE("A class spends its error budget") {
  work_class petitions;
  petitions.name = class_name("petitions");
  petitions.unavailability = 0.01;
  petitions.window = std::chrono::hours(24 * 30);
  class_ledger ledger;

  SECTION("nothing without requests") {
    CHECK(BudgetStatusOf(petitions, ledger, kNoon).spent == 0);
  }

  SECTION("nothing by late but complete answers") {
    request_counts late = Counts(0, 0);
    late[slo_outcome::kLate] = 10;
    ledger.Add(kNoon, late);
    CHECK(BudgetStatusOf(petitions, ledger, kNoon).spent == 0);
  }

  SECTION("in proportion to the unserved requests") {
    ledger.Add(kNoon, Counts(995, 5));
    CHECK(BudgetStatusOf(petitions, ledger, kNoon).spent == Approx(0.5));
  }

  SECTION("and requests before the window do not count") {
    ledger.Add(kNoon, Counts(0, 100));
    ledger.Add(kNoon + std::chrono::hours(24 * 31), Counts(100, 0));
    const budget_status later =
        BudgetStatusOf(petitions, ledger, kNoon + std::chrono::hours(24 * 31));
    CHECK(later.spent == 0);
    CHECK(later.counts.Total() == 100);
  }

  SECTION("and a short window shows the current burn rate") {
    ledger.Add(kNoon - std::chrono::hours(3), Counts(1000, 0));
    ledger.Add(kNoon, Counts(90, 10));
    const request_counts recent =
        ledger.SumOver(std::chrono::minutes(5), kNoon);
    CHECK(recent.Total() == 100);
    CHECK(BurnRate(petitions, recent) == Approx(10));
  }

  SECTION("and the size of the ledger is bounded over a year") {
    for (int hour = 0; hour < 24 * 365; ++hour) {
      ledger.Add(kNoon + std::chrono::hours(hour), Counts(1, 0));
    }
    for (std::size_t i = 0; i < kLedgerResolutions.size(); ++i) {
      CHECK(ledger.periods[i].size() <= kLedgerResolutions[i].max_periods);
    }
  }
}

TEST_CASE("Counts are folded only for configured classes") {
  fleet_state state;
  configuration targets;
  work_class known;
  known.name = class_name("petitions");
  targets.classes = {known};
  Apply(state, {1, {record_id("a"), "ann", publish_configuration{targets, 0}}});
  join_entry join;
  join.who = incarnation{1};
  join.name = entry_id("e1");
  Apply(state, {2, {record_id("j"), "e1", join}});
  count_requests counts{incarnation{1}, kNoon, {}};
  counts.classes[known.name] = Counts(5, 0);
  counts.classes[class_name("other")] = Counts(7, 0);

  CHECK(Apply(state, {3, {record_id("b"), "e1", counts}}).outcome ==
        fold_outcome::kApplied);
  CHECK(state.ledgers.size() == 1);
  CHECK(state.ledgers.at(known.name).SumOver(std::chrono::hours(1), kNoon) ==
        Counts(5, 0));

  counts.who = incarnation{2};
  CHECK(Apply(state, {4, {record_id("c"), "e2", counts}}).outcome ==
        fold_outcome::kConflict);
}

}  // namespace
}  // namespace plantainhead::core
