#include <algorithm>
#include <string>

#include "core/log/fold_rules.h"

namespace plantainhead::core {

bool IsAllowed(vm_phase from, vm_phase to) {
  switch (from) {
    case vm_phase::kServing:
      return to == vm_phase::kDraining;
    case vm_phase::kDraining:
      return to == vm_phase::kDrained || to == vm_phase::kServing;
    case vm_phase::kDrained:
      return to == vm_phase::kRebooting || to == vm_phase::kServing;
    case vm_phase::kRebooting:
      return to == vm_phase::kReturning;
    case vm_phase::kReturning:
      return to == vm_phase::kServing || to == vm_phase::kRebooting;
  }
  return false;
}

namespace fold_rules {
namespace {

std::string Describe(const vm_id& vm, const fleet_vm& state) {
  std::string text = "VM '" + vm.value() + "' is in pool '" +
                     state.pool.value() + "', " +
                     std::string(NameOf(state.phase));
  if (state.quarantined) {
    text += ", quarantined";
  }
  return text;
}

fold_result UnknownVm(const vm_id& vm) {
  return Conflict("VM '" + vm.value() + "' is unknown");
}

fold_result WrongVersion(const vm_id& vm,
                         const fleet_vm& state,
                         generation expected) {
  return WrongGeneration("VM '" + vm.value() + "'", state.version, expected,
                         Describe(vm, state), state.author);
}

bool HasPool(const fleet_state& state, const pool_id& pool) {
  const auto& pools = state.targets.pools;
  return std::any_of(pools.begin(), pools.end(),
                     [&](const pool_spec& spec) { return spec.name == pool; });
}

fold_result AddVm(fleet_state& state,
                  const assign_vm& body,
                  const std::string& author) {
  if (body.expected != 0) {
    return UnknownVm(body.vm);
  }
  fleet_vm added;
  added.pool = body.pool;
  added.version = state.offset;
  added.reason = body.reason;
  added.author = author;
  state.vms.emplace(body.vm, std::move(added));
  return Applied();
}

bool IsRunning(const fleet_state& state, const wave_id& wave) {
  const auto it = state.waves.find(wave);
  return it != state.waves.end() && it->second.state == wave_state::kRunning;
}

void MarkVisited(fleet_state& state, const wave_id& wave, const vm_id& vm) {
  const auto it = state.waves.find(wave);
  if (it != state.waves.end()) {
    it->second.visited.insert(vm);
  }
}

void ChangePhase(fleet_state& state,
                 fleet_vm& vm,
                 const set_vm_phase& body,
                 const std::string& author) {
  const wave_id wave = body.wave.empty() ? vm.wave : body.wave;
  const bool returned = vm.phase == vm_phase::kReturning;
  const bool serves = body.phase == vm_phase::kServing;
  if (returned && serves) {
    MarkVisited(state, wave, body.vm);
  }
  vm.phase = body.phase;
  vm.operation = body.operation;
  vm.wave = serves ? wave_id() : wave;
  vm.reason = body.reason;
  vm.author = author;
  ++vm.version;
}

}  // namespace

fold_result ApplyRecord(fleet_state& state,
                        const assign_vm& body,
                        const std::string& author) {
  if (body.vm.empty()) {
    return Ignored("the record names no VM");
  }
  if (!IsPlanner(state, body.epoch)) {
    return StalePlanner(state, body.epoch);
  }
  if (!HasPool(state, body.pool)) {
    return Conflict("pool '" + body.pool.value() +
                    "' is not in the configuration of " + state.targets_author);
  }
  const auto it = state.vms.find(body.vm);
  if (it == state.vms.end()) {
    return AddVm(state, body, author);
  }
  fleet_vm& vm = it->second;
  if (body.expected != vm.version) {
    return WrongVersion(body.vm, vm, body.expected);
  }
  if (vm.phase != vm_phase::kServing) {
    return Conflict(Describe(body.vm, vm) + " and cannot be moved");
  }
  if (vm.pool == body.pool) {
    return Ignored(Describe(body.vm, vm) + " already");
  }
  vm.pool = body.pool;
  vm.reason = body.reason;
  vm.author = author;
  ++vm.version;
  return Applied();
}

fold_result ApplyRecord(fleet_state& state,
                        const set_vm_phase& body,
                        const std::string& author) {
  if (!IsPlanner(state, body.epoch)) {
    return StalePlanner(state, body.epoch);
  }
  const auto it = state.vms.find(body.vm);
  if (it == state.vms.end()) {
    return UnknownVm(body.vm);
  }
  fleet_vm& vm = it->second;
  if (body.expected != vm.version) {
    return WrongVersion(body.vm, vm, body.expected);
  }
  if (!IsAllowed(vm.phase, body.phase)) {
    return Conflict(Describe(body.vm, vm) + " and cannot become " +
                    std::string(NameOf(body.phase)));
  }
  // An operator may pause a wave while the planner's next drain record is being
  // appended. Rejecting that record makes the pause effective from its own
  // offset on.
  if (body.phase == vm_phase::kDraining && !body.wave.empty() &&
      !IsRunning(state, body.wave)) {
    return Conflict("wave '" + body.wave.value() + "' is not running");
  }
  ChangePhase(state, vm, body, author);
  return Applied();
}

fold_result ApplyRecord(fleet_state& state,
                        const forget_vm& body,
                        const std::string& /*author*/) {
  if (!IsPlanner(state, body.epoch)) {
    return StalePlanner(state, body.epoch);
  }
  const auto it = state.vms.find(body.vm);
  if (it == state.vms.end()) {
    return UnknownVm(body.vm);
  }
  if (body.expected != it->second.version) {
    return WrongVersion(body.vm, it->second, body.expected);
  }
  state.vms.erase(it);
  return Applied();
}

fold_result ApplyRecord(fleet_state& state,
                        const set_quarantine& body,
                        const std::string& author) {
  if (body.epoch != 0 && !IsPlanner(state, body.epoch)) {
    return StalePlanner(state, body.epoch);
  }
  const auto it = state.vms.find(body.vm);
  if (it == state.vms.end()) {
    return UnknownVm(body.vm);
  }
  fleet_vm& vm = it->second;
  if (body.expected != vm.version) {
    return WrongVersion(body.vm, vm, body.expected);
  }
  vm.quarantined = body.quarantined;
  vm.reason = body.reason;
  vm.author = author;
  ++vm.version;
  return Applied();
}

}  // namespace fold_rules
}  // namespace plantainhead::core
