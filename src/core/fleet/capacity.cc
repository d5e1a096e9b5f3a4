#include "plantainhead/core/fleet/capacity.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "plantainhead/core/fleet/queueing.h"

namespace plantainhead::core {
namespace {

/// Divisor of the pool size that gives the number of VMs that may be in
/// maintenance while the demand of the pool is unknown.
constexpr std::uint32_t kUnknownDemandDivisor = 10;
/// The same for a pool that runs only jobs.
constexpr std::uint32_t kJobPoolDivisor = 2;
/// Number of slots assumed for a VM if the platform's list does not state it.
constexpr double kDefaultSlots = 8.0;
/// Utilization up to which slots are filled with work that can wait.
constexpr double kDeferrableUtilization = 0.9;
/// Share of the remaining error budget that one outage of a pool may spend.
constexpr double kOutageBudgetShare = 0.25;

/// The strictest targets among the classes of one service.
struct service_targets {
  double late_share = 1.0;
  double max_wait_seconds = 0;
  double tolerance = 1.0;
  /// The tolerated unavailability that remains in the error budgets.
  double remaining_tolerance = 1.0;
  duration outage_allowance = duration::max();
  bool only_deferrable = true;
};

double SecondsOf(duration time) {
  return std::chrono::duration<double>(time).count();
}

void AddClass(service_targets& targets,
              const work_class& work,
              const class_burn& burn) {
  const double left = std::max(0.0, 1.0 - burn.spent);
  const double usable = burn.rate > 1.0 ? 0.0 : work.unavailability * left;
  const double seconds =
      left * work.unavailability * SecondsOf(work.window) * kOutageBudgetShare;
  targets.outage_allowance = std::min(
      targets.outage_allowance, std::chrono::duration_cast<duration>(
                                    std::chrono::duration<double>(seconds)));
  if (work.can_wait) {
    return;
  }
  const double within = SecondsOf(work.within);
  if (targets.only_deferrable || within < targets.max_wait_seconds) {
    targets.max_wait_seconds = within;
  }
  targets.only_deferrable = false;
  targets.late_share =
      std::min(targets.late_share, std::max(1e-6, 1.0 - work.served));
  targets.tolerance = std::min(targets.tolerance, work.unavailability);
  targets.remaining_tolerance = std::min(targets.remaining_tolerance, usable);
}

service_targets TargetsOf(const planner_inputs& inputs,
                          const service_name& service) {
  service_targets targets;
  for (const work_class& work : inputs.state.targets.classes) {
    if (work.service != service) {
      continue;
    }
    const auto burn = inputs.budgets.find(work.name);
    AddClass(targets, work,
             burn == inputs.budgets.end() ? class_burn() : burn->second);
  }
  return targets;
}

double SlotsForLoad(const service_targets& targets,
                    double load,
                    double service_seconds) {
  if (targets.only_deferrable || service_seconds <= 0) {
    return load / kDeferrableUtilization;
  }
  // The service itself takes one mean service time of the allowed time.
  const double max_wait = targets.max_wait_seconds / service_seconds - 1.0;
  return RequiredSlots(load, targets.late_share, max_wait);
}

double SlotsPerVm(const pool_view& pool) {
  double slots = 0;
  double count = 0;
  for (const vm_view* vm : pool.vms) {
    if (vm->listing != nullptr && vm->listing->slots > 0) {
      slots += vm->listing->slots;
      count += 1;
    }
  }
  return count > 0 ? slots / count : kDefaultSlots;
}

std::uint32_t VmsFor(double slots, double slots_per_vm) {
  return static_cast<std::uint32_t>(std::ceil(slots / slots_per_vm - 1e-9));
}

/// Required slots of one pool, summed over the services that it runs.
struct pool_slots {
  bool has_service = false;
  bool is_known = false;
  double need = 0;
  double min_after_loss = 0;
  double floor = 0;
  double tolerance = 1.0;
  duration outage_allowance = duration::max();
};

/// Returns the share of a service's load that each of its pools carries: in
/// proportion to the VMs of the pools, or evenly if they have none.
std::vector<double> SharesOf(const service_spec& service,
                             const fleet_view& view) {
  std::vector<double> shares;
  double sum = 0;
  for (const pool_id& name : service.pools) {
    const pool_view* pool = view.FindPool(name);
    shares.push_back(pool == nullptr ? 0.0
                                     : static_cast<double>(pool->vms.size()));
    sum += shares.back();
  }
  for (double& share : shares) {
    share = sum > 0 ? share / sum : 1.0 / static_cast<double>(shares.size());
  }
  return shares;
}

void AddService(pool_slots& slots,
                const service_targets& targets,
                double load,
                double service_seconds) {
  slots.is_known = true;
  slots.need += SlotsForLoad(targets, load, service_seconds);
  slots.floor += SlotsForLoad(
      targets, load * (1.0 - targets.remaining_tolerance), service_seconds);
  if (!targets.only_deferrable) {
    slots.min_after_loss += SlotsForLoad(
        targets, load * (1.0 - targets.tolerance), service_seconds);
  }
}

std::map<pool_id, pool_slots> SlotsOfPools(const planner_inputs& inputs,
                                           const fleet_view& view,
                                           const demand_estimator& demand) {
  std::map<pool_id, pool_slots> pools;
  for (const service_spec& service : inputs.state.targets.services) {
    const service_targets targets = TargetsOf(inputs, service.name);
    const std::vector<double> shares = SharesOf(service, view);
    const auto known = demand.estimates().find(service.name);
    for (std::size_t i = 0; i < service.pools.size(); ++i) {
      pool_slots& slots = pools[service.pools[i]];
      slots.has_service = true;
      slots.tolerance = std::min(slots.tolerance, targets.tolerance);
      slots.outage_allowance =
          std::min(slots.outage_allowance, targets.outage_allowance);
      if (known != demand.estimates().end()) {
        AddService(slots, targets, known->second.load * shares[i],
                   known->second.service_seconds);
      }
    }
  }
  return pools;
}

pool_capacity CapacityOf(const pool_view& pool, const pool_slots& slots) {
  const auto size = static_cast<std::uint32_t>(pool.vms.size());
  const std::uint32_t least = pool.spec->min_vms;
  pool_capacity item;
  item.is_known = slots.is_known;
  item.tolerance = slots.tolerance;
  item.outage_allowance = slots.outage_allowance;
  if (slots.is_known) {
    const double per_vm = SlotsPerVm(pool);
    item.need = std::max(least, VmsFor(slots.need, per_vm));
    item.min_after_loss = VmsFor(slots.min_after_loss, per_vm);
    // Load may return while VMs reboot. Without this limit a wave would take
    // all VMs of a pool that has no load at the moment.
    item.floor = std::max(VmsFor(slots.floor, per_vm), (size + 1) / 2);
  } else {
    // A pool without a service runs only jobs, which a drain moves to other
    // workers. While jobs wait, the pool is asked to grow by one VM at a time.
    const std::uint32_t divisor =
        slots.has_service ? kUnknownDemandDivisor : kJobPoolDivisor;
    const std::uint32_t away = std::max(1U, size / divisor);
    const std::uint32_t for_jobs =
        pool.with_jobs + (pool.waiting_jobs > 0 ? 1 : 0);
    item.need = std::max(least, slots.has_service ? size : for_jobs);
    item.floor = size > away ? size - away : 0;
  }
  // A pool at its minimum size still gets its maintenance, one VM at a time.
  const std::uint32_t all_but_one = size > 0 ? size - 1 : 0;
  item.floor = std::max(item.floor, std::min(least, all_but_one));
  return item;
}

}  // namespace

capacity_plan PlanCapacity(const planner_inputs& inputs,
                           const fleet_view& view,
                           const demand_estimator& demand,
                           const planner_options&) {
  const std::map<pool_id, pool_slots> slots =
      SlotsOfPools(inputs, view, demand);
  capacity_plan plan;
  for (const auto& [name, pool] : view.pools()) {
    const auto found = slots.find(name);
    plan[name] =
        CapacityOf(pool, found == slots.end() ? pool_slots() : found->second);
  }
  return plan;
}

std::uint32_t MinEvenSpread(std::uint32_t need,
                            std::uint32_t min_after_loss,
                            std::uint32_t domains) {
  if (domains < 2) {
    return need;
  }
  std::uint32_t size = std::max(need, min_after_loss);
  while (size - (size + domains - 1) / domains < min_after_loss) {
    ++size;
  }
  return size;
}

}  // namespace plantainhead::core
