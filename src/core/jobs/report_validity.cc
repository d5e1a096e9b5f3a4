#include "plantainhead/core/jobs/report_validity.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

// A new interval has the weight 1 / kSmoothing in the average.
constexpr int kSmoothing = 16;
// An interval longer than this many average ones is caused by an unavailable
// store and not by how often VMs report, so it is capped.
constexpr int kMaxIntervals = 2;
constexpr int kTrustedIntervals = 2;
// Reports are read some time after they are made.
constexpr duration kReadDelay = std::chrono::milliseconds(200);
constexpr duration kMinTrustedTime = std::chrono::milliseconds(3200);

}  // namespace

void report_validity::Note(const vm_id& vm, time_point at) {
  const auto [last, is_first] = last_at_.try_emplace(vm, at);
  if (!is_first && at > last->second) {
    NoteInterval(at - last->second);
    last->second = at;
  }
  if (mean_interval_ > duration::zero()) {
    trusted_until_[vm] =
        last->second +
        std::max(kMinTrustedTime,
                 kTrustedIntervals * mean_interval_ + kReadDelay);
  }
}

void report_validity::NoteInterval(duration interval) {
  if (mean_interval_ == duration::zero()) {
    mean_interval_ = interval;
    return;
  }
  const duration counted = std::min(interval, kMaxIntervals * mean_interval_);
  mean_interval_ += (counted - mean_interval_) / kSmoothing;
}

std::optional<time_point> report_validity::TrustedUntil(const vm_id& vm) const {
  const auto found = trusted_until_.find(vm);
  return found == trusted_until_.end() ? std::nullopt
                                       : std::optional(found->second);
}

void report_validity::Drop(const vm_id& vm) {
  last_at_.erase(vm);
  trusted_until_.erase(vm);
}

void report_validity::Clear() {
  last_at_.clear();
  trusted_until_.clear();
}

}  // namespace plantainhead::core::jobs
