#include "plantainhead/core/jobs/owner_directory.h"

#include <utility>

namespace plantainhead::core::jobs {

bool owner_directory::NoteAnnouncement(std::uint32_t partition,
                                       owner_address owner) {
  entry& known = entries_[partition];
  if (owner.epoch <= known.owner.epoch) {
    return false;
  }
  known.owner = std::move(owner);
  known.resume_at.reset();
  return true;
}

owner_address owner_directory::Latest(std::uint32_t partition) const {
  const auto found = entries_.find(partition);
  return found == entries_.end() ? owner_address() : found->second.owner;
}

std::optional<owner_address> owner_directory::Choose(std::uint32_t partition,
                                                     time_point now) {
  const auto found = entries_.find(partition);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  entry& known = found->second;
  if (known.resume_at) {
    if (now < *known.resume_at) {
      return std::nullopt;
    }
    known.resume_at = now + settings_.retry_interval;
  }
  return known.owner;
}

void owner_directory::NoteAnswered(std::uint32_t partition,
                                   std::uint64_t epoch) {
  entry& known = entries_[partition];
  if (known.owner.epoch == epoch) {
    known.resume_at.reset();
  }
}

void owner_directory::NoteFailed(std::uint32_t partition,
                                 std::uint64_t epoch,
                                 time_point now) {
  entry& known = entries_[partition];
  if (known.owner.epoch == epoch) {
    known.resume_at = now + settings_.retry_interval;
  }
}

}  // namespace plantainhead::core::jobs
