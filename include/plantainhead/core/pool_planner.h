#ifndef PLANTAINHEAD_CORE_POOL_PLANNER_H_
#define PLANTAINHEAD_CORE_POOL_PLANNER_H_

#include <string>

#include "plantainhead/core/capacity.h"
#include "plantainhead/core/phase_watch.h"
#include "plantainhead/core/planner_context.h"
#include "plantainhead/core/vm_lifecycle.h"

namespace plantainhead::core {

/// Gives every VM of the platform's list a pool, moves VMs to the pools that
/// lack them and forgets VMs that are gone. Thread safety: none.
class pool_planner {
 public:
  void Plan(const planner_context& context,
            const vm_lifecycle& lifecycle,
            const capacity_plan& capacity,
            const phase_watch& watch);

 private:
  void AssignNew(const planner_context& context, const capacity_plan& capacity);
  void ForgetGone(const planner_context& context, const phase_watch& watch);
  void TellPlatform(const planner_context& context);
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_POOL_PLANNER_H_
