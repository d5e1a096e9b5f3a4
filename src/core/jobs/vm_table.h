#ifndef PLANTAINHEAD_SRC_CORE_JOBS_VM_TABLE_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_VM_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/jobs/job_vms.h"
#include "core/jobs/vm_state.h"

namespace plantainhead::core::jobs {

/// Stores the VMs of a pool, tracks which of them may have changed, and
/// schedules the next check of each. A plan visits only these VMs: if it
/// visited all of them, the work of an owner for one event would grow with its
/// pool. Not thread-safe.
class vm_table {
 public:
  vm_table() = default;
  vm_table(const vm_table&) = delete;
  vm_table& operator=(const vm_table&) = delete;

  /// Returns the VM, or null if it is unknown.
  const vm_state* Find(const vm_id& id) const;
  /// Like `Find`, for a change of the VM; marks it as changed.
  vm_state* FindForChange(const vm_id& id);
  /// Like `Find`, for a change that does not affect a plan; the VM is not
  /// marked as changed.
  vm_state* FindUnmarked(const vm_id& id);
  /// Marks the VM as changed. Precondition: it is in the table.
  void MarkChanged(vm_state* vm);
  /// Returns the VM, which is added if necessary and marked as changed, and
  /// whether it is new.
  std::pair<vm_state*, bool> Add(const vm_description& description);
  /// Precondition: the VM is in the table.
  void Erase(vm_state* vm);

  /// Schedules a check: the VM is marked as changed when a plan is made at `at`
  /// or later. Replaces the time that was set before. Precondition: the VM is
  /// in the table.
  void ScheduleCheck(vm_state* vm, time_point at);
  /// Marks the VMs as changed whose check is due.
  void MarkDueChecks(time_point now);
  /// Return the VMs that may have changed since the last call, in the order in
  /// which they became known: the first for the index, the second for the plan.
  std::vector<vm_state*> TakeChanged();
  std::vector<vm_state*> TakeDue();

  /// Returns the VMs with a run of the job.
  std::vector<vm_state*> WithRunsOf(const job_id& job);

  std::size_t size() const { return by_id_.size(); }
  /// Returns all VMs by id. Not to be used for single events, since it counts
  /// as a visit of each VM.
  std::map<vm_id, vm_state>& All();
  /// Adds `count` visits of VMs to the counter.
  void NoteVisits(std::uint64_t count) const { visits_ += count; }
  /// Returns the number of visits of VMs.
  std::uint64_t visits() const { return visits_; }

 private:
  /// Clears a list of marked VMs and the mark of each of them. Returns the
  /// list.
  std::vector<vm_state*> Take(std::vector<vm_state*>* marked,
                              bool vm_state::*mark);

  std::map<vm_id, vm_state> by_id_;
  /// The keys refer to the keys of `by_id_`.
  std::unordered_map<std::string_view, vm_state*> lookup_;
  job_vms job_vms_;
  std::vector<vm_state*> changed_;
  std::vector<vm_state*> due_;
  std::set<std::pair<time_point, vm_state*>> checks_;
  std::uint32_t next_number_ = 0;
  mutable std::uint64_t visits_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_VM_TABLE_H_
