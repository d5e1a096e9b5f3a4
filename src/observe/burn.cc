#include "plantainhead/observe/burn.h"

#include <array>
#include <cmath>
#include <cstdint>
#include <limits>

#include "plantainhead/core/fleet/error_budget.h"

namespace plantainhead::observe {
namespace {

constexpr std::array<core::duration, 3> kWindows = {
    std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6)};
constexpr std::size_t kHourWindow = 1;
// Of `core::kLedgerResolutions`.
constexpr std::size_t kHourly = 1;

std::uint64_t FailedOf(const core::request_counts& counts, burn_target target) {
  return target == burn_target::kInTime
             ? counts.Total() - counts[core::request_fate::kServed]
             : counts.Unserved();
}

double ShareFailed(const core::request_counts& counts, burn_target target) {
  if (counts.Total() == 0) {
    return 0;
  }
  return static_cast<double>(FailedOf(counts, target)) /
         static_cast<double>(counts.Total());
}

// Returns how many times the allowed share failed.
double RateOf(double failed, double allowed) {
  if (failed == 0) {
    return 0;
  }
  return allowed > 0 ? failed / allowed
                     : std::numeric_limits<double>::infinity();
}

std::optional<core::duration> TimeLeft(double left,
                                       double rate,
                                       core::duration window) {
  if (left <= 0) {
    return core::duration::zero();
  }
  // At a rate of 1 or less old failures leave the sliding window at least as
  // fast as new ones come.
  if (rate <= 1) {
    return std::nullopt;
  }
  const double micros = static_cast<double>(window.count()) * left / rate;
  return core::duration(std::llround(micros));
}

std::vector<core::request_counts> HoursOf(const core::class_ledger& ledger,
                                          core::time_point now) {
  const auto& periods = ledger.periods[kHourly];
  const auto newest = static_cast<std::uint64_t>(
      now.time_since_epoch() / core::kLedgerResolutions[kHourly].width);
  std::vector<core::request_counts> hours(kBurnHours);
  for (std::uint64_t age = 0; age < kBurnHours; ++age) {
    const auto period = periods.find(newest - age);
    if (period != periods.end()) {
      hours[kBurnHours - 1 - age] = period->second;
    }
  }
  return hours;
}

}  // namespace

burn_report MakeBurnReport(const core::fleet_state& fleet,
                           core::time_point now) {
  burn_report report;
  report.at = now;
  for (const core::work_class& target : fleet.targets.classes) {
    const auto found = fleet.ledgers.find(target.name);
    const core::class_ledger ledger =
        found == fleet.ledgers.end() ? core::class_ledger() : found->second;
    class_report item;
    item.target = target;
    for (const core::duration window : kWindows) {
      item.windows.push_back({window, ledger.SumOver(window, now)});
    }
    item.windows.push_back({target.window, ledger.SumOver(target.window, now)});
    item.hours = HoursOf(ledger, now);
    report.classes.push_back(std::move(item));
  }
  return report;
}

budget_use UseOf(const class_report& report, burn_target target) {
  budget_use use;
  use.allowed = target == burn_target::kInTime ? 1 - report.target.served
                                               : report.target.unavailability;
  const window_report& whole = report.windows.back();
  use.failed = ShareFailed(whole.counts, target);
  use.left = 1 - RateOf(use.failed, use.allowed);
  for (std::size_t i = 0; i + 1 < report.windows.size(); ++i) {
    use.rates.push_back(
        RateOf(ShareFailed(report.windows[i].counts, target), use.allowed));
  }
  use.exhausted_in =
      TimeLeft(use.left, use.rates.at(kHourWindow), whole.window);
  return use;
}

}  // namespace plantainhead::observe
