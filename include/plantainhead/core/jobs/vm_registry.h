#ifndef PLANTAINHEAD_CORE_JOBS_VM_REGISTRY_H_
#define PLANTAINHEAD_CORE_JOBS_VM_REGISTRY_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "plantainhead/core/jobs/routing.h"
#include "plantainhead/core/jobs/vm_reports.h"

namespace plantainhead::core::jobs {

/// The VMs that the platform's registry lists, and those whose record can't be
/// read. Thread safety: one thread at a time.
class vm_registry {
 public:
  /// Returns whether that is news: VMs renew their records twice in three
  /// seconds, mostly without a change.
  bool Put(vm_description vm);
  /// The VM's record can't be read. It names no VM to use: the VM is no longer
  /// among the usable ones, and gets no new task. It isn't gone either: what
  /// runs there is held and counted until the VM itself ends it or its lease
  /// runs out, and its vacancy and offers aren't forgotten.
  void PutUnreadable(const vm_id& id);
  void Drop(const vm_id& id);

  using pool_predicate = std::function<bool(const pool_id&)>;

  /// Returns the VMs of pools that the configuration names.
  std::vector<vm_description> Usable(const routing_table& routes) const;
  /// The same for the pools that are wanted; the others aren't copied.
  std::vector<vm_description> Usable(const routing_table& routes,
                                     const pool_predicate& is_wanted) const;
  /// Returns the VM, or null when no readable record names it. It is valid
  /// until the next change.
  const vm_description* Find(const vm_id& id) const;
  /// Returns whether there is a record of the VM, readable or not.
  bool IsListed(const vm_id& id) const;
  /// Returns all VMs of which there is a record.
  std::set<vm_id> Listed() const;
  /// Returns the VMs that drain. Whether one whose record can't be read does
  /// isn't known; it takes no new task anyway.
  const std::set<vm_id>& Draining() const { return draining_; }

 private:
  std::map<vm_id, vm_description> readable_;
  std::set<vm_id> unreadable_;
  std::set<vm_id> draining_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VM_REGISTRY_H_
