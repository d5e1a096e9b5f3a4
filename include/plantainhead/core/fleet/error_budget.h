#ifndef PLANTAINHEAD_CORE_FLEET_ERROR_BUDGET_H_
#define PLANTAINHEAD_CORE_FLEET_ERROR_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/requests/request_counts.h"
#include "plantainhead/core/time.h"

/// Error budgets: how much of the unavailability that its target tolerates each
/// class has spent.
namespace plantainhead::core {

/// Period length and number of retained periods of one resolution of a ledger.
struct ledger_resolution {
  duration width;
  std::size_t max_periods;
};

/// Five-minute periods for two hours, hours for two days and days for 35 days:
/// at most 107 counts per class, independent of traffic.
inline constexpr std::array<ledger_resolution, 3> kLedgerResolutions = {{
    {std::chrono::minutes(5), 24},
    {std::chrono::hours(1), 48},
    {std::chrono::hours(24), 35},
}};

/// Request counts of one class over time. Each request is counted once at every
/// resolution, in the period that contains its completion time. The ledger is
/// part of the folded state, so the counts outlive every entry. Thread safety:
/// none.
struct class_ledger {
  /// For each resolution, the counts by period number since 1970-01-01.
  std::array<std::map<std::uint64_t, request_counts>, kLedgerResolutions.size()>
      periods;

  /// Counts requests that were answered at about `at`, and drops the oldest
  /// periods once more than `max_periods` are stored.
  void Add(time_point at, const request_counts& counts);

  /// Returns the counts of the last `window` before `now`. Uses the finest
  /// resolution whose retained periods cover the window; the result is accurate
  /// to one period.
  request_counts SumOver(duration window, time_point now) const;

  friend bool operator==(const class_ledger&, const class_ledger&) = default;
};

/// Consumption of the error budget of one class.
struct budget_status {
  request_counts counts;
  /// Share of the class's budget for its window that is spent. Above 1, the
  /// target is missed. 0 if there were no requests.
  double spent = 0;
};

/// Returns how much of its error budget a class has spent in its window. Thread
/// safety: safe from any thread as long as no thread modifies the arguments.
budget_status BudgetStatusOf(const work_class& work,
                             const class_ledger& ledger,
                             time_point now);

/// Returns the ratio of the share of unserved requests to the share that the
/// class's target allows; 0 if there were no requests. A class that tolerates
/// no unavailability is treated as one that tolerates a millionth. Thread
/// safety: safe from any thread.
double BurnRate(const work_class& work, const request_counts& counts);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_ERROR_BUDGET_H_
