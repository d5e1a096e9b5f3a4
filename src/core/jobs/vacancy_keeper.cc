#include "plantainhead/core/jobs/vacancy_keeper.h"

#include <algorithm>
#include <cstddef>

namespace plantainhead::core::jobs {

bool vacancy_keeper::Resize(const pool_id& pool,
                            const pool_load& load,
                            std::uint32_t wanted,
                            const vm_chooser& least_used) {
  if (load.usable_vms < wanted) {
    return TakeBack(pool, wanted - load.usable_vms);
  }
  if (load.usable_vms > wanted) {
    return Release(pool, least_used(load.usable_vms - wanted));
  }
  return false;
}

bool vacancy_keeper::Release(const pool_id& pool,
                             const std::vector<vm_id>& vms) {
  bool is_changed = false;
  for (const vm_id& vm : vms) {
    if (!IsReleased(vm)) {
      released_.push_back({vm, pool});
      is_changed = true;
    }
  }
  return is_changed;
}

// The owner of the fleet isn't told of a VM that is still being emptied, takes
// it for one in use, and sends no other one. Tasks would wait for as long as
// its last task runs, though there is room for them. It is safe to use it again
// as long as no record of its vacancy was asked for: the owner of the fleet
// acts on nothing else. The last one goes first, as least of it is empty yet.
bool vacancy_keeper::TakeBack(const pool_id& pool, std::uint32_t count) {
  std::uint32_t taken = 0;
  for (std::size_t i = released_.size(); i > 0 && taken < count; --i) {
    const released_vm& released = released_[i - 1];
    const bool is_free = released.pool == pool &&
                         for_service_.count(released.vm) == 0 &&
                         !MayBeRecorded(released.vm);
    if (!is_free) {
      continue;
    }
    found_.erase(released.vm);
    released_.erase(released_.begin() + static_cast<std::ptrdiff_t>(i - 1));
    ++taken;
  }
  return taken > 0;
}

bool vacancy_keeper::IsReleased(const vm_id& vm) const {
  return std::any_of(
      released_.begin(), released_.end(),
      [&](const released_vm& released) { return released.vm == vm; });
}

bool vacancy_keeper::MayBeRecorded(const vm_id& vm) const {
  return recording_.count(vm) != 0 || vacant_.count(vm) != 0;
}

std::set<vm_id> vacancy_keeper::Closed() const {
  std::set<vm_id> closed = for_service_;
  for (const released_vm& released : released_) {
    closed.insert(released.vm);
  }
  for (const auto* more : {&found_, &recording_, &vacant_}) {
    closed.insert(more->begin(), more->end());
  }
  return closed;
}

bool vacancy_keeper::FindVacant(const vm_predicate& is_present,
                                const vm_predicate& is_empty) {
  std::set<vm_id> closing = for_service_;
  for (const released_vm& released : released_) {
    closing.insert(released.vm);
  }
  const auto ended = std::remove_if(
      released_.begin(), released_.end(),
      [&](const released_vm& released) { return !is_present(released.vm); });
  released_.erase(ended, released_.end());
  bool is_found = false;
  for (const vm_id& vm : closing) {
    const bool is_new = !MayBeRecorded(vm) && is_empty(vm);
    is_found = (is_new && found_.insert(vm).second) || is_found;
  }
  return is_found;
}

vacancy_batch vacancy_keeper::TakeBatch(const vm_predicate& is_present,
                                        time_point now) {
  vacancy_batch batch;
  batch.vacant.assign(found_.begin(), found_.end());
  recording_ = std::move(found_);
  found_.clear();
  for (auto it = vacant_.begin(); it != vacant_.end();) {
    const vm_id vm = *it;
    ++it;
    if (is_present(vm)) {
      gone_.erase(vm);
      continue;
    }
    const time_point since = gone_.try_emplace(vm, now).first->second;
    if (now - since > settings_.memory) {
      batch.dropped.push_back(vm);
      Forget(vm);
    }
  }
  return batch;
}

void vacancy_keeper::Forget(const vm_id& vm) {
  vacant_.erase(vm);
  gone_.erase(vm);
  told_.erase({vm, vacancy_reason::kOffered});
  told_.erase({vm, vacancy_reason::kForService});
}

std::vector<vacant_vm> vacancy_keeper::NoteStored() {
  std::vector<vacant_vm> recorded;
  for (const vm_id& vm : recording_) {
    recorded.push_back({vm, ReasonOf(vm)});
  }
  vacant_.insert(recording_.begin(), recording_.end());
  recording_.clear();
  return recorded;
}

std::vector<vacant_vm> vacancy_keeper::TakeHints(const vm_predicate& is_present,
                                                 const hint_predicate& is_shown,
                                                 time_point now) {
  std::vector<vacant_vm> hints;
  for (const vm_id& vm : vacant_) {
    const vacant_vm hint = {vm, ReasonOf(vm)};
    if (!is_present(vm)) {
      continue;
    }
    const auto [told, is_new] = told_.try_emplace({vm, hint.reason}, now);
    const bool is_lost =
        now - told->second >= settings_.hint_retry && !is_shown(hint);
    if (is_new || is_lost) {
      told->second = now;
      hints.push_back(hint);
    }
  }
  return hints;
}

vacancy_reason vacancy_keeper::ReasonOf(const vm_id& vm) const {
  return for_service_.count(vm) != 0 ? vacancy_reason::kForService
                                     : vacancy_reason::kOffered;
}

}  // namespace plantainhead::core::jobs
