#ifndef PLANTAINHEAD_OBSERVE_BURN_H_
#define PLANTAINHEAD_OBSERVE_BURN_H_

#include <optional>
#include <string>
#include <vector>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/requests/request_counts.h"
#include "plantainhead/core/time.h"

/// How fast each class of work uses up the share of requests that may fail its
/// target. All functions are safe from any thread while nobody writes what they
/// are given.
namespace plantainhead::observe {

/// Hours of a class's past that a report shows one by one.
inline constexpr int kBurnHours = 48;

/// What became of one class's requests in a window of time.
struct window_report {
  core::duration window{};
  core::request_counts counts;
};

/// What is reported of one class.
struct class_report {
  core::work_class target;
  /// 5 minutes, 1 hour, 6 hours and the class's own window, in this order.
  std::vector<window_report> windows;
  /// The last `kBurnHours` hours, oldest first.
  std::vector<core::request_counts> hours;
};

/// The whole fleet's requests, as the fold's ledgers have them.
struct burn_report {
  core::time_point at;
  std::vector<class_report> classes;
};

/// Reads the ledgers of the fold. Entries record their counts at an interval,
/// so that the newest requests are missing.
burn_report MakeBurnReport(const core::fleet_state& fleet,
                           core::time_point now);

/// The two promises of a class; each has its own budget.
enum class burn_target {
  /// At most 1 - `served` may be late or unserved.
  kInTime,
  /// At most `unavailability` may be unserved.
  kAvailable,
};

/// How much of a budget is used.
struct budget_use {
  /// Share of requests that may fail the target.
  double allowed = 0;
  /// Share that did, in the class's window.
  double failed = 0;
  /// Part of the budget that is left, from 1 down; below 0 when overspent. The
  /// planner goes by the same figure.
  double left = 1;
  /// How many times faster than allowed it burned in the last 5 minutes, hour
  /// and 6 hours. Infinite when nothing is allowed to fail and something did.
  std::vector<double> rates;
  /// Time until none is left at the rate of the last hour, for requests that
  /// keep coming as they did; nothing at a rate that the target allows.
  std::optional<core::duration> exhausted_in;
};

/// Works out how much of a class's budget is used.
budget_use UseOf(const class_report& report, burn_target target);

/// Returns a table of plain text, a line for each class and target.
std::string ToText(const burn_report& report);

/// Returns JSON with the counts and the worked out figures.
std::string ToJson(const burn_report& report);

/// Returns one HTML page that needs nothing else: a table and, for each class,
/// a plot of the last `kBurnHours` hours.
std::string ToHtml(const burn_report& report);

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_OBSERVE_BURN_H_
