#ifndef PLANTAINHEAD_CORE_FLEET_ERROR_BUDGET_H_
#define PLANTAINHEAD_CORE_FLEET_ERROR_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/requests/request_counts.h"
#include "plantainhead/core/time.h"

/// What each class has spent of the unavailability that its target tolerates.
namespace plantainhead::core {

/// How fine a part of a ledger counts, and for how long.
struct ledger_resolution {
  duration width;
  std::size_t max_periods;
};

/// Five minutes for two hours, hours for two days, days for 35 days: 107
/// numbers a class at most, whatever the traffic.
inline constexpr std::array<ledger_resolution, 3> kLedgerResolutions = {{
    {std::chrono::minutes(5), 24},
    {std::chrono::hours(1), 48},
    {std::chrono::hours(24), 35},
}};

/// One class's requests over time. Each request is counted once at every
/// resolution, in the period that its time falls in. It is part of the fold:
/// the counts outlive every entry. Thread safety: none.
struct class_ledger {
  /// For each resolution by the number of the period since 1970-01-01.
  std::array<std::map<std::uint64_t, request_counts>, kLedgerResolutions.size()>
      periods;

  /// Counts requests that were answered about `at`, and forgets what is older
  /// than what is kept before the newest period.
  void Add(time_point at, const request_counts& counts);

  /// Returns the requests of the last `window` before `now`, to the width of
  /// the periods that reach so far.
  request_counts SumOver(duration window, time_point now) const;

  friend bool operator==(const class_ledger&, const class_ledger&) = default;
};

/// How one class stands against its target.
struct budget_status {
  request_counts counts;
  /// Share of the budget of the class's window that is spent; above 1 the
  /// target is missed. 0 when there were no requests.
  double spent = 0;
};

/// Returns how much of its budget a class has spent in its window.
/// Thread safety: safe from any thread while nobody writes.
budget_status BudgetStatusOf(const work_class& work,
                             const class_ledger& ledger,
                             time_point now);

/// Returns how many times faster than a class's target allows its requests went
/// unserved; 0 when there were none. A class that tolerates nothing burns at
/// the rate of one that tolerates a millionth. Thread safety: safe from any
/// thread.
double BurnRate(const work_class& work, const request_counts& counts);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_ERROR_BUDGET_H_
