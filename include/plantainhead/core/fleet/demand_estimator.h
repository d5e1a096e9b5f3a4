#ifndef PLANTAINHEAD_CORE_FLEET_DEMAND_ESTIMATOR_H_
#define PLANTAINHEAD_CORE_FLEET_DEMAND_ESTIMATOR_H_

#include <map>

#include "plantainhead/core/fleet/planner_types.h"

namespace plantainhead::core {

/// Estimates the load of each service from the measurements of the entries. The
/// estimate follows a rise within seconds and a fall within minutes: missing a
/// rise affects callers, whereas missing a fall only keeps spare VMs. Thread
/// safety: none.
class demand_estimator {
 public:
  /// Estimate for one service.
  struct estimate {
    /// Mean number of busy slots.
    double load = 0;
    /// Mean time that a request occupies a slot, in seconds.
    double service_seconds = 0;
    /// The measured load with short-term noise filtered out.
    double smoothed = 0;
  };

  /// `rise` and `fall` are the time constants of the moving average for rising
  /// and falling load.
  demand_estimator(duration rise, duration fall);

  /// Updates the estimates with the latest measurements. Services that are
  /// missing from `demand` keep their estimate, because reports are delayed and
  /// may be lost.
  void Observe(const std::map<service_name, service_demand>& demand,
               time_point now);

  /// Returns the estimates by service. A service that was never reported has
  /// none.
  const std::map<service_name, estimate>& estimates() const {
    return estimates_;
  }

 private:
  duration rise_;
  duration fall_;
  time_point observed_at_;
  std::map<service_name, estimate> estimates_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_DEMAND_ESTIMATOR_H_
