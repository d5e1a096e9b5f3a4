#include "plantainhead/core/fleet/vm_lifecycle.h"

namespace plantainhead::core {
namespace {

constexpr const char* kDrain = "drain";
constexpr const char* kReboot = "reboot";
/// Returns a drained VM to service, in the pool of its record.
constexpr const char* kReadmit = "readmit";

constexpr const char* kNotRebooted = "not rebooted; its wave has ended";

}  // namespace

bool IsAutoPause(const fleet_wave& wave) {
  return wave.state == wave_state::kPaused &&
         wave.reason.starts_with(kAutoPausePrefix);
}

operation_id MakeOperationId(const std::string& kind,
                             const std::string& object,
                             generation expected) {
  return operation_id(kind + ":" + object + ":" + std::to_string(expected));
}

vm_lifecycle::vm_lifecycle(const planner_context& context,
                           const phase_tracker& tracker)
    : context_(context), phase_tracker_(tracker) {}

bool vm_lifecycle::CanDrain(const vm_view& vm) const {
  if (!vm.serving() || vm.is_pending || !vm.listed_live()) {
    return false;
  }
  // A readmission that is still in progress could reach the VM after the drain
  // and make it accept work although it is about to be rebooted.
  return vm.state->operation.empty() ||
         context_.operations.HasEnded(vm.state->operation);
}

void vm_lifecycle::StartDrain(const vm_view& vm,
                              const wave_id& wave,
                              const std::string& reason) const {
  SetPhase(vm, vm_phase::kDraining, kDrain, wave, reason);
}

void vm_lifecycle::Advance() const {
  for (const auto& [id, vm] : context_.view.vms()) {
    if (vm.state == nullptr || vm.is_pending) {
      continue;
    }
    switch (vm.state->phase) {
      case vm_phase::kServing:
        AdvanceServing(vm);
        break;
      case vm_phase::kDraining:
        AdvanceDraining(vm);
        break;
      case vm_phase::kDrained:
        AdvanceDrained(vm);
        break;
      case vm_phase::kRebooting:
        AdvanceRebooting(vm);
        break;
      case vm_phase::kReturning:
        AdvanceReturning(vm);
        break;
    }
  }
}

void vm_lifecycle::Readmit(const vm_view& vm, const std::string& reason) const {
  SetPhase(vm, vm_phase::kServing, kReadmit, wave_id(), reason);
}

void vm_lifecycle::ReadmitTo(const vm_view& vm,
                             const pool_id& pool,
                             const std::string& reason) const {
  if (vm.is_pending) {
    return;
  }
  // Both records are appended together. Between them the fold shows the VM as
  // serving in its old pool, but its runner still refuses work until it
  // receives the operation, which is sent only after the second record.
  const generation after = vm.state->version + 1;
  SetPhase(vm, vm_phase::kServing, kReadmit, wave_id(), reason);
  context_.gate.Append(
      ObjectOf(vm.id), after,
      assign_vm{context_.inputs.epoch, vm.id, after, pool, reason},
      context_.now, context_.out);
}

void vm_lifecycle::AdvanceServing(const vm_view& vm) const {
  if (!vm.state->operation.empty()) {
    context_.operations.EnsureSent(vm.state->operation,
                                   move_vm{vm.id, vm.state->pool}, context_.now,
                                   context_.out);
  }
}

void vm_lifecycle::AdvanceDraining(const vm_view& vm) const {
  const std::string abort_reason = AbortReason(vm);
  if (!abort_reason.empty()) {
    Readmit(vm, abort_reason);
    return;
  }
  const std::optional<operation_result> end = context_.operations.EnsureSent(
      vm.state->operation, drain_vm{vm.id}, context_.now, context_.out);
  if (end == operation_result::kRefused) {
    AbortDrain(vm, "the platform refused to drain the VM: " +
                       context_.operations.DetailOf(vm.state->operation));
    return;
  }
  if (end == operation_result::kDone && IsDrained(vm)) {
    SetPhase(vm, vm_phase::kDrained, "", vm.state->wave,
             "no requests in flight at any entry or at the endpoint");
    return;
  }
  if (HasBeenInPhaseFor(vm, context_.options.drain_timeout)) {
    AbortDrain(vm, "it did not drain in time and serves again");
  }
}

void vm_lifecycle::AbortDrain(const vm_view& vm,
                              const std::string& reason) const {
  context_.Report(log_severity::kWarning, ObjectOf(vm.id), reason);
  context_.deferred[vm.id] = context_.now;
  Readmit(vm, reason);
}

void vm_lifecycle::AdvanceDrained(const vm_view& vm) const {
  if (vm.state->wave.empty()) {
    return;
  }
  const std::string abort_reason = AbortReason(vm);
  if (!abort_reason.empty()) {
    Readmit(vm, abort_reason);
    return;
  }
  SetPhase(vm, vm_phase::kRebooting, kReboot, vm.state->wave,
           "drained; reboot for wave " + vm.state->wave.value());
}

void vm_lifecycle::AdvanceRebooting(const vm_view& vm) const {
  const operation_id& id = vm.state->operation;
  const std::optional<operation_result> end = context_.operations.EnsureSent(
      id, reboot_vm{vm.id}, context_.now, context_.out);
  if (end == operation_result::kRefused) {
    context_.Report(log_severity::kError, ObjectOf(vm.id),
                    "the platform refused to reboot the VM: " +
                        context_.operations.DetailOf(id));
    if (IsWaveOver(vm)) {
      SetPhase(vm, vm_phase::kReturning, "", vm.state->wave, kNotRebooted);
    }
    return;
  }
  const std::optional<time_point> done = context_.operations.DoneAt(id);
  // The list is delayed: one that was read just after the reboot may still show
  // the state before it. A list that was read at least `list_lag` later shows
  // the result of the reboot.
  if (done && vm.listed_live() &&
      context_.inputs.listed_at >= *done + context_.options.list_lag) {
    SetPhase(vm, vm_phase::kReturning, "", vm.state->wave,
             "rebooted and listed as live");
    return;
  }
  if (HasBeenInPhaseFor(vm, context_.options.return_timeout)) {
    context_.Report(log_severity::kError, ObjectOf(vm.id),
                    "the VM did not return in time after its reboot");
  }
}

void vm_lifecycle::AdvanceReturning(const vm_view& vm) const {
  if (vm.listed_live() && vm.healthy) {
    // A VM that was not rebooted still refuses work because of its drain.
    const bool was_rebooted = vm.state->reason != kNotRebooted;
    SetPhase(vm, vm_phase::kServing, was_rebooted ? "" : kReadmit,
             vm.state->wave,
             was_rebooted ? "rebooted and healthy" : kNotRebooted);
    context_.reasons.erase(ObjectOf(vm.id));
    return;
  }
  if (HasBeenInPhaseFor(vm, context_.options.return_timeout)) {
    context_.Report(log_severity::kError, ObjectOf(vm.id),
                    "the VM is not healthy after its reboot");
  }
}

std::string vm_lifecycle::AbortReason(const vm_view& vm) const {
  if (vm.state->wave.empty()) {
    return "";
  }
  const std::string name = "wave " + vm.state->wave.value();
  if (IsWaveOver(vm)) {
    return name + " has ended";
  }
  const fleet_wave& wave = context_.inputs.state.waves.at(vm.state->wave);
  if (IsAutoPause(wave)) {
    return name + " is paused, " + wave.reason;
  }
  if (context_.blocked_pools.contains(vm.state->pool)) {
    return "a failure left its pool without spare capacity";
  }
  return "";
}

bool vm_lifecycle::IsWaveOver(const vm_view& vm) const {
  const auto found = context_.inputs.state.waves.find(vm.state->wave);
  return found == context_.inputs.state.waves.end() ||
         found->second.state == wave_state::kCancelled ||
         found->second.state == wave_state::kFinished;
}

bool vm_lifecycle::IsDrained(const vm_view& vm) const {
  if (vm.seen == nullptr || vm.seen->operation != vm.state->operation) {
    return false;
  }
  if (!HasBeenInPhaseFor(vm, context_.options.drain_notice)) {
    return false;
  }
  // A member that has not yet applied the drain may still send requests to the
  // VM, which the reboot would abort. Only heartbeats that were sent after the
  // drain was applied prove that no request is in flight.
  if (context_.inputs.reported_offset < vm.seen->offset || vm.in_flight > 0) {
    return false;
  }
  return vm.jobs == 0 && phase_tracker_.LostMemberRequestsExpired(
                             context_.now, context_.options.max_deadline);
}

bool vm_lifecycle::HasBeenInPhaseFor(const vm_view& vm, duration bound) const {
  return vm.seen != nullptr && context_.now - vm.seen->since >= bound;
}

void vm_lifecycle::SetPhase(const vm_view& vm,
                            vm_phase phase,
                            const std::string& operation_kind,
                            const wave_id& wave,
                            const std::string& reason) const {
  set_vm_phase record;
  record.epoch = context_.inputs.epoch;
  record.vm = vm.id;
  record.expected = vm.state->version;
  record.phase = phase;
  if (!operation_kind.empty()) {
    record.operation =
        MakeOperationId(operation_kind, vm.id.value(), vm.state->version);
  }
  record.wave = wave;
  record.reason = reason;
  context_.gate.Append(ObjectOf(vm.id), vm.state->version, std::move(record),
                       context_.now, context_.out);
}

}  // namespace plantainhead::core
