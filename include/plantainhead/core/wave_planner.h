#ifndef PLANTAINHEAD_CORE_WAVE_PLANNER_H_
#define PLANTAINHEAD_CORE_WAVE_PLANNER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/capacity.h"
#include "plantainhead/core/vm_lifecycle.h"

namespace plantainhead::core {

/// Chooses the VMs that a wave takes next: as many at once as the budgets of
/// all classes allow, one zone of a pool at a time, rack by rack.
/// Thread safety: none.
class wave_planner {
 public:
  /// Starts drains for all running waves and ends those that are complete.
  void Plan(const planner_context& context,
            const vm_lifecycle& lifecycle,
            const capacity_plan& capacity);

 private:
  void PlanWave(const planner_context& context,
                const vm_lifecycle& lifecycle,
                const capacity_plan& capacity,
                const wave_id& id,
                const wave_progress& wave);
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_WAVE_PLANNER_H_
