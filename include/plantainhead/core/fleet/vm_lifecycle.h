#ifndef PLANTAINHEAD_CORE_FLEET_VM_LIFECYCLE_H_
#define PLANTAINHEAD_CORE_FLEET_VM_LIFECYCLE_H_

#include <string>

#include "plantainhead/core/fleet/phase_tracker.h"
#include "plantainhead/core/fleet/planner_context.h"

namespace plantainhead::core {

/// Start of the reason of a wave that the planner paused by itself; a wave that
/// an operator paused waits for an operator.
inline constexpr const char* kAutoPausePrefix = "auto: ";

/// Returns true when the planner, not an operator, paused the wave.
/// Thread safety: safe from any thread while nobody writes the wave.
bool IsAutoPause(const fleet_wave& wave);

/// Returns the id of the operation of one kind ("reboot") that a record with
/// this expected generation allows. Two planners build the same id.
/// Thread safety: safe from any thread.
operation_id MakeOperationId(const std::string& kind,
                             const std::string& object,
                             generation expected);

/// Leads VMs from serving through drain and reboot, or through drain and a
/// change of pool, back to serving. Each step is a record; an operation goes
/// out only after the record that names it was read back. Thread safety: none.
class vm_lifecycle {
 public:
  /// The arguments must outlive this object.
  vm_lifecycle(const planner_context& context, const phase_tracker& tracker);

  /// Returns true when a drain of the VM may start: it serves, is listed as
  /// live, and no earlier operation on it is under way.
  bool CanDrain(const vm_view& vm) const;

  /// Asks for a drain; `wave` is empty for a change of pool.
  /// Precondition: `CanDrain(vm)`.
  void StartDrain(const vm_view& vm,
                  const wave_id& wave,
                  const std::string& reason) const;

  /// Takes the next step of every VM that is not serving, and ends the
  /// operations of those that serve again. A drained VM without a wave is left
  /// to the planner of the pools.
  void Advance() const;

  /// Lets a draining or drained VM serve again, in its pool.
  void Readmit(const vm_view& vm, const std::string& reason) const;

  /// Lets a drained VM serve again, in another pool.
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
  /// Returns why a drain for a wave must not go on, or nothing.
  std::string AbortReason(const vm_view& vm) const;
  /// True when the VM's wave was cancelled, has finished or is forgotten.
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
