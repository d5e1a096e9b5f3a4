#include "plantainhead/core/jobs/vacancy_checker.h"

namespace plantainhead::core::jobs {

void vacancy_checker::UpdateHints(const std::vector<vacancy_hint>& hints) {
  std::set<hint_key> kept;
  for (const vacancy_hint& hint : hints) {
    kept.emplace(hint.vm, hint.reason);
    NoteHint(hint);
  }
  const std::map<hint_key, tracked_hint> all = hints_;
  for (const auto& [key, tracked] : all) {
    if (kept.count(key) == 0) {
      DropHint(key.first, key.second);
    }
  }
}

void vacancy_checker::NoteHint(const vacancy_hint& hint) {
  const hint_key key(hint.vm, hint.reason);
  const auto known = hints_.find(key);
  if (known != hints_.end()) {
    if (known->second.hint == hint) {
      return;
    }
    // A hint from another owner replaces the known one, which may have been
    // refuted.
    DropHint(hint.vm, hint.reason);
  }
  tracked_hint& tracked = hints_[key];
  tracked.hint = hint;
  by_partition_[hint.partition].insert(key);
  unread_[hint.partition].insert(key);
  CheckPlace(key, &tracked);
}

void vacancy_checker::DropHint(const vm_id& vm, vacancy_reason reason) {
  const hint_key key(vm, reason);
  const auto known = hints_.find(key);
  if (known == hints_.end()) {
    return;
  }
  SetPhase(key, &known->second, state::kRefuted);
  by_partition_[known->second.hint.partition].erase(key);
  hints_.erase(known);
}

void vacancy_checker::SetPhase(const hint_key& key,
                               tracked_hint* tracked,
                               state phase) {
  const std::uint32_t partition = tracked->hint.partition;
  const bool was_confirmed = tracked->phase == state::kConfirmed;
  const bool is_confirmed = phase == state::kConfirmed;
  tracked->phase = phase;
  unread_[partition].erase(key);
  reading_[partition].erase(key);
  if (phase == state::kUnread) {
    unread_[partition].insert(key);
  } else if (phase == state::kReading) {
    reading_[partition].insert(key);
  }
  if (was_confirmed != is_confirmed) {
    changes_.push_back({key.first, key.second, is_confirmed});
  }
}

std::set<std::uint32_t> vacancy_checker::TakePartitionsToRead() {
  std::set<std::uint32_t> due;
  for (auto& [partition, keys] : unread_) {
    if (keys.empty() || !reading_[partition].empty()) {
      continue;
    }
    due.insert(partition);
    const std::set<hint_key> begun = keys;
    for (const hint_key& key : begun) {
      SetPhase(key, &hints_.at(key), state::kReading);
    }
  }
  return due;
}

void vacancy_checker::OnPartitionRead(std::uint32_t partition,
                                      bool is_read,
                                      const std::set<vm_id>& vacant) {
  const std::set<hint_key> read = reading_[partition];
  for (const hint_key& key : read) {
    const bool is_vacant = vacant.count(key.first) != 0;
    const state answered = is_vacant ? state::kConfirmed : state::kRefuted;
    SetPhase(key, &hints_.at(key), is_read ? answered : state::kUnread);
  }
  if (is_read) {
    UpdateVacant(partition, vacant);
  }
}

void vacancy_checker::UpdateVacant(std::uint32_t partition,
                                   const std::set<vm_id>& vacant) {
  for (const hint_key& key : by_partition_[partition]) {
    NoteVacant(key, &hints_.at(key), vacant.count(key.first) != 0);
  }
}

void vacancy_checker::NoteVacant(std::uint32_t partition,
                                 const vm_id& vm,
                                 bool is_vacant) {
  for (const auto reason :
       {vacancy_reason::kOffered, vacancy_reason::kForService}) {
    const auto found = hints_.find({vm, reason});
    if (found != hints_.end() && found->second.hint.partition == partition) {
      NoteVacant(found->first, &found->second, is_vacant);
    }
  }
}

// The pool's owner deletes the vacancy record of a VM that is missing from the
// registry for long, and uses the VM again when it returns. The fleet list may
// have shown the VM throughout, so that its hint still exists. Acting on that
// hint would move the VM while tasks run on it. When the owner drains the VM
// again, the hint is identical to the earlier one, so a refuted hint must be
// checked again when its record returns.
void vacancy_checker::NoteVacant(const hint_key& key,
                                 tracked_hint* tracked,
                                 bool is_vacant) {
  if (tracked->phase == state::kConfirmed && !is_vacant) {
    SetPhase(key, tracked, state::kRefuted);
  } else if (tracked->phase == state::kRefuted && is_vacant &&
             !tracked->is_elsewhere) {
    SetPhase(key, tracked, state::kUnread);
  }
}

std::vector<vacancy_change> vacancy_checker::TakeChanges() {
  return std::exchange(changes_, {});
}

std::set<vm_id> vacancy_checker::Confirmed(vacancy_reason reason) const {
  std::set<vm_id> vms;
  for (const auto& [key, tracked] : hints_) {
    if (key.second == reason && tracked.phase == state::kConfirmed) {
      vms.insert(key.first);
    }
  }
  return vms;
}

std::vector<vm_id> vacancy_checker::TakeStaleOffers(
    const std::set<vm_id>& present,
    time_point now) {
  std::vector<vm_id> gone;
  for (auto& [key, tracked] : hints_) {
    if (key.second != vacancy_reason::kOffered || tracked.is_reported_gone) {
      continue;
    }
    if (present.count(key.first) != 0) {
      tracked.missing_since.reset();
      continue;
    }
    if (!tracked.missing_since) {
      tracked.missing_since = now;
    }
    if (now - *tracked.missing_since > settings_.missing_limit) {
      tracked.is_reported_gone = true;
      gone.push_back(key.first);
    }
  }
  return gone;
}

void vacancy_checker::UpdatePlaces(std::map<vm_id, std::uint32_t> partitions) {
  partitions_ = std::move(partitions);
  for (auto& [key, tracked] : hints_) {
    CheckPlace(key, &tracked);
  }
}

void vacancy_checker::CheckPlace(const hint_key& key, tracked_hint* tracked) {
  const auto found = partitions_.find(key.first);
  const bool is_elsewhere =
      found != partitions_.end() && found->second != tracked->hint.partition;
  if (is_elsewhere != tracked->is_elsewhere) {
    tracked->is_elsewhere = is_elsewhere;
    SetPhase(key, tracked, is_elsewhere ? state::kRefuted : state::kUnread);
  }
}

}  // namespace plantainhead::core::jobs
