#include "plantainhead/core/jobs/vacancy_checker.h"

namespace plantainhead::core::jobs {

void vacancy_checker::UpdateHints(const std::vector<vacancy_hint>& hints) {
  std::map<std::pair<vm_id, vacancy_reason>, noted_hint> noted;
  for (const vacancy_hint& hint : hints) {
    const std::pair<vm_id, vacancy_reason> key(hint.vm, hint.reason);
    const auto known = hints_.find(key);
    // A hint of another owner is news: the earlier one may have been refuted.
    const bool is_known = known != hints_.end() && known->second.hint == hint;
    if (is_known) {
      noted[key] = known->second;
    } else {
      noted[key].hint = hint;
    }
  }
  hints_ = std::move(noted);
}

std::set<std::uint32_t> vacancy_checker::TakeReadings() {
  std::set<std::uint32_t> under_way;
  for (const auto& [key, noted] : hints_) {
    if (noted.phase == state::kReading) {
      under_way.insert(noted.hint.partition);
    }
  }
  std::set<std::uint32_t> due;
  for (auto& [key, noted] : hints_) {
    const bool is_due = noted.phase == state::kUnread &&
                        under_way.count(noted.hint.partition) == 0;
    if (is_due) {
      noted.phase = state::kReading;
      due.insert(noted.hint.partition);
    }
  }
  return due;
}

void vacancy_checker::EndReading(std::uint32_t partition,
                                 bool is_read,
                                 const std::set<vm_id>& vacant) {
  for (auto& [key, noted] : hints_) {
    if (noted.hint.partition != partition || noted.phase != state::kReading) {
      continue;
    }
    if (!is_read) {
      noted.phase = state::kUnread;
    } else {
      noted.phase = vacant.count(noted.hint.vm) != 0 ? state::kConfirmed
                                                     : state::kRefuted;
    }
  }
  if (is_read) {
    UpdateVacant(partition, vacant);
  }
}

// The pool's owner drops the record of a VM that the registry misses for long,
// and uses the VM again when it is back. The list of the fleet may have shown
// it all the while, so that its hint stands; acted on, that would move the VM
// with the tasks that run there. When the owner empties the VM once more the
// hint is the same as before, so that a refuted one isn't refuted for good.
void vacancy_checker::UpdateVacant(std::uint32_t partition,
                                   const std::set<vm_id>& vacant) {
  for (auto& [key, noted] : hints_) {
    if (noted.hint.partition != partition) {
      continue;
    }
    const bool is_vacant = vacant.count(noted.hint.vm) != 0;
    if (noted.phase == state::kConfirmed && !is_vacant) {
      noted.phase = state::kRefuted;
    } else if (noted.phase == state::kRefuted && is_vacant) {
      noted.phase = state::kUnread;
    }
  }
}

std::set<std::uint32_t> vacancy_checker::Partitions() const {
  std::set<std::uint32_t> partitions;
  for (const auto& [key, noted] : hints_) {
    partitions.insert(noted.hint.partition);
  }
  return partitions;
}

std::set<vm_id> vacancy_checker::Confirmed(vacancy_reason reason) const {
  std::set<vm_id> vms;
  for (const auto& [key, noted] : hints_) {
    if (key.second == reason && noted.phase == state::kConfirmed) {
      vms.insert(key.first);
    }
  }
  return vms;
}

std::vector<vm_id> vacancy_checker::TakeGoneOffers(
    const std::set<vm_id>& present,
    time_point now) {
  std::vector<vm_id> gone;
  for (auto& [key, noted] : hints_) {
    if (key.second != vacancy_reason::kOffered || noted.is_taken_as_gone) {
      continue;
    }
    if (present.count(key.first) != 0) {
      noted.missing_since.reset();
      continue;
    }
    if (!noted.missing_since) {
      noted.missing_since = now;
    }
    if (now - *noted.missing_since > settings_.missing_limit) {
      noted.is_taken_as_gone = true;
      gone.push_back(key.first);
    }
  }
  return gone;
}

}  // namespace plantainhead::core::jobs
