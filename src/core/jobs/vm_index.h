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

/// VMs in the order in which they became known.
using vm_set = std::set<vm_state*, by_number>;

/// An entry of a list of VMs that is sorted by rank, the lowest first.
struct ranked_vm {
  std::int64_t rank = 0;
  vm_state* vm = nullptr;

  bool operator<(const ranked_vm& other) const {
    return rank != other.rank ? rank < other.rank
                              : vm->number() < other.vm->number();
  }
};

/// Compares entries of a ranked list with each other or with a rank.
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
/// VMs in the order of their ranks.
using ranked_vms = std::set<ranked_vm, by_rank>;

/// Lists the VMs that are available for new tasks, ranked by their free
/// processor time in thousandths of a core. Some tasks avoid VMs with
/// latency-sensitive tasks or prefer VMs with long-running tasks, so that there
/// is one list for each combination.
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
  /// Precondition: `ranked` is not in the list.
  void Insert(std::size_t kind, const ranked_vm& ranked);
  /// Precondition: `ranked` is in the list with this rank.
  void Erase(std::size_t kind, const ranked_vm& ranked);

 private:
  std::array<ranked_vms, kKinds> lists_;
  std::size_t size_ = 0;
};

/// The index of the VMs of one pool: their totals, and lists of them.
struct pool_vm_index {
  vm_set vms;
  std::uint32_t usable_vms = 0;
  /// The totals of the usable VMs.
  resources capacity;
  resources used;
  vm_stage_counts stages;
  /// Usable VMs without a long-running task, the most free processor time
  /// first.
  ranked_vms idle;
  /// The available VMs by label. The empty label contains all of them; other
  /// labels are added when they are first requested; see `AvailableWith`.
  std::map<std::string, available_vm_list> available;
  std::map<std::string, std::size_t> available_by_rack;
};

/// Indexes the VMs of an owner by pool, label and state, so that a plan does
/// not scan all of them. Updated one VM at a time. Not thread-safe.
class vm_index {
 public:
  /// Updates the index to the current state of the VM.
  void Update(vm_state* vm, time_point now);
  /// Updates only whether the VM has listed a task of an unknown job.
  void UpdateUnknown(vm_state* vm);
  /// Removes the VM.
  void Remove(vm_state* vm);

  /// Returns the index of the pool, or null if it never had a VM.
  const pool_vm_index* Find(const pool_id& pool) const;
  /// Returns the available VMs of the pool with the label; the empty label
  /// returns all of them. The first call for a label scans all VMs of the pool.
  /// Returns null if the pool never had a VM.
  const available_vm_list* AvailableWith(const pool_id& pool,
                                         const std::string& label);
  /// Returns the number of starts in flight.
  std::size_t starts_in_flight() const { return starts_in_flight_; }
  /// Returns the number of runs on the VMs of all pools.
  std::size_t runs() const { return runs_; }
  /// Returns the VMs that have not listed all their tasks and whose leases have
  /// not expired.
  const vm_set& unreconciled() const { return unreconciled_; }
  /// Returns the VMs that listed an end that has not been processed.
  const vm_set& with_unprocessed_ends() const { return with_unprocessed_ends_; }
  /// Returns the VMs that listed a task of an unknown job.
  const vm_set& with_unknown_jobs() const { return with_unknown_jobs_; }
  /// Returns the reachable VMs of which a record is due.
  const vm_set& record_due() const { return record_due_; }

 private:
  void FindSlots(vm_state* vm);
  static void ListLabel(const std::string& label, pool_vm_index* pool);
  static vm_index_entry EntryOf(const vm_state& vm, time_point now);
  void Add(vm_state* vm, const vm_index_entry& entry);
  void Subtract(vm_state* vm);

  /// Pointers to the elements are kept in `vm_state::index_slots`.
  std::map<pool_id, pool_vm_index> pools_;
  std::size_t starts_in_flight_ = 0;
  std::size_t runs_ = 0;
  vm_set unreconciled_;
  vm_set with_unprocessed_ends_;
  vm_set with_unknown_jobs_;
  vm_set record_due_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_VM_INDEX_H_
