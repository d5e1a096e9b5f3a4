#ifndef PLANTAINHEAD_CORE_FLEET_DEMAND_ESTIMATOR_H_
#define PLANTAINHEAD_CORE_FLEET_DEMAND_ESTIMATOR_H_

#include <map>

#include "plantainhead/core/fleet/planner_types.h"

namespace plantainhead::core {

/// Learns the load of each service from what the entries measured. It follows a
/// rise within seconds and a fall within minutes: a rise that is missed costs
/// the callers, a fall only spare VMs. Thread safety: none.
class demand_estimator {
 public:
  /// What is known of one service.
  struct estimate {
    /// Mean number of busy slots.
    double load = 0;
    /// Mean time that a request holds a slot, in seconds.
    double service_seconds = 0;
    /// The measured load without its fastest noise.
    double smoothed = 0;
  };

  /// `rise` and `fall` are the time constants of the moving average.
  demand_estimator(duration rise, duration fall);

  /// Takes in what was measured last. Services that are missing keep their
  /// estimate: reports lag and may be lost.
  void Observe(const std::map<service_name, service_demand>& demand,
               time_point now);

  /// Returns the estimates; a service that was never reported has none.
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
