#include "plantainhead/core/fleet/demand_estimator.h"

#include <cmath>

namespace plantainhead::core {
namespace {

constexpr duration kSmoothing = std::chrono::seconds(10);

double SecondsOf(duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Returns the weight of a new value in an exponential moving average with this
/// time constant.
double WeightOf(double elapsed, duration constant) {
  return 1.0 - std::exp(-elapsed / SecondsOf(constant));
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
      known = {load, seconds, load};
      continue;
    }
    // Noise is filtered first, with the same weight up and down. Otherwise each
    // upward fluctuation would raise the estimate at once, and its slow decay
    // would keep the estimate at the peaks of the noise.
    known.smoothed += WeightOf(elapsed, kSmoothing) * (load - known.smoothed);
    const duration constant = known.smoothed > known.load ? rise_ : fall_;
    known.load += WeightOf(elapsed, constant) * (known.smoothed - known.load);
    if (measured.arrivals_per_second > 0) {
      known.service_seconds +=
          WeightOf(elapsed, constant) * (seconds - known.service_seconds);
    }
  }
}

}  // namespace plantainhead::core
