#include "plantainhead/core/vm_lifecycle.h"

namespace plantainhead::core {
namespace {

constexpr const char* kDrain = "drain";
constexpr const char* kReboot = "reboot";
constexpr const char* kReadmit = "readmit";

std::string ObjectOf(const vm_id& vm) {
  return "vm:" + vm.value();
}

}  // namespace

bool IsOwnPause(const wave_progress& wave) {
  return wave.state == wave_state::kPaused &&
         wave.reason.starts_with(kOwnPause);
}

operation_id OperationFor(const std::string& kind,
                          const std::string& object,
                          generation expected) {
  return operation_id(kind + ":" + object + ":" + std::to_string(expected));
}

vm_lifecycle::vm_lifecycle(const planner_context& context,
                           const phase_watch& watch)
    : context_(context), watch_(watch) {}

bool vm_lifecycle::StartDrain(const vm_view& vm,
                              const wave_id& wave,
                              const std::string& reason) const {
  if (context_.gate.IsPending(ObjectOf(vm.id), vm.state->version,
                              context_.now)) {
    return false;
  }
  SetPhase(vm, vm_phase::kDraining, kDrain, wave, reason);
  return true;
}

void vm_lifecycle::Advance() const {
  for (const auto& [id, vm] : context_.view.vms()) {
    if (vm.state == nullptr) {
      continue;
    }
    switch (vm.state->phase) {
      case vm_phase::kServing:
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
  SetPhase(vm, vm_phase::kReturning, kReadmit, wave_id(), reason);
}

void vm_lifecycle::AdvanceDraining(const vm_view& vm) const {
  const std::string why = WhyAborted(vm);
  if (!why.empty()) {
    Readmit(vm, why);
    return;
  }
  const std::optional<operation_result> end = context_.operations.Drive(
      vm.state->operation, drain_vm{vm.id}, context_.now, context_.out);
  if (end == operation_result::kRefused) {
    const std::string reason =
        "the platform refused to drain it: " +
        context_.operations.DetailOf(vm.state->operation);
    context_.Report(note_level::kWarning, ObjectOf(vm.id), reason);
    Readmit(vm, reason);
    return;
  }
  if (end == operation_result::kDone && IsDrained(vm)) {
    SetPhase(vm, vm_phase::kDrained, "", vm.state->wave,
             "no requests in flight at any entry or at the endpoint");
    return;
  }
  const phase_watch::sight* seen = watch_.Find(vm.id);
  if (seen != nullptr &&
      context_.now - seen->since >= context_.options.drain_bound) {
    const std::string reason = "it did not drain in time; it serves again";
    context_.Report(note_level::kWarning, ObjectOf(vm.id), reason);
    Readmit(vm, reason);
  }
}

void vm_lifecycle::AdvanceDrained(const vm_view& vm) const {
  if (vm.state->wave.empty()) {
    return;
  }
  const std::string why = WhyAborted(vm);
  if (!why.empty()) {
    Readmit(vm, why);
    return;
  }
  SetPhase(vm, vm_phase::kRebooting, kReboot, vm.state->wave,
           "drained; reboot for wave " + vm.state->wave.value());
}

void vm_lifecycle::AdvanceRebooting(const vm_view& vm) const {
  const operation_id& id = vm.state->operation;
  const std::optional<operation_result> end = context_.operations.Drive(
      id, reboot_vm{vm.id}, context_.now, context_.out);
  if (end == operation_result::kRefused) {
    const std::string reason = "the platform refused to reboot it: " +
                               context_.operations.DetailOf(id);
    context_.Report(note_level::kWarning, ObjectOf(vm.id), reason);
    Readmit(vm, reason);
    return;
  }
  const std::optional<time_point> done = context_.operations.DoneAt(id);
  // The list lags: a list from just after the reboot may still show the VM as
  // it was before. One that was read later by the lag shows what came of it.
  if (done && ListIsFresh(*done + context_.options.list_lag) &&
      vm.listed_live()) {
    SetPhase(vm, vm_phase::kReturning, "", vm.state->wave,
             "rebooted and listed as live");
    return;
  }
  const phase_watch::sight* seen = watch_.Find(vm.id);
  if (seen != nullptr &&
      context_.now - seen->since >= context_.options.return_bound) {
    context_.Report(note_level::kError, ObjectOf(vm.id),
                    "it did not come back after its reboot in time");
  }
}

void vm_lifecycle::AdvanceReturning(const vm_view& vm) const {
  if (!vm.state->operation.empty()) {
    const std::optional<operation_result> end = context_.operations.Drive(
        vm.state->operation, move_vm{vm.id, vm.state->pool}, context_.now,
        context_.out);
    if (!end) {
      return;
    }
  }
  if (vm.listed_live() && vm.healthy) {
    SetPhase(vm, vm_phase::kServing, "", vm.state->wave, vm.state->reason);
    return;
  }
  const phase_watch::sight* seen = watch_.Find(vm.id);
  if (seen != nullptr &&
      context_.now - seen->since >= context_.options.return_bound) {
    context_.Report(note_level::kError, ObjectOf(vm.id),
                    "it is not healthy after its return");
  }
}

std::string vm_lifecycle::WhyAborted(const vm_view& vm) const {
  if (vm.state->wave.empty()) {
    return "";
  }
  const auto found = context_.inputs.state.waves.find(vm.state->wave);
  if (found == context_.inputs.state.waves.end()) {
    return "its wave is not known";
  }
  const wave_progress& wave = found->second;
  if (wave.state == wave_state::kCancelled ||
      wave.state == wave_state::kFinished) {
    return "wave " + vm.state->wave.value() + " has ended";
  }
  if (IsOwnPause(wave)) {
    return "wave " + vm.state->wave.value() + " is paused, " + wave.reason;
  }
  return "";
}

bool vm_lifecycle::IsDrained(const vm_view& vm) const {
  const phase_watch::sight* seen = watch_.Find(vm.id);
  if (seen == nullptr || seen->phase != vm_phase::kDraining) {
    return false;
  }
  if (context_.now - seen->since < context_.options.drain_notice) {
    return false;
  }
  // A member that has not yet applied the drain may still send to the VM; the
  // caller would see its request cut by the reboot. Only heartbeats that were
  // sent after the drain was applied prove the zero.
  if (context_.inputs.reported_offset < seen->offset || vm.in_flight > 0) {
    return false;
  }
  return !HasTasks(vm) && watch_.LostMembersAreOver(
                              context_.now, context_.options.greatest_deadline);
}

bool vm_lifecycle::HasTasks(const vm_view& vm) const {
  for (const auto& [id, job] : context_.inputs.state.jobs) {
    const bool holds = job.state == job_state::kPlaced ||
                       job.state == job_state::kCheckpointing;
    if (holds && job.vm == vm.id) {
      return true;
    }
  }
  return false;
}

bool vm_lifecycle::ListIsFresh(time_point after) const {
  return context_.inputs.listed_at >= after;
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
        OperationFor(operation_kind, vm.id.value(), vm.state->version);
  }
  record.wave = wave;
  record.reason = reason;
  context_.gate.Append(ObjectOf(vm.id), vm.state->version, std::move(record),
                       context_.now, context_.out);
}

}  // namespace plantainhead::core
