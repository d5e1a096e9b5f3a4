#include "plantainhead/core/fleet/pool_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/fleet/pool_rules.h"

namespace plantainhead::core {
namespace {

using pool_rules::IsMoving;
using pool_rules::SpecOf;

/// Returns true if the pool can rely on the VM: it serves and is listed as live
/// and healthy, or it is expected back from maintenance. Quarantined and moving
/// VMs do not count.
bool IsMember(const planner_context& context, const vm_view& vm) {
  if (vm.state == nullptr || vm.state->quarantined || IsMoving(vm)) {
    return false;
  }
  if (vm.state->phase != vm_phase::kServing) {
    return vm.seen == nullptr ||
           context.now - vm.seen->since < context.options.return_timeout;
  }
  return vm.listed_live() && vm.healthy;
}

std::uint32_t QuotaOf(const planner_context& context, const team_id& team) {
  for (const team_spec& spec : context.inputs.state.targets.teams) {
    if (spec.name == team) {
      return spec.vms;
    }
  }
  return 0;
}

}  // namespace

void pool_planner::Plan(const planner_context& context,
                        const vm_lifecycle& lifecycle,
                        const capacity_plan& capacity) {
  if (!context.list_is_fresh() || capacity.empty()) {
    return;
  }
  ObserveZones(context);
  pool_balances pools = ComputeBalances(context, capacity);
  CountTeams(context);
  std::erase_if(starting_moves_, [&](const auto& item) {
    const vm_view* vm = context.view.FindVm(item.first);
    return vm == nullptr || !IsStarting(*vm);
  });
  UpdateTrends(context, pools);
  UpdateFigures(context, pools, capacity);
  AssignNewVms(context, pools);
  ForgetMissingVms(context);
  SyncPlatformPools(context);
  EndMoves(context, lifecycle, pools);
  StartMoves(context, lifecycle, pools);
}

void pool_planner::ObserveZones(const planner_context& context) {
  std::set<rack_id> racks;
  for (const vm_listing& vm : context.inputs.vms) {
    if (vm.state == vm_listing_state::kLive) {
      zone_last_seen_[vm.zone] = context.now;
      racks.insert(vm.rack);
    }
  }
  std::erase_if(zone_last_seen_, [&](const auto& item) {
    return context.now - item.second >= context.options.outage_retention;
  });
  has_zone_outage_ =
      std::any_of(zone_last_seen_.begin(), zone_last_seen_.end(),
                  [&](const auto& item) { return item.second != context.now; });
  by_rack_ = zone_last_seen_.size() < 2;
  domains_ = static_cast<std::uint32_t>(by_rack_ ? racks.size()
                                                 : zone_last_seen_.size());
}

pool_planner::pool_balances pool_planner::ComputeBalances(
    const planner_context& context,
    const capacity_plan& capacity) const {
  pool_balances pools;
  for (const auto& [name, item] : capacity) {
    pool_balance& balance =
        pools.try_emplace(name, item, domains_, !has_zone_outage_)
            .first->second;
    const pool_view* pool = context.view.FindPool(name);
    for (const vm_view* vm : pool->vms) {
      if (IsMember(context, *vm) && !IsStarting(*vm)) {
        balance.Add(context.DomainOf(*vm, by_rack_));
      }
    }
  }
  return pools;
}

void pool_planner::CountTeams(const planner_context& context) {
  team_vms_.clear();
  for (const auto& [name, pool] : context.view.pools()) {
    team_vms_[pool.spec->team] += static_cast<std::uint32_t>(pool.vms.size());
  }
}

bool pool_planner::QuotaAllowsMove(const planner_context& context,
                                   const pool_id& pool,
                                   const pool_id& from) const {
  const pool_spec* spec = SpecOf(context, pool);
  if (spec == nullptr || spec->team.empty()) {
    return true;
  }
  const pool_spec* from_spec = SpecOf(context, from);
  if (from_spec != nullptr && from_spec->team == spec->team) {
    return true;
  }
  const std::uint32_t quota = QuotaOf(context, spec->team);
  const auto held = team_vms_.find(spec->team);
  return quota == 0 || held == team_vms_.end() || held->second < quota;
}

void pool_planner::AssignNewVms(const planner_context& context,
                                pool_balances& pools) {
  for (const auto& [id, vm] : context.view.vms()) {
    if (vm.state != nullptr || !vm.listed_live() ||
        context.gate.IsPending(ObjectOf(id), 0, context.now)) {
      continue;
    }
    pool_id chosen = vm.listing->pool;
    std::string reason = "the platform lists it in this pool";
    if (!pools.contains(chosen)) {
      const std::optional<pool_id> most_urgent =
          MostUrgentPool(context, pools, pool_id(), {});
      chosen = most_urgent ? *most_urgent : PoolForSpareVm(pools);
      reason = most_urgent ? "this pool has the most urgent shortage"
                           : "no pool has a shortage";
    }
    pools.at(chosen).Add(context.DomainOf(vm, by_rack_));
    context.gate.Append(ObjectOf(id), 0,
                        assign_vm{context.inputs.epoch, id, 0, chosen, reason},
                        context.now, context.out);
  }
}

void pool_planner::ForgetMissingVms(const planner_context& context) {
  for (const auto& [id, vm] : context.view.vms()) {
    if (vm.state == nullptr || vm.listing != nullptr || vm.seen == nullptr ||
        !vm.seen->missing || vm.is_pending) {
      continue;
    }
    const bool may_come_back = vm.state->phase == vm_phase::kRebooting;
    const duration bound = may_come_back ? context.options.return_timeout
                                         : context.options.forget_after;
    if (context.now - vm.seen->missing_since >= bound) {
      context.gate.Append(
          ObjectOf(id), vm.state->version,
          forget_vm{context.inputs.epoch, id, vm.state->version}, context.now,
          context.out);
    }
  }
}

void pool_planner::SyncPlatformPools(const planner_context& context) {
  for (const auto& [id, vm] : context.view.vms()) {
    if (!vm.serving() || vm.is_pending || !vm.listed_live() ||
        vm.listing->pool == vm.state->pool) {
      continue;
    }
    // A readmission reports the VM's pool to the platform itself; the list
    // shows it with a delay.
    const operation_id& own = vm.state->operation;
    const std::optional<time_point> done = context.operations.DoneAt(own);
    const bool is_under_way = !own.empty() && !context.operations.HasEnded(own);
    if (is_under_way ||
        (done && context.inputs.listed_at < *done + context.options.list_lag)) {
      continue;
    }
    context.operations.EnsureSent(
        MakeOperationId("move", id.value(), vm.state->version),
        move_vm{id, vm.state->pool}, context.now, context.out);
  }
}

void pool_planner::UpdateTrends(const planner_context& context,
                                const pool_balances& pools) {
  std::erase_if(trends_,
                [&](const auto& item) { return !pools.contains(item.first); });
  const auto update_since = [&](std::optional<time_point>& since, bool holds) {
    if (!holds) {
      since.reset();
    } else if (!since) {
      since = context.now;
    }
  };
  for (const auto& [name, pool] : pools) {
    pool_trend& trend = trends_[name];
    trend.shortage = pool.Shortage();
    trend.surplus = pool.Surplus();
    trend.wanted = pool.size() + trend.shortage - trend.surplus;
    update_since(trend.shortage_since, trend.shortage > 0);
    update_since(trend.surplus_since, trend.surplus > 0);
    const std::chrono::duration<double> elapsed = context.now - trend.peak_at;
    const std::chrono::duration<double> half = context.options.peak_half_life;
    const double kept = trend.peak * std::exp2(-(elapsed / half));
    if (trend.wanted >= kept) {
      trend.peak = trend.wanted;
      trend.peak_at = context.now;
    }
  }
}

pool_id pool_planner::PoolForSpareVm(const pool_balances& pools) const {
  const auto key = [&](const auto& item) {
    const double size = item.second.size();
    return std::make_tuple(size - trends_.at(item.first).peak, size);
  };
  return std::min_element(pools.begin(), pools.end(),
                          [&](const auto& left, const auto& right) {
                            return key(left) < key(right);
                          })
      ->first;
}

void pool_planner::UpdateFigures(const planner_context& context,
                                 const pool_balances& pools,
                                 const capacity_plan& capacity) {
  const std::uint64_t moves = figures_.moves;
  figures_ = pool_figures();
  figures_.moves = moves;
  for (const auto& [name, pool] : pools) {
    const pool_capacity& item = capacity.at(name);
    const std::uint32_t min_after_loss =
        has_zone_outage_ ? 0 : item.min_after_loss;
    figures_.need += item.need;
    const pool_trend& trend = trends_.at(name);
    figures_.buffer += trend.wanted - item.need;
    figures_.min_buffer +=
        MinEvenSpread(item.need, min_after_loss, domains_) - item.need;
    figures_.surplus += trend.surplus;
    figures_.shortage += trend.shortage;
    if (trend.shortage == 0) {
      context.reasons.erase(ObjectOf(name));
    }
  }
}

}  // namespace plantainhead::core
