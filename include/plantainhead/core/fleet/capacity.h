#ifndef PLANTAINHEAD_CORE_FLEET_CAPACITY_H_
#define PLANTAINHEAD_CORE_FLEET_CAPACITY_H_

#include <cstdint>
#include <map>

#include "plantainhead/core/fleet/demand_estimator.h"
#include "plantainhead/core/fleet/planner_types.h"
#include "plantainhead/core/log/fleet_view.h"

namespace plantainhead::core {

/// What one pool has to have, in VMs.
struct pool_capacity {
  /// False when nothing is known of the demand of its services.
  bool is_known = false;
  /// Fewest that serve the demand within the targets of its classes.
  std::uint32_t need = 0;
  /// Fewest that must be left after the loss of any one rack or zone.
  std::uint32_t min_after_loss = 0;
  /// Fewest that must take work while others are in maintenance.
  std::uint32_t floor = 0;
  /// How long a whole outage of the pool could last without spending more than
  /// a set share of any class's budget.
  duration outage_allowance{};
  /// The least unavailability that its classes tolerate.
  double tolerance = 1.0;
};

using capacity_plan = std::map<pool_id, pool_capacity>;

/// Works out what each pool of the configuration has to have.
/// Thread safety: safe from any thread while nobody writes the arguments.
capacity_plan PlanCapacity(const planner_inputs& inputs,
                           const fleet_view& view,
                           const demand_estimator& demand,
                           const planner_options& options);

/// Returns the fewest VMs that, spread evenly over `domains` failure domains,
/// are at least `need` and leave `min_after_loss` when one domain is lost. With
/// one domain nothing can survive its loss, and `need` is returned. Thread
/// safety: safe from any thread.
std::uint32_t MinEvenSpread(std::uint32_t need,
                            std::uint32_t min_after_loss,
                            std::uint32_t domains);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_CAPACITY_H_
