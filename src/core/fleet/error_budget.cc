#include "plantainhead/core/fleet/error_budget.h"

#include <algorithm>

namespace plantainhead::core {
namespace {

constexpr double kMinTolerance = 1e-6;

std::uint64_t PeriodOf(time_point at, duration width) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(at.time_since_epoch() / width, 0));
}

}  // namespace

void class_ledger::Add(time_point at, const request_counts& counts) {
  for (std::size_t i = 0; i < kLedgerResolutions.size(); ++i) {
    const ledger_resolution& resolution = kLedgerResolutions[i];
    auto& kept = periods[i];
    kept[PeriodOf(at, resolution.width)] += counts;
    while (kept.size() > resolution.max_periods) {
      kept.erase(kept.begin());
    }
  }
}

request_counts class_ledger::SumOver(duration window, time_point now) const {
  std::size_t chosen = 0;
  while (chosen + 1 < kLedgerResolutions.size() &&
         kLedgerResolutions[chosen].width *
                 static_cast<std::int64_t>(
                     kLedgerResolutions[chosen].max_periods) <
             window) {
    ++chosen;
  }
  const duration width = kLedgerResolutions[chosen].width;
  const auto& kept = periods[chosen];
  request_counts sum;
  for (auto period = kept.lower_bound(PeriodOf(now - window, width));
       period != kept.end(); ++period) {
    sum += period->second;
  }
  return sum;
}

double BurnRate(const work_class& work, const request_counts& counts) {
  const std::uint64_t total = counts.Total();
  if (total == 0) {
    return 0;
  }
  const double unserved =
      static_cast<double>(counts.Unserved()) / static_cast<double>(total);
  return unserved / std::max(work.unavailability, kMinTolerance);
}

budget_status BudgetStatusOf(const work_class& work,
                             const class_ledger& ledger,
                             time_point now) {
  const request_counts counts = ledger.SumOver(work.window, now);
  return {counts, BurnRate(work, counts)};
}

}  // namespace plantainhead::core
