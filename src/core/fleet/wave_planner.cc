#include "plantainhead/core/fleet/wave_planner.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace plantainhead::core {
namespace {

bool IsOpen(const fleet_wave& wave) {
  return wave.state == wave_state::kRunning ||
         wave.state == wave_state::kPaused;
}

/// Returns true if the VM is out of service and therefore occupies its zone, so
/// that no VM of another zone of the pool may be taken. A VM that has been out
/// of service for longer than `return_timeout` is considered permanently lost;
/// otherwise it would block the wave forever.
bool OccupiesZone(const planner_context& context, const vm_view& vm) {
  if (vm.state == nullptr || vm.zone.empty()) {
    return false;
  }
  if (vm.is_pending) {
    return true;
  }
  if (vm.serving() && !vm.is_lost()) {
    return false;
  }
  if (vm.seen == nullptr) {
    return true;
  }
  const time_point since =
      vm.serving() ? vm.seen->impaired_since : vm.seen->since;
  return context.now - since < context.options.return_timeout;
}

std::set<zone_id> OccupiedZones(const planner_context& context,
                                const pool_view& pool) {
  std::set<zone_id> zones;
  for (const vm_view* vm : pool.vms) {
    if (OccupiesZone(context, *vm)) {
      zones.insert(vm->zone);
    }
  }
  return zones;
}

std::uint32_t CountLost(const planner_context& context, const pool_view& pool) {
  std::uint32_t lost = 0;
  for (const vm_view* vm : pool.vms) {
    lost += vm->is_lost() && OccupiesZone(context, *vm) ? 1 : 0;
  }
  return lost;
}

/// Returns true if the error budgets allow the pool to go below its floor for
/// one reboot. This applies to pools that are too small to release even one VM
/// otherwise.
bool BudgetAllowsOutage(const planner_context& context,
                        const pool_capacity& capacity,
                        std::uint32_t available) {
  if (capacity.need == 0) {
    return true;
  }
  const double left = available > 0 ? available - 1 : 0;
  const double shed = std::max(0.0, 1.0 - left / capacity.need);
  return shed * static_cast<double>(
                    context.options.expected_reboot_time.count()) <=
         static_cast<double>(capacity.outage_allowance.count());
}

/// Returns true if a listed VM has no pool yet. A wave that is started together
/// with the first configuration finds its pools empty; if it were finished
/// then, its VMs would never be rebooted. The pool planner assigns every listed
/// VM to a pool, so this delays a wave by a few plans only.
bool HasUnassignedVms(const planner_context& context) {
  if (!context.list_is_fresh()) {
    return true;
  }
  const auto& vms = context.view.vms();
  return std::any_of(vms.begin(), vms.end(), [](const auto& item) {
    return item.second.state == nullptr && item.second.listed_live();
  });
}

}  // namespace

std::set<pool_id> wave_planner::BlockedPools(const planner_context& context,
                                             const capacity_plan& capacity) {
  std::set<pool_id> blocked;
  for (const auto& [name, pool] : context.view.pools()) {
    if (pool.available < capacity.at(name).floor &&
        CountLost(context, pool) > 0) {
      blocked.insert(name);
    }
  }
  return blocked;
}

void wave_planner::Plan(const planner_context& context,
                        const vm_lifecycle& lifecycle,
                        const capacity_plan& capacity) {
  std::erase_if(clear_since_, [&](const auto& item) {
    return !context.inputs.state.waves.contains(item.first);
  });
  for (const auto& [id, wave] : context.inputs.state.waves) {
    if (IsOpen(wave)) {
      PlanWave(context, lifecycle, capacity, id, wave);
    }
  }
}

void wave_planner::PlanWave(const planner_context& context,
                            const vm_lifecycle& lifecycle,
                            const capacity_plan& capacity,
                            const wave_id& id,
                            const fleet_wave& wave) {
  if (context.gate.IsPending(ObjectOf(id), wave.version, context.now)) {
    return;
  }
  scan_result found;
  for (const pool_id& name : wave.pools) {
    if (const pool_view* pool = context.view.FindPool(name)) {
      PlanPool(context, lifecycle, capacity.at(name), *pool, id, wave, found);
    }
  }
  if (found.left == 0 && found.under_way == 0) {
    if (HasUnassignedVms(context)) {
      context.reasons[ObjectOf(id)] = "listed VMs have no pool yet";
      return;
    }
    SetState(context, id, wave, wave_state::kFinished, "every VM was visited");
    return;
  }
  if (!found.obstacle.empty()) {
    context.reasons[ObjectOf(id)] = found.obstacle;
  }
  PauseOrResume(context, id, wave, PauseReason(context, wave, found));
}

