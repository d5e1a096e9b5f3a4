#include <algorithm>
#include <tuple>

#include "core/fleet/pool_rules.h"
#include "plantainhead/core/fleet/pool_planner.h"

namespace plantainhead::core {
namespace {

using pool_rules::IsMoving;
using pool_rules::SpecOf;

/// Returns true if an open wave has still to reboot the VM in its current pool.
bool AwaitsWave(const planner_context& context, const vm_view& vm) {
  for (const auto& [id, wave] : context.inputs.state.waves) {
    const bool is_open =
        wave.state == wave_state::kRunning || wave.state == wave_state::kPaused;
    if (is_open && !wave.visited.contains(vm.id) &&
        std::find(wave.pools.begin(), wave.pools.end(), vm.state->pool) !=
            wave.pools.end()) {
      return true;
    }
  }
  return false;
}

/// Returns true if the demand of callers cannot be served without more VMs.
bool IsUrgent(const pool_balance& pool) {
  return pool.DemandShortage() > 0 && pool.affects_callers();
}

std::string Count(std::uint32_t count) {
  return std::to_string(count);
}

}  // namespace

void pool_planner::EndMoves(const planner_context& context,
                            const vm_lifecycle& lifecycle,
                            pool_balances& pools) {
  for (const auto& [id, vm] : context.view.vms()) {
    if (!IsMoving(vm) || vm.is_pending ||
        vm.state->phase != vm_phase::kDrained) {
      continue;
    }
    const std::optional<pool_id> receiver =
        MostUrgentPool(context, pools, vm.state->pool, {});
    if (!receiver || *receiver == vm.state->pool) {
      lifecycle.Readmit(vm, "no other pool needs the VM any longer");
      continue;
    }
    pools.at(*receiver).Add(context.DomainOf(vm, by_rack_));
    UpdateTeamCounts(context, vm.state->pool, *receiver);
    ++figures_.moves;
    lifecycle.ReadmitTo(vm, *receiver,
                        "pool " + receiver->value() +
                            " had a more urgent shortage than pool " +
                            vm.state->pool.value());
  }
}

void pool_planner::StartMoves(const planner_context& context,
                              const vm_lifecycle& lifecycle,
                              pool_balances& pools) {
  CountPendingMoves(context, pools);
  std::set<vm_id> taken;
  std::set<pool_id> excluded = PoolsWithRecentShortage(context, pools);
  ExcludeIfNoDonor(context, pools, excluded);
  while (true) {
    const std::optional<pool_id> receiver =
        MostUrgentPool(context, pools, std::nullopt, excluded);
    if (!receiver) {
      return;
    }
    pool_balance& to = pools.at(*receiver);
    const std::optional<donor> best =
        BestDonor(context, lifecycle, pools, *receiver, taken);
    if (!best) {
      ReportNoDonor(context, *receiver, to);
      excluded.insert(*receiver);
      continue;
    }
    const zone_id domain = context.DomainOf(*best->vm, by_rack_);
    lifecycle.StartDrain(*best->vm, wave_id(),
                         "move to pool " + receiver->value() +
                             ", which is short of " + Count(to.Shortage()) +
                             " VMs; pool " + best->from.value() + " needs " +
                             Count(pools.at(best->from).need()) + " of its " +
                             Count(pools.at(best->from).size()));
    taken.insert(best->vm->id);
    starting_moves_[best->vm->id] = best->vm->state->version;
    pools.at(best->from).Remove(domain);
    to.Add(domain);
    UpdateTeamCounts(context, best->from, *receiver);
  }
}

bool pool_planner::IsStarting(const vm_view& vm) const {
  const auto found = starting_moves_.find(vm.id);
  return found != starting_moves_.end() && vm.is_pending && vm.serving() &&
         vm.state->version == found->second;
}

void pool_planner::CountPendingMoves(const planner_context& context,
                                     pool_balances& pools) {
  for (const auto& [id, vm] : context.view.vms()) {
    const bool is_leaving =
        IsMoving(vm) &&
        (vm.is_pending || vm.state->phase == vm_phase::kDraining);
    if (!is_leaving && !IsStarting(vm)) {
      continue;
    }
    const std::optional<pool_id> receiver =
        MostUrgentPool(context, pools, vm.state->pool, {});
    if (receiver) {
      pools.at(*receiver).Add(context.DomainOf(vm, by_rack_));
      UpdateTeamCounts(context, vm.state->pool, *receiver);
    }
  }
}

void pool_planner::UpdateTeamCounts(const planner_context& context,
                                    const pool_id& from,
                                    const pool_id& to) {
  if (const pool_spec* spec = SpecOf(context, from)) {
    --team_vms_[spec->team];
  }
  ++team_vms_[SpecOf(context, to)->team];
}

std::set<pool_id> pool_planner::PoolsWithRecentShortage(
    const planner_context& context,
    const pool_balances& pools) const {
  std::set<pool_id> found;
  for (const auto& [name, trend] : trends_) {
    const bool is_base = pools.at(name).DemandShortage() > 0;
    const duration min_time = is_base ? context.options.demand_shortage_delay
                                      : context.options.spare_shortage_delay;
    if (trend.shortage_since &&
        context.now - *trend.shortage_since < min_time) {
      found.insert(name);
    }
  }
  return found;
}

std::optional<pool_id> pool_planner::MostUrgentPool(
    const planner_context& context,
    const pool_balances& pools,
    const std::optional<pool_id>& from,
    const std::set<pool_id>& excluded) const {
  std::optional<pool_id> most_urgent;
  std::tuple<double, double, double> greatest;
  for (const auto& [name, pool] : pools) {
    if (excluded.contains(name)) {
      continue;
    }
    const std::uint32_t shortage = pool.Shortage();
    if (shortage == 0 || (from && !QuotaAllowsMove(context, name, *from))) {
      continue;
    }
    const std::uint32_t base = pool.DemandShortage();
    const double size = std::max(1U, pool.need());
    const std::tuple<double, double, double> urgency{
        base / size, -pool.tolerance(), shortage / size};
    if (!most_urgent || urgency > greatest) {
      most_urgent = name;
      greatest = urgency;
    }
  }
  return most_urgent;
}

std::optional<pool_planner::donor> pool_planner::BestDonor(
    const planner_context& context,
    const vm_lifecycle& lifecycle,
    const pool_balances& pools,
    const pool_id& receiver,
    const std::set<vm_id>& taken) const {
  const pool_balance& to = pools.at(receiver);
  const bool is_urgent = IsUrgent(to);
  std::optional<donor> best;
  std::tuple<bool, bool, std::uint32_t, std::uint32_t, double> least;
  for (const auto& [name, from] : pools) {
    const pool_trend& trend = trends_.at(name);
    if (name == receiver || !IsDonor(context, from, trend, to) ||
        !QuotaAllowsMove(context, receiver, name)) {
      continue;
    }
    const bool spares_all = is_urgent && from.tolerance() >= to.tolerance();
    const double above_peak = from.size() - trend.peak;
    for (const vm_view* vm : context.view.FindPool(name)->vms) {
      const zone_id domain = context.DomainOf(*vm, by_rack_);
      const bool keeps_spare = from.CanRelease(domain, false);
      if ((!keeps_spare && !(spares_all && from.CanRelease(domain, true))) ||
          taken.contains(vm->id) || !lifecycle.CanDrain(*vm) ||
          !MayMove(context, *vm, is_urgent)) {
        continue;
      }
      const std::tuple<bool, bool, std::uint32_t, std::uint32_t, double> cost{
          !keeps_spare, above_peak < 1.0, to.CountIn(domain), vm->jobs,
          -above_peak};
      if (!best || cost < least) {
        best = donor{vm, name};
        least = cost;
      }
    }
  }
  return best;
}

bool pool_planner::IsDonor(const planner_context& context,
                           const pool_balance& from,
                           const pool_trend& trend,
                           const pool_balance& to) const {
  if (from.size() <= from.need()) {
    return false;
  }
  if (IsUrgent(to)) {
    return trend.surplus > 0 || from.tolerance() >= to.tolerance();
  }
  return HasLastingSurplus(context, trend);
}

bool pool_planner::HasLastingSurplus(const planner_context& context,
                                     const pool_trend& trend) {
  return trend.surplus > 0 && trend.surplus_since &&
         context.now - *trend.surplus_since >= context.options.surplus_delay;
}

void pool_planner::ExcludeIfNoDonor(const planner_context& context,
                                    const pool_balances& pools,
                                    std::set<pool_id>& excluded) const {
  for (const auto& [name, trend] : trends_) {
    if (HasLastingSurplus(context, trend)) {
      return;
    }
  }
  for (const auto& [name, trend] : trends_) {
    const pool_balance& pool = pools.at(name);
    if (trend.shortage > 0 && !IsUrgent(pool) && excluded.insert(name).second) {
      ReportNoDonor(context, name, pool);
    }
  }
}

void pool_planner::ReportNoDonor(const planner_context& context,
                                 const pool_id& name,
                                 const pool_balance& pool) {
  context.Report(log_severity::kWarning, ObjectOf(name),
                 "the pool is short of " + Count(pool.Shortage()) +
                     " VMs and no other pool can release any");
}

bool pool_planner::MayMove(const planner_context& context,
                           const vm_view& vm,
                           bool is_urgent) const {
  if (!vm.available()) {
    return false;
  }
  if (is_urgent) {
    return true;
  }
  return vm.seen != nullptr &&
         context.now - vm.seen->pool_since >= context.options.min_dwell_time &&
         !AwaitsWave(context, vm);
}

}  // namespace plantainhead::core
