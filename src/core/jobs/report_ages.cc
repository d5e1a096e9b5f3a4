#include "plantainhead/core/jobs/report_ages.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

// The share of a new gap in the smoothed one.
constexpr int kSmoothing = 4;
constexpr int kGapsTrusted = 2;
// Reports are read somewhat later than they are made.
constexpr duration kReadingTime = std::chrono::milliseconds(200);
constexpr duration kLeastTrusted = std::chrono::milliseconds(3200);

}  // namespace

void report_ages::Note(const vm_id& vm, time_point at) {
  const auto [found, is_first] = reports_.try_emplace(vm);
  reports& seen = found->second;
  if (!is_first && at > seen.last_at) {
    const duration gap = at - seen.last_at;
    seen.gap +=
        seen.gap == duration::zero() ? gap : (gap - seen.gap) / kSmoothing;
  }
  seen.last_at = std::max(seen.last_at, at);
  if (seen.gap > duration::zero()) {
    trusted_until_[vm] =
        seen.last_at +
        std::max(kLeastTrusted, kGapsTrusted * seen.gap + kReadingTime);
  }
}

void report_ages::Drop(const vm_id& vm) {
  reports_.erase(vm);
  trusted_until_.erase(vm);
}

void report_ages::Clear() {
  reports_.clear();
  trusted_until_.clear();
}

}  // namespace plantainhead::core::jobs
