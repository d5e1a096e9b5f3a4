#ifndef PLANTAINHEAD_CORE_CAPACITY_H_
#define PLANTAINHEAD_CORE_CAPACITY_H_

#include <cstdint>
#include <map>

#include "plantainhead/core/fleet_view.h"
#include "plantainhead/core/planner_types.h"

namespace plantainhead::core {

/// What one pool has to have.
struct pool_capacity {
  /// False when nothing is known of the demand of its services.
  bool is_known = false;
  /// Fewest VMs that serve the demand within the targets of its classes.
  std::uint32_t need = 0;
  /// Fewest VMs that must take work while others are in maintenance.
  std::uint32_t floor = 0;
};

using capacity_plan = std::map<pool_id, pool_capacity>;

/// Works out what each pool of the configuration has to have.
/// Thread safety: safe from any thread while nobody writes the inputs.
capacity_plan PlanCapacity(const planner_inputs& inputs,
                           const fleet_view& view,
                           const planner_options& options);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_CAPACITY_H_
