#include "jobs/fencing_tokens.h"

#include <utility>

namespace plantainhead::jobs {

using core::jobs::vm_id;

std::uint64_t fencing_tokens::TokenOf(const vm_id& vm) const {
  const auto found = raised_.find(vm);
  return found == raised_.end() ? first_ : found->second;
}

void fencing_tokens::NoteRestart(const vm_id& vm) {
  restarted_.insert(vm);
}

bool fencing_tokens::IsRising(const vm_id& vm) const {
  return restarted_.count(vm) != 0 || reserving_.count(vm) != 0;
}

std::optional<std::uint64_t> fencing_tokens::Reserve() {
  if (restarted_.empty()) {
    return std::nullopt;
  }
  reserving_ = std::exchange(restarted_, {});
  return ++reserved_;
}

void fencing_tokens::OnStored() {
  stored_ = reserved_;
  for (const vm_id& vm : std::exchange(reserving_, {})) {
    raised_[vm] = stored_;
  }
}

bool fencing_tokens::IsFencedByOther(const vm_id& vm, std::uint64_t token) {
  if (token >= stored_) {
    return true;
  }
  raised_[vm] = stored_;
  return false;
}

}  // namespace plantainhead::jobs
