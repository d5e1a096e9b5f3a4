#ifndef PLANTAINHEAD_SRC_CORE_FLEET_POOL_RULES_H_
#define PLANTAINHEAD_SRC_CORE_FLEET_POOL_RULES_H_

#include "plantainhead/core/fleet/planner_context.h"

/// Helpers shared by the sources of `pool_planner`.
namespace plantainhead::core::pool_rules {

/// Returns true if the VM is draining or drained for a pool change.
inline bool IsMoving(const vm_view& vm) {
  return vm.state != nullptr && vm.state->wave.empty() &&
         (vm.state->phase == vm_phase::kDraining ||
          vm.state->phase == vm_phase::kDrained);
}

/// Returns the configuration of the pool, or null.
inline const pool_spec* SpecOf(const planner_context& context,
                               const pool_id& pool) {
  const pool_view* view = context.view.FindPool(pool);
  return view == nullptr ? nullptr : view->spec;
}

}  // namespace plantainhead::core::pool_rules

#endif  // PLANTAINHEAD_SRC_CORE_FLEET_POOL_RULES_H_
