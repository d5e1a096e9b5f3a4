#ifndef PLANTAINHEAD_CORE_FLEET_CAPACITY_H_
#define PLANTAINHEAD_CORE_FLEET_CAPACITY_H_

#include <cstdint>
#include <map>

#include "plantainhead/core/fleet/demand_estimator.h"
#include "plantainhead/core/fleet/planner_types.h"
#include "plantainhead/core/log/fleet_view.h"

namespace plantainhead::core {

/// Capacity that one pool requires, in VMs.
struct pool_capacity {
  /// False if the demand is known for none of the pool's services.
  bool is_known = false;
  /// Minimum number of VMs that serves the demand within the latency targets of
  /// the pool's classes.
  std::uint32_t need = 0;
  /// Minimum number of VMs that must remain after the loss of any one rack or
  /// zone.
  std::uint32_t min_after_loss = 0;
  /// Minimum number of VMs that must stay available while others are in
  /// maintenance.
  std::uint32_t floor = 0;
  /// How long a complete outage of the pool may last without spending more than
  /// a fixed share of the error budget of any of its classes.
  duration outage_allowance{};
  /// The lowest unavailability target among the pool's classes.
  double tolerance = 1.0;
};

/// Required capacity by pool.
using capacity_plan = std::map<pool_id, pool_capacity>;

/// Computes the capacity that each configured pool requires. Thread safety:
/// safe from any thread as long as no thread modifies the arguments.
capacity_plan PlanCapacity(const planner_inputs& inputs,
                           const fleet_view& view,
                           const demand_estimator& demand,
                           const planner_options& options);

/// Returns the minimum number of VMs that, spread evenly over `domains` failure
/// domains, is at least `need` and leaves `min_after_loss` VMs when one domain
/// is lost. With a single domain nothing survives its loss, and `need` is
/// returned. Thread safety: safe from any thread.
std::uint32_t MinEvenSpread(std::uint32_t need,
                            std::uint32_t min_after_loss,
                            std::uint32_t domains);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_CAPACITY_H_
