#ifndef PLANTAINHEAD_CORE_JOBS_VM_REGISTRY_H_
#define PLANTAINHEAD_CORE_JOBS_VM_REGISTRY_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "plantainhead/core/jobs/routing.h"
#include "plantainhead/core/jobs/vm_reports.h"

namespace plantainhead::core::jobs {

/// Stores the VMs that the platform's registry lists, including those whose
/// record cannot be read. Thread safety: one thread at a time.
class vm_registry {
 public:
  /// Adds or updates a VM. Returns whether its record changed: VMs renew their
  /// records twice in three seconds, mostly without a change.
  bool Put(vm_description vm);
  /// Marks the record of the VM as unreadable. The VM is no longer usable and
  /// gets no new task. It is not treated as gone either: its runs are kept and
  /// counted until the VM reports their end or its lease expires, and its
  /// vacancy and offers are kept.
  void PutUnreadable(const vm_id& id);
  void Drop(const vm_id& id);

  using pool_predicate = std::function<bool(const pool_id&)>;

  /// Returns the VMs whose pools are in the configuration.
  std::vector<vm_description> Usable(const routing_table& routes) const;
  /// Like `Usable`, but only for pools for which `is_wanted` returns true. VMs
  /// of other pools are not copied.
  std::vector<vm_description> Usable(const routing_table& routes,
                                     const pool_predicate& is_wanted) const;
  /// Returns the VM, or null if it has no readable record. The pointer is valid
  /// until the next change.
  const vm_description* Find(const vm_id& id) const;
  /// Returns whether the VM has a record, readable or not.
  bool IsListed(const vm_id& id) const;
  /// Returns all VMs that have a record, readable or not.
  std::set<vm_id> Listed() const;
  /// Returns the VMs that are draining. VMs with unreadable records are not
  /// included, since it is unknown whether they are draining; they get no new
  /// tasks anyway.
  const std::set<vm_id>& Draining() const { return draining_; }

 private:
  std::map<vm_id, vm_description> readable_;
  std::set<vm_id> unreadable_;
  std::set<vm_id> draining_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VM_REGISTRY_H_
