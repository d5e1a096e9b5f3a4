#include "plantainhead/core/jobs/vacancy_manager.h"

#include <iterator>

namespace plantainhead::core::jobs {

void vacancy_manager::Restore(const std::set<vm_id>& recorded) {
  for (const vm_id& vm : recorded) {
    closed_vm* entry = Close(vm);
    entry->at = stage::kVacant;
    ScheduleHint(vm, entry);
  }
}

void vacancy_manager::UpdateForService(const std::set<vm_id>& vms) {
  const std::set<vm_id> before = for_service_;
  for (const vm_id& vm : before) {
    if (vms.count(vm) == 0) {
      NoteForService(vm, false);
    }
  }
  for (const vm_id& vm : vms) {
    NoteForService(vm, true);
  }
}

void vacancy_manager::NoteForService(const vm_id& vm, bool is_for_service) {
  if (is_for_service == (for_service_.count(vm) != 0)) {
    return;
  }
  closed_vm* entry = Close(vm);
  entry->is_for_service = is_for_service;
  if (is_for_service) {
    for_service_.insert(vm);
  } else {
    for_service_.erase(vm);
  }
  ScheduleHint(vm, entry);
  ReopenIfUnused(vm);
}

bool vacancy_manager::Resize(const pool_id& pool,
                             const pool_load& load,
                             std::uint32_t wanted,
                             const vm_chooser& least_used) {
  if (load.usable_vms < wanted) {
    return Reclaim(pool, wanted - load.usable_vms);
  }
  if (load.usable_vms > wanted) {
    return Release(pool, least_used(load.usable_vms - wanted));
  }
  return false;
}

bool vacancy_manager::Release(const pool_id& pool,
                              const std::vector<vm_id>& vms) {
  bool is_changed = false;
  for (const vm_id& vm : vms) {
    closed_vm* entry = Close(vm);
    if (!entry->released) {
      entry->released = next_release_++;
      released_[*entry->released] = {vm, pool};
      is_changed = true;
    }
  }
  return is_changed;
}

// The owner of the fleet has not been notified of a VM that is still being
// drained. It counts the VM as in use and sends no other VM, so tasks would
// wait until the last task of the VM ends although it has free capacity. The VM
// can safely be used again as long as no record of its vacancy has been
// requested, since the owner of the fleet acts only on such records. The most
// recently released VM is reclaimed first, as it has been drained least.
bool vacancy_manager::Reclaim(const pool_id& pool, std::uint32_t count) {
  std::uint32_t taken = 0;
  for (auto it = released_.end(); it != released_.begin() && taken < count;) {
    it = std::prev(it);
    ++visited_vms_;
    const vm_id vm = it->second.vm;
    if (it->second.pool != pool || for_service_.count(vm) != 0) {
      continue;
    }
    closed_vm* entry = Find(vm);
    entry->at = stage::kClosing;
    empty_.erase(vm);
    const auto after = std::next(it);
    DropRelease(entry);
    it = after;
    ReopenIfUnused(vm);
    ++taken;
  }
  return taken > 0;
}

vacancy_manager::closed_vm* vacancy_manager::Find(const vm_id& vm) {
  const auto found = entries_.find(vm);
  if (found == entries_.end()) {
    return nullptr;
  }
  ++visited_vms_;
  return &found->second;
}

vacancy_manager::closed_vm* vacancy_manager::Close(const vm_id& vm) {
  const auto [entry, is_new] = entries_.try_emplace(vm);
  ++visited_vms_;
  if (is_new) {
    changed_.push_back(vm);
  }
  return &entry->second;
}

void vacancy_manager::ReopenIfUnused(const vm_id& vm) {
  const closed_vm& entry = entries_.at(vm);
  const bool is_kept =
      entry.is_for_service || entry.released || entry.at != stage::kClosing;
  if (is_kept) {
    return;
  }
  if (entry.gone_since) {
    gone_.erase({*entry.gone_since, vm});
  }
  entries_.erase(vm);
  changed_.push_back(vm);
}

void vacancy_manager::DropRelease(closed_vm* entry) {
  if (entry->released) {
    released_.erase(*entry->released);
    entry->released.reset();
  }
}

std::vector<vm_id> vacancy_manager::TakeChanged() {
  return std::exchange(changed_, {});
}

bool vacancy_manager::NoteEmpty(const vm_id& vm) {
  closed_vm* entry = Find(vm);
  if (entry == nullptr || entry->at != stage::kClosing) {
    return false;
  }
  entry->at = stage::kEmpty;
  empty_.insert(vm);
  return true;
}

void vacancy_manager::NotePresence(const vm_id& vm,
                                   const vm_presence& presence,
                                   time_point now) {
  closed_vm* entry = Find(vm);
  if (entry == nullptr || entry->presence == presence) {
    return;
  }
  entry->presence = presence;
  if (entry->gone_since && presence.is_listed) {
    gone_.erase({*entry->gone_since, vm});
    entry->gone_since.reset();
  } else if (!entry->gone_since && !presence.is_listed) {
    entry->gone_since = now;
    gone_.emplace(now, vm);
  }
  ScheduleHint(vm, entry);
  if (!presence.is_held) {
    DropRelease(entry);
    ReopenIfUnused(vm);
  }
}

void vacancy_manager::NoteHintShown(const vacant_vm& hint, bool is_shown) {
  if (closed_vm* entry = Find(hint.vm)) {
    entry->hints[static_cast<std::size_t>(hint.reason)].is_shown = is_shown;
    ScheduleHint(hint.vm, entry);
  }
}

vacancy_batch vacancy_manager::TakeBatch(time_point now) {
  vacancy_batch batch;
  batch.vacant.assign(empty_.begin(), empty_.end());
  recording_ = batch.vacant;
  empty_.clear();
  for (const vm_id& vm : recording_) {
    closed_vm* entry = Find(vm);
    entry->at = stage::kRecording;
    DropRelease(entry);
  }
  while (!gone_.empty() &&
         now - gone_.begin()->first > settings_.record_retention) {
    const vm_id vm = gone_.begin()->second;
    gone_.erase(gone_.begin());
    closed_vm* entry = Find(vm);
    if (entry->at != stage::kVacant) {
      entry->gone_since = now;
      gone_.emplace(now, vm);
      continue;
    }
    batch.dropped.push_back(vm);
    entry->gone_since.reset();
    entry->at = stage::kClosing;
    entry->hints = {};
    ScheduleHint(vm, entry);
    ReopenIfUnused(vm);
  }
  return batch;
}

std::vector<vacant_vm> vacancy_manager::NoteStored() {
  std::vector<vacant_vm> recorded;
  for (const vm_id& vm : std::exchange(recording_, {})) {
    closed_vm* entry = Find(vm);
    entry->at = stage::kVacant;
    recorded.push_back({vm, ReasonOf(*entry)});
    ScheduleHint(vm, entry);
  }
  return recorded;
}

std::vector<vacant_vm> vacancy_manager::TakeHints(time_point now) {
  std::vector<vacant_vm> hints;
  while (!hints_due_.empty() && hints_due_.begin()->first <= now) {
    const vm_id vm = hints_due_.begin()->second;
    closed_vm* entry = Find(vm);
    HintOf(entry)->sent_at = now;
    hints.push_back({vm, ReasonOf(*entry)});
    ScheduleHint(vm, entry);
  }
  return hints;
}

// Schedules the next notification of the owner of the fleet about the VM, if
// one is needed.
void vacancy_manager::ScheduleHint(const vm_id& vm, closed_vm* entry) {
  if (entry->hint_due) {
    hints_due_.erase({*entry->hint_due, vm});
    entry->hint_due.reset();
  }
  const hint_state& hint = *HintOf(entry);
  const bool is_wanted = entry->at == stage::kVacant &&
                         entry->presence.is_held &&
                         (!hint.sent_at || !hint.is_shown);
  if (is_wanted) {
    entry->hint_due =
        hint.sent_at ? *hint.sent_at + settings_.hint_retry : time_point();
    hints_due_.emplace(*entry->hint_due, vm);
  }
}

vacancy_reason vacancy_manager::ReasonOf(const closed_vm& entry) {
  return entry.is_for_service ? vacancy_reason::kForService
                              : vacancy_reason::kOffered;
}

vacancy_manager::hint_state* vacancy_manager::HintOf(closed_vm* entry) {
  return &entry->hints[static_cast<std::size_t>(ReasonOf(*entry))];
}

}  // namespace plantainhead::core::jobs