void wave_planner::PlanPool(const planner_context& context,
                            const vm_lifecycle& lifecycle,
                            const pool_capacity& capacity,
                            const pool_view& pool,
                            const wave_id& id,
                            const fleet_wave& wave,
                            scan_result& found) {
  std::uint32_t left = 0;
  std::uint32_t under_way = 0;
  for (const vm_view* vm : pool.vms) {
    left += wave.visited.contains(vm->id) ? 0 : 1;
    under_way += vm->state->wave == id ? 1 : 0;
  }
  found.left += left;
  found.under_way += under_way;
  if (left == under_way) {
    return;
  }
  ++found.open_pools;
  std::set<zone_id> zones = OccupiedZones(context, pool);
  if (context.blocked_pools.contains(pool.spec->name)) {
    ++found.blocked_pools;
    found.obstacle =
        "a failure left no spare capacity in pool " + pool.spec->name.value();
    return;
  }
  if (wave.state != wave_state::kRunning || !context.list_is_fresh()) {
    return;
  }
  std::uint32_t available = pool.available;
  std::uint32_t away = static_cast<std::uint32_t>(pool.vms.size()) - available;
  for (const vm_view* vm : Candidates(context, lifecycle, pool, wave)) {
    const std::uint32_t cost = vm->available() ? 1 : 0;
    if (cost == 1 && available <= capacity.floor &&
        (away > 0 || !BudgetAllowsOutage(context, capacity, available))) {
      found.obstacle = "pool " + pool.spec->name.value() + " has " +
                       std::to_string(available) +
                       " VMs in service and requires at least " +
                       std::to_string(capacity.floor);
      break;
    }
    if (!zones.empty() && !zones.contains(vm->zone)) {
      continue;
    }
    if (zones.size() > 1) {
      found.obstacle = "pool " + pool.spec->name.value() +
                       " has VMs out of service in more than one zone";
      break;
    }
    zones.insert(vm->zone);
    lifecycle.StartDrain(*vm, id,
                         "wave " + id.value() + ", zone " + vm->zone.value() +
                             ", rack " + vm->rack.value() + ": " +
                             std::to_string(available) + " at work, " +
                             std::to_string(capacity.floor) + " needed");
    available -= cost;
    ++away;
  }
}

std::vector<const vm_view*> wave_planner::Candidates(
    const planner_context& context,
    const vm_lifecycle& lifecycle,
    const pool_view& pool,
    const fleet_wave& wave) const {
  std::vector<const vm_view*> found;
  std::set<zone_id> started;
  std::map<zone_id, std::uint32_t> jobs;
  for (const vm_view* vm : pool.vms) {
    jobs[vm->zone] += vm->jobs;
    if (wave.visited.contains(vm->id)) {
      started.insert(vm->zone);
      continue;
    }
    const auto deferred = context.deferred.find(vm->id);
    const bool waits =
        deferred != context.deferred.end() &&
        context.now - deferred->second < context.options.drain_retry_delay;
    if (!waits && lifecycle.CanDrain(*vm)) {
      found.push_back(vm);
    }
  }
  // A zone with rebooted VMs is completed first, followed by the zones and VMs
  // with the fewest jobs. Jobs that must move then find rebooted VMs and move
  // only once.
  const auto key = [&](const vm_view* vm) {
    return std::make_tuple(!started.contains(vm->zone), jobs[vm->zone],
                           std::cref(vm->zone), vm->jobs > 0,
                           std::cref(vm->rack), std::cref(vm->id));
  };
  std::sort(found.begin(), found.end(),
            [&](const vm_view* left, const vm_view* right) {
              return key(left) < key(right);
            });
  return found;
}

std::string wave_planner::PauseReason(const planner_context& context,
                                      const fleet_wave& wave,
                                      const scan_result& found) const {
  if (found.open_pools > 0 && found.blocked_pools == found.open_pools) {
    return found.obstacle;
  }
  const double limit = wave.state == wave_state::kPaused
                           ? context.options.resume_burn_rate
                           : context.options.pause_burn_rate;
  for (const work_class& work : context.inputs.state.targets.classes) {
    const auto burn = context.inputs.budgets.find(work.name);
    if (burn == context.inputs.budgets.end() || burn->second.rate <= limit) {
      continue;
    }
    const service_spec* service =
        context.inputs.state.targets.FindService(work.service);
    if (service == nullptr) {
      continue;
    }
    for (const pool_id& pool : service->pools) {
      if (std::find(wave.pools.begin(), wave.pools.end(), pool) !=
          wave.pools.end()) {
        return "class " + work.name.value() + " burns its budget too fast";
      }
    }
  }
  return "";
}

void wave_planner::PauseOrResume(const planner_context& context,
                                 const wave_id& id,
                                 const fleet_wave& wave,
                                 const std::string& why) {
  if (!why.empty()) {
    clear_since_.erase(id);
    if (wave.state == wave_state::kRunning) {
      SetState(context, id, wave, wave_state::kPaused, kAutoPausePrefix + why);
    }
    return;
  }
  if (!IsAutoPause(wave)) {
    return;
  }
  const time_point calm =
      clear_since_.try_emplace(id, context.now).first->second;
  if (context.now - calm >= context.options.resume_after) {
    SetState(context, id, wave, wave_state::kRunning,
             "resumed: the reason for the pause no longer applies");
  }
}

void wave_planner::SetState(const planner_context& context,
                            const wave_id& id,
                            const fleet_wave& wave,
                            wave_state state,
                            const std::string& reason) const {
  context.reasons[ObjectOf(id)] = reason;
  context.gate.Append(
      ObjectOf(id), wave.version,
      set_wave_state{context.inputs.epoch, id, wave.version, state, reason},
      context.now, context.out);
}

}  // namespace plantainhead::core
