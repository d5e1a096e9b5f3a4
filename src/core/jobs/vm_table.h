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

/// The VMs of a pool, which of them may have changed, and when each is to be
/// looked at again. A plan looks at these only: with a look at each VM, what an
/// owner does for one event would grow with its pool. Not thread-safe.
class vm_table {
 public:
  vm_table() = default;
  vm_table(const vm_table&) = delete;
  vm_table& operator=(const vm_table&) = delete;

  /// Returns the VM, or null when it is unknown.
  const vm_state* Find(const vm_id& id) const;
  /// The same for a change of it: it counts as changed.
  vm_state* FindForChange(const vm_id& id);
  /// The same for a change that a plan needn't know of.
  vm_state* FindUnmarked(const vm_id& id);
  /// Marks the VM as changed. Precondition: it is in the table.
  void MarkChanged(vm_state* vm);
  /// Returns the VM, marked as changed, and whether it is new.
  std::pair<vm_state*, bool> Add(const vm_description& description);
  /// Precondition: it is in the table.
  void Erase(vm_state* vm);

  /// Marks the VM as changed when a plan is made at `at` or later. The date
  /// replaces the one before. Precondition: it is in the table.
  void ScheduleCheck(vm_state* vm, time_point at);
  /// Marks those as changed whose date has come.
  void MarkDueChecks(time_point now);
  /// Returns the VMs that may have changed since the last call, in the order in
  /// which they became known: for the index, and for the plan.
  std::vector<vm_state*> TakeChanged();
  std::vector<vm_state*> TakeDue();

  /// Returns those with a run of the job.
  std::vector<vm_state*> WithRunsOf(const job_id& job);

  std::size_t size() const { return by_id_.size(); }
  /// All of them, by id. For what isn't done for each event.
  std::map<vm_id, vm_state>& All();
  /// Counts a look at so many VMs.
  void NoteVisits(std::uint64_t count) const { visits_ += count; }
  /// Returns how many VMs were looked at.
  std::uint64_t visits() const { return visits_; }

 private:
  /// Empties a list of marked VMs, and takes the mark off each of them.
  std::vector<vm_state*> Take(std::vector<vm_state*>* marked,
                              bool vm_state::*mark);

  std::map<vm_id, vm_state> by_id_;
  /// The keys are those of `by_id_`.
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
