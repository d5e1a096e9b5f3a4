#include "plantainhead/core/wave_planner.h"

#include <algorithm>

namespace plantainhead::core {
namespace {

/// Returns the zones of the pool in which a VM doesn't take work.
std::set<zone_id> ZonesDown(const pool_view& pool) {
  std::set<zone_id> zones;
  for (const vm_view* vm : pool.vms) {
    if (!vm->available() && vm->listing != nullptr) {
      zones.insert(vm->listing->zone);
    }
  }
  return zones;
}

/// Returns the VMs of the pool that the wave has still to take, in the order of
/// their zones and racks.
std::vector<const vm_view*> Candidates(const pool_view& pool,
                                       const wave_progress& wave) {
  std::vector<const vm_view*> found;
  for (const vm_view* vm : pool.vms) {
    if (vm->available() && !wave.visited.contains(vm->id)) {
      found.push_back(vm);
    }
  }
  std::sort(
      found.begin(), found.end(),
      [](const vm_view* left, const vm_view* right) {
        return std::tie(left->listing->zone, left->listing->rack, left->id) <
               std::tie(right->listing->zone, right->listing->rack, right->id);
      });
  return found;
}

}  // namespace

void wave_planner::Plan(const planner_context& context,
                        const vm_lifecycle& lifecycle,
                        const capacity_plan& capacity) {
  for (const auto& [id, wave] : context.inputs.state.waves) {
    if (wave.state == wave_state::kRunning) {
      PlanWave(context, lifecycle, capacity, id, wave);
    }
  }
}

void wave_planner::PlanWave(const planner_context& context,
                            const vm_lifecycle& lifecycle,
                            const capacity_plan& capacity,
                            const wave_id& id,
                            const wave_progress& wave) {
  std::size_t left = 0;
  for (const pool_id& name : wave.pools) {
    const pool_view* pool = context.view.FindPool(name);
    if (pool == nullptr) {
      continue;
    }
    for (const vm_view* vm : pool->vms) {
      left += wave.visited.contains(vm->id) ? 0 : 1;
    }
    std::set<zone_id> zones = ZonesDown(*pool);
    std::uint32_t available = pool->available;
    for (const vm_view* vm : Candidates(*pool, wave)) {
      if (available <= capacity.at(name).floor) {
        break;
      }
      zones.insert(vm->listing->zone);
      if (zones.size() > 1) {
        break;
      }
      lifecycle.StartDrain(*vm, id, "wave " + id.value());
      --available;
    }
  }
  if (left == 0) {
    context.gate.Append(
        "wave:" + id.value(), wave.version,
        set_wave_state{context.inputs.epoch, id, wave.version,
                       wave_state::kFinished, "every VM was visited"},
        context.now, context.out);
  }
}

}  // namespace plantainhead::core
