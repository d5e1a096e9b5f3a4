#ifndef PLANTAINHEAD_CORE_VM_LIFECYCLE_H_
#define PLANTAINHEAD_CORE_VM_LIFECYCLE_H_

#include <string>

#include "plantainhead/core/phase_watch.h"
#include "plantainhead/core/planner_context.h"

namespace plantainhead::core {

/// Start of the reason of a wave that the planner paused by itself; a wave that
/// an operator paused waits for an operator.
inline constexpr const char* kOwnPause = "auto: ";

/// Returns true when the planner, not an operator, paused the wave.
bool IsOwnPause(const wave_progress& wave);

/// Leads VMs from serving through drain and reboot, or through drain and a
/// change of pool, back to serving. Each step is a record; an operation goes
/// out only after the record that names it was read back. Thread safety: none.
class vm_lifecycle {
 public:
  /// The context must outlive this object.
  vm_lifecycle(const planner_context& context, const phase_watch& watch);

  /// Asks for a drain of a serving VM; `wave` is empty for a change of pool.
  /// Returns whether the record was appended.
  bool StartDrain(const vm_view& vm,
                  const wave_id& wave,
                  const std::string& reason) const;

  /// Takes the next step of every VM that is not serving. A drained VM without
  /// a wave is left to the planner of the pools.
  void Advance() const;

  /// Lets a VM that is drained or draining serve again.
  void Readmit(const vm_view& vm, const std::string& reason) const;

 private:
  void AdvanceDraining(const vm_view& vm) const;
  void AdvanceDrained(const vm_view& vm) const;
  void AdvanceRebooting(const vm_view& vm) const;
  void AdvanceReturning(const vm_view& vm) const;
  /// Returns why a drain for a wave must not go on, or nothing.
  std::string WhyAborted(const vm_view& vm) const;
  bool IsDrained(const vm_view& vm) const;
  bool HasTasks(const vm_view& vm) const;
  bool ListIsFresh(time_point after) const;
  void SetPhase(const vm_view& vm,
                vm_phase phase,
                const std::string& operation_kind,
                const wave_id& wave,
                const std::string& reason) const;

  const planner_context& context_;
  const phase_watch& watch_;
};

/// Returns the id of the operation of one kind ("reboot") that a record with
/// this expected generation allows. Two planners build the same id.
operation_id OperationFor(const std::string& kind,
                          const std::string& object,
                          generation expected);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_VM_LIFECYCLE_H_
