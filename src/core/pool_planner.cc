#include "plantainhead/core/pool_planner.h"

namespace plantainhead::core {
namespace {

std::string ObjectOf(const vm_id& vm) {
  return "vm:" + vm.value();
}

}  // namespace

void pool_planner::Plan(const planner_context& context,
                        const vm_lifecycle& lifecycle,
                        const capacity_plan& capacity,
                        const phase_watch& watch) {
  if (context.now - context.inputs.listed_at > context.options.list_patience) {
    return;
  }
  AssignNew(context, capacity);
  ForgetGone(context, watch);
  TellPlatform(context);
  for (const auto& [id, vm] : context.view.vms()) {
    if (vm.state != nullptr && vm.state->phase == vm_phase::kDrained &&
        vm.state->wave.empty()) {
      lifecycle.Readmit(vm, "it stays in its pool");
    }
  }
}

void pool_planner::AssignNew(const planner_context& context,
                             const capacity_plan& capacity) {
  std::map<pool_id, std::uint32_t> sizes;
  for (const auto& [name, pool] : context.view.pools()) {
    sizes[name] = static_cast<std::uint32_t>(pool.vms.size());
  }
  if (sizes.empty()) {
    return;
  }
  for (const auto& [id, vm] : context.view.vms()) {
    if (vm.state != nullptr || !vm.listed_live()) {
      continue;
    }
    pool_id chosen = vm.listing->pool;
    std::string reason = "the platform lists it in this pool";
    if (!sizes.contains(chosen)) {
      double least = 0;
      chosen = pool_id();
      for (const auto& [name, size] : sizes) {
        const double need = std::max(1U, capacity.at(name).need);
        const double fill = size / need;
        if (chosen.empty() || fill < least) {
          chosen = name;
          least = fill;
        }
      }
      reason = "this pool lacks most";
    }
    ++sizes[chosen];
    context.gate.Append(ObjectOf(id), 0,
                        assign_vm{context.inputs.epoch, id, 0, chosen, reason},
                        context.now, context.out);
  }
}

void pool_planner::ForgetGone(const planner_context& context,
                              const phase_watch& watch) {
  for (const auto& [id, vm] : context.view.vms()) {
    if (vm.state == nullptr || vm.listing != nullptr) {
      continue;
    }
    const phase_watch::sight* seen = watch.Find(id);
    if (seen == nullptr || !seen->missing) {
      continue;
    }
    const bool may_come_back = vm.state->phase == vm_phase::kRebooting;
    const duration bound = may_come_back ? context.options.return_bound
                                         : context.options.forget_after;
    if (context.now - seen->missing_since >= bound) {
      context.gate.Append(
          ObjectOf(id), vm.state->version,
          forget_vm{context.inputs.epoch, id, vm.state->version}, context.now,
          context.out);
    }
  }
}

void pool_planner::TellPlatform(const planner_context& context) {
  for (const auto& [id, vm] : context.view.vms()) {
    if (vm.state == nullptr || !vm.listed_live() ||
        vm.listing->pool == vm.state->pool ||
        vm.state->phase != vm_phase::kServing) {
      continue;
    }
    context.operations.Drive(
        OperationFor("move", id.value(), vm.state->version),
        move_vm{id, vm.state->pool}, context.now, context.out);
  }
}

}  // namespace plantainhead::core
