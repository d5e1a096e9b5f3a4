#include "plantainhead/core/log/fleet_view.h"

namespace plantainhead::core {

fleet_view::fleet_view(const planner_inputs& inputs,
                       const phase_tracker& watch,
                       const record_gate& gate,
                       time_point now) {
  JoinVms(inputs);
  JoinReports(inputs);
  JoinObservations(watch, gate, now);
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
    vm.zone = listing.zone;
    vm.rack = listing.rack;
  }
}

void fleet_view::JoinReports(const planner_inputs& inputs) {
  for (const auto& [id, requests] : inputs.in_flight) {
    if (vm_view* vm = FindMutable(id)) {
      vm->in_flight = requests;
    }
  }
  for (const vm_id& id : inputs.unhealthy) {
    if (vm_view* vm = FindMutable(id)) {
      vm->healthy = false;
    }
  }
  for (const auto& [id, job] : inputs.state.jobs) {
    if (vm_view* vm = HoldsTask(job) ? FindMutable(job.vm) : nullptr) {
      ++vm->jobs;
    }
    if (job.state == job_status::kWaiting) {
      waiting_.push_back(&job);
    }
    work_version_ += job.version;
  }
}

void fleet_view::JoinObservations(const phase_tracker& watch,
                                  const record_gate& gate,
                                  time_point now) {
  for (auto& [id, vm] : vms_) {
    vm.seen = watch.Find(id);
    if (vm.seen != nullptr && vm.listing == nullptr) {
      vm.zone = vm.seen->zone;
      vm.rack = vm.seen->rack;
    }
    if (vm.state != nullptr) {
      work_version_ += vm.state->version;
    }
    if (!gate.empty() && vm.state != nullptr) {
      vm.is_pending = gate.IsPending(ObjectOf(id), vm.state->version, now);
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
    found->second.with_jobs += vm.jobs > 0 ? 1 : 0;
  }
  for (const fleet_job* job : waiting_) {
    const auto found = pools_.find(job->spec.pool);
    if (found != pools_.end()) {
      ++found->second.waiting_jobs;
    }
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

vm_view* fleet_view::FindMutable(const vm_id& id) {
  const auto found = vms_.find(id);
  return found == vms_.end() ? nullptr : &found->second;
}

}  // namespace plantainhead::core
