#ifndef PLANTAINHEAD_CORE_FLEET_VM_LIFECYCLE_H_
#define PLANTAINHEAD_CORE_FLEET_VM_LIFECYCLE_H_

#include <string>

#include "plantainhead/core/fleet/phase_tracker.h"
#include "plantainhead/core/fleet/planner_context.h"

namespace plantainhead::core {

/// Prefix of the pause reason of a wave that the planner paused automatically.
/// A wave that an operator paused is resumed only by an operator.
inline constexpr const char* kAutoPausePrefix = "auto: ";

/// Returns true if the wave was paused by the planner and not by an operator.
/// Thread safety: safe from any thread as long as no thread modifies the wave.
bool IsAutoPause(const fleet_wave& wave);

/// Returns the id of the operation of one kind ("reboot") that a record with
/// this expected generation permits. Two planners build the same id. Thread
/// safety: safe from any thread.
operation_id MakeOperationId(const std::string& kind,
                             const std::string& object,
                             generation expected);

/// Moves VMs through the phases of maintenance (drain, reboot, return to
/// service) or of a pool change (drain, readmission to another pool). Each step
/// is a record; an operation is sent only after the record that names it was
/// read back. Thread safety: none.
class vm_lifecycle {
 public:
  /// The arguments must outlive this object.
  vm_lifecycle(const planner_context& context, const phase_tracker& tracker);

  /// Returns true if a drain of the VM may start: it is serving, is listed as
  /// live, and no earlier operation on it is in progress.
  bool CanDrain(const vm_view& vm) const;

  /// Starts a drain; `wave` is empty for a pool change. Precondition:
  /// `CanDrain(vm)`.
  void StartDrain(const vm_view& vm,
                  const wave_id& wave,
                  const std::string& reason) const;

  /// Takes the next step of every VM that is not serving, and completes the
  /// operations of VMs that are serving again. Drained VMs without a wave are
  /// handled by `pool_planner`.
  void Advance() const;

  /// Returns a draining or drained VM to service in its pool.
  void Readmit(const vm_view& vm, const std::string& reason) const;

  /// Returns a drained VM to service in another pool.
  void ReadmitTo(const vm_view& vm,
                 const pool_id& pool,
                 const std::string& reason) const;

 private:
  void AdvanceServing(const vm_view& vm) const;
  void AdvanceDraining(const vm_view& vm) const;
  void AdvanceDrained(const vm_view& vm) const;
  void AdvanceRebooting(const vm_view& vm) const;
  void AdvanceReturning(const vm_view& vm) const;
  void AbortDrain(const vm_view& vm, const std::string& reason) const;
  /// Returns why a drain for a wave must be aborted, or an empty string.
  std::string AbortReason(const vm_view& vm) const;
  /// Returns true if the VM's wave was cancelled, is finished or no longer
  /// exists.
  bool IsWaveOver(const vm_view& vm) const;
  bool IsDrained(const vm_view& vm) const;
  bool HasBeenInPhaseFor(const vm_view& vm, duration bound) const;
  void SetPhase(const vm_view& vm,
                vm_phase phase,
                const std::string& operation_kind,
                const wave_id& wave,
                const std::string& reason) const;

  const planner_context& context_;
  const phase_tracker& phase_tracker_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_VM_LIFECYCLE_H_
