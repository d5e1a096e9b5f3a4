#include "plantainhead/core/jobs/report_validity.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

// The share of a new gap in the smoothed one.
constexpr int kSmoothing = 16;
// A gap that is longer than this many usual ones comes from a store that was
// away, and not from how often VMs report.
constexpr int kLongestGaps = 2;
constexpr int kGapsTrusted = 2;
// Reports are read somewhat later than they are made.
constexpr duration kReadingTime = std::chrono::milliseconds(200);
constexpr duration kLeastTrusted = std::chrono::milliseconds(3200);

}  // namespace

void report_ages::Note(const vm_id& vm, time_point at) {
  const auto [last, is_first] = last_at_.try_emplace(vm, at);
  if (!is_first && at > last->second) {
    NoteGap(at - last->second);
    last->second = at;
  }
  if (usual_gap_ > duration::zero()) {
    trusted_until_[vm] =
        last->second +
        std::max(kLeastTrusted, kGapsTrusted * usual_gap_ + kReadingTime);
  }
}

void report_ages::NoteGap(duration gap) {
  if (usual_gap_ == duration::zero()) {
    usual_gap_ = gap;
    return;
  }
  const duration counted = std::min(gap, kLongestGaps * usual_gap_);
  usual_gap_ += (counted - usual_gap_) / kSmoothing;
}

std::optional<time_point> report_ages::TrustedUntil(const vm_id& vm) const {
  const auto found = trusted_until_.find(vm);
  return found == trusted_until_.end() ? std::nullopt
                                       : std::optional(found->second);
}

void report_ages::Drop(const vm_id& vm) {
  last_at_.erase(vm);
  trusted_until_.erase(vm);
}

void report_ages::Clear() {
  last_at_.clear();
  trusted_until_.clear();
}

}  // namespace plantainhead::core::jobs
