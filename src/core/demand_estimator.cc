#include "plantainhead/core/demand_estimator.h"

#include <cmath>

namespace plantainhead::core {
namespace {

double SecondsOf(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

demand_estimator::demand_estimator(duration rise, duration fall)
    : rise_(rise), fall_(fall) {}

void demand_estimator::Observe(
    const std::map<service_name, service_demand>& demand,
    time_point now) {
  const double elapsed = SecondsOf(now - observed_at_);
  observed_at_ = now;
  for (const auto& [name, measured] : demand) {
    const double seconds = SecondsOf(measured.mean_service_time);
    const double load = measured.arrivals_per_second * seconds;
    const auto [found, is_new] = estimates_.try_emplace(name);
    estimate& known = found->second;
    if (is_new) {
      known = {load, seconds};
      continue;
    }
    const duration constant = load > known.load ? rise_ : fall_;
    const double weight = 1.0 - std::exp(-elapsed / SecondsOf(constant));
    known.load += weight * (load - known.load);
    if (measured.arrivals_per_second > 0) {
      known.service_seconds += weight * (seconds - known.service_seconds);
    }
  }
}

}  // namespace plantainhead::core
