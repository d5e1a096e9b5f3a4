#include "plantainhead/core/jobs/vm_registry.h"

#include <utility>

namespace plantainhead::core::jobs {

bool vm_registry::Put(vm_description vm) {
  bool is_changed = unreadable_.erase(vm.id) != 0;
  const auto [found, is_new] = readable_.try_emplace(vm.id);
  is_changed = is_changed || is_new || found->second != vm;
  if (is_changed) {
    found->second = std::move(vm);
    if (found->second.draining) {
      draining_.insert(found->first);
    } else {
      draining_.erase(found->first);
    }
  }
  return is_changed;
}

void vm_registry::PutUnreadable(const vm_id& id) {
  readable_.erase(id);
  draining_.erase(id);
  unreadable_.insert(id);
}

void vm_registry::Drop(const vm_id& id) {
  readable_.erase(id);
  draining_.erase(id);
  unreadable_.erase(id);
}

std::vector<vm_description> vm_registry::Usable(
    const routing_table& routes) const {
  return Usable(routes, [](const pool_id& /*pool*/) { return true; });
}

std::vector<vm_description> vm_registry::Usable(
    const routing_table& routes,
    const pool_predicate& is_wanted) const {
  std::vector<vm_description> usable;
  for (const auto& [id, vm] : readable_) {
    if (routes.HasPool(vm.pool) && is_wanted(vm.pool)) {
      usable.push_back(vm);
    }
  }
  return usable;
}

const vm_description* vm_registry::Find(const vm_id& id) const {
  const auto found = readable_.find(id);
  return found == readable_.end() ? nullptr : &found->second;
}

bool vm_registry::IsListed(const vm_id& id) const {
  return readable_.count(id) != 0 || unreadable_.count(id) != 0;
}

std::set<vm_id> vm_registry::Listed() const {
  std::set<vm_id> listed = unreadable_;
  for (const auto& [id, vm] : readable_) {
    listed.insert(id);
  }
  return listed;
}

}  // namespace plantainhead::core::jobs
