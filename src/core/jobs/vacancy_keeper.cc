#include "plantainhead/core/jobs/vacancy_keeper.h"

namespace plantainhead::core::jobs {

bool vacancy_keeper::Resize(const pool_id& pool,
                            const pool_load& load,
                            std::uint32_t wanted,
                            const vm_chooser& least_used) {
  if (load.usable_vms <= wanted) {
    return false;
  }
  bool is_changed = false;
  for (const vm_id& vm : least_used(load.usable_vms - wanted)) {
    is_changed = released_.emplace(vm, pool).second || is_changed;
  }
  return is_changed;
}

std::set<vm_id> vacancy_keeper::Closed() const {
  std::set<vm_id> closed = for_service_;
  for (const auto& [vm, pool] : released_) {
    closed.insert(vm);
  }
  for (const auto* more : {&found_, &recording_, &vacant_}) {
    closed.insert(more->begin(), more->end());
  }
  return closed;
}

bool vacancy_keeper::FindVacant(const vm_predicate& is_present,
                                const vm_predicate& is_empty) {
  std::set<vm_id> closing = for_service_;
  for (auto it = released_.begin(); it != released_.end();) {
    closing.insert(it->first);
    it = is_present(it->first) ? std::next(it) : released_.erase(it);
  }
  bool is_found = false;
  for (const vm_id& vm : closing) {
    const bool is_new =
        vacant_.count(vm) == 0 && recording_.count(vm) == 0 && is_empty(vm);
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
      vacant_.erase(vm);
      gone_.erase(vm);
    }
  }
  return batch;
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

std::vector<vacant_vm> vacancy_keeper::TakeHints(
    const vm_predicate& is_present) {
  std::vector<vacant_vm> hints;
  for (const vm_id& vm : vacant_) {
    const vacancy_reason reason = ReasonOf(vm);
    if (is_present(vm) && told_.emplace(vm, reason).second) {
      hints.push_back({vm, reason});
    }
  }
  return hints;
}

vacancy_reason vacancy_keeper::ReasonOf(const vm_id& vm) const {
  return for_service_.count(vm) != 0 ? vacancy_reason::kForService
                                     : vacancy_reason::kOffered;
}

}  // namespace plantainhead::core::jobs
