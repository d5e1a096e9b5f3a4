#ifndef PLANTAINHEAD_SRC_CORE_JOBS_VM_INDEX_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_VM_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/jobs/vm_state.h"
#include "plantainhead/core/jobs/pool_sizer.h"

namespace plantainhead::core::jobs {

using vm_set = std::set<vm_state*, by_number>;

/// A VM in a list; the lowest rank goes first.
struct ranked_vm {
  std::int64_t rank = 0;
  vm_state* vm = nullptr;

  bool operator<(const ranked_vm& other) const {
    return rank != other.rank ? rank < other.rank
                              : vm->number() < other.vm->number();
  }
};

/// Orders a list, in which one may look for a rank as well.
struct by_rank {
  using is_transparent = void;
  bool operator()(const ranked_vm& a, const ranked_vm& b) const {
    return a < b;
  }
  bool operator()(const ranked_vm& a, std::int64_t rank) const {
    return a.rank < rank;
  }
  bool operator()(std::int64_t rank, const ranked_vm& b) const {
    return rank < b.rank;
  }
};
using ranked_vms = std::set<ranked_vm, by_rank>;

/// VMs that take tasks, ranked by the processor time that they have left, in
/// thousandths of a core. Some tasks avoid VMs with tasks that serve, or seek
/// those with tasks that last, so that each kind has a list of its own.
class available_vm_list {
 public:
  static constexpr std::size_t kKinds = 4;

  static std::size_t KindOf(const vm_state& vm) {
    return (vm.HasLatencySensitive() ? 2U : 0U) +
           (vm.HasLongRunning() ? 1U : 0U);
  }
  static bool HasLatencySensitive(std::size_t kind) { return (kind & 2U) != 0; }
  static bool HasLongRunning(std::size_t kind) { return (kind & 1U) != 0; }

  const ranked_vms& OfKind(std::size_t kind) const { return lists_[kind]; }
  std::size_t size() const { return size_; }
  /// Precondition: `ranked` isn't in the list.
  void Insert(std::size_t kind, const ranked_vm& ranked);
  /// Precondition: `ranked` is in the list.
  void Erase(std::size_t kind, const ranked_vm& ranked);

 private:
  std::array<ranked_vms, kKinds> lists_;
  std::size_t size_ = 0;
};

/// What is kept of all VMs of one pool.
struct pool_vm_index {
  vm_set vms;
  std::uint32_t usable_vms = 0;
  /// Of the usable VMs.
  resources capacity;
  resources used;
  vm_stage_counts stages;
  /// Usable VMs without a lasting task, the most free first.
  ranked_vms idle;
  /// Under the empty label all of them, and those with a label that was asked
  /// for; see `AvailableWith`.
  std::map<std::string, available_vm_list> available;
  std::map<std::string, std::size_t> available_by_rack;
};

/// Figures and lists of an owner's VMs, kept up to date VM by VM.
/// Not thread-safe.
class vm_index {
 public:
  /// Takes in the VM as it is now.
  void Update(vm_state* vm, time_point now);
  /// Takes in only whether the VM has told of a job that isn't known.
  void UpdateUnknown(vm_state* vm);
  /// Forgets the VM.
  void Remove(vm_state* vm);

  /// Returns what is kept of the pool, or null when it never had a VM.
  const pool_vm_index* Find(const pool_id& pool) const;
  /// Returns the takers of the pool with the label; the empty one stands for
  /// all. The first call for a label looks at all of them. Null: the pool never
  /// had a VM.
  const available_vm_list* AvailableWith(const pool_id& pool,
                                         const std::string& label);
  /// Returns how many starts are on their way to VMs.
  std::size_t starts_in_flight() const { return starts_in_flight_; }
  /// VMs that haven't told all, and whose leases aren't over.
  const vm_set& unreconciled() const { return unreconciled_; }
  /// VMs that told of an end that isn't taken in.
  const vm_set& with_unprocessed_ends() const { return with_unprocessed_ends_; }
  /// VMs that told of a job that isn't known here.
  const vm_set& with_unknown_jobs() const { return with_unknown_jobs_; }
  /// Reachable VMs of which a record is due.
  const vm_set& record_due() const { return record_due_; }

 private:
  void FindSlots(vm_state* vm);
  static void ListLabel(const std::string& label, pool_vm_index* pool);
  static vm_index_entry EntryOf(const vm_state& vm, time_point now);
  void Add(vm_state* vm, const vm_index_entry& entry);
  void Subtract(vm_state* vm);

  /// Its elements are pointed to.
  std::map<pool_id, pool_vm_index> pools_;
  std::size_t starts_in_flight_ = 0;
  vm_set unreconciled_;
  vm_set with_unprocessed_ends_;
  vm_set with_unknown_jobs_;
  vm_set record_due_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_VM_INDEX_H_
