#include "plantainhead/core/fleet_view.h"

namespace plantainhead::core {

fleet_view::fleet_view(const planner_inputs& inputs) {
  JoinVms(inputs);
  FillPools(inputs);
}

void fleet_view::JoinVms(const planner_inputs& inputs) {
  for (const auto& [id, state] : inputs.state.vms) {
    vm_view& vm = vms_.try_emplace(vms_.end(), id)->second;
    vm.id = id;
    vm.state = &state;
  }
  for (const vm_listing& listing : inputs.vms) {
    vm_view& vm = vms_[listing.vm];
    vm.id = listing.vm;
    vm.listing = &listing;
  }
  for (const auto& [id, requests] : inputs.in_flight) {
    const auto found = vms_.find(id);
    if (found != vms_.end()) {
      found->second.in_flight = requests;
    }
  }
  for (const vm_id& id : inputs.unhealthy) {
    const auto found = vms_.find(id);
    if (found != vms_.end()) {
      found->second.healthy = false;
    }
  }
  for (const task_listing& task : inputs.tasks) {
    const auto found = vms_.find(task.vm);
    if (found != vms_.end() && task.state == task_state::kRunning) {
      ++found->second.tasks;
    }
  }
}

void fleet_view::FillPools(const planner_inputs& inputs) {
  for (const pool_spec& spec : inputs.state.targets.pools) {
    pools_[spec.name].spec = &spec;
  }
  for (const auto& [id, vm] : vms_) {
    if (vm.state == nullptr) {
      continue;
    }
    const auto found = pools_.find(vm.state->pool);
    if (found == pools_.end()) {
      continue;
    }
    found->second.vms.push_back(&vm);
    found->second.available += vm.available() ? 1 : 0;
  }
}

const vm_view* fleet_view::FindVm(const vm_id& id) const {
  const auto found = vms_.find(id);
  return found == vms_.end() ? nullptr : &found->second;
}

const pool_view* fleet_view::FindPool(const pool_id& id) const {
  const auto found = pools_.find(id);
  return found == pools_.end() ? nullptr : &found->second;
}

}  // namespace plantainhead::core
