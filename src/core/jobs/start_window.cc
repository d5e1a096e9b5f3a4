#include "core/jobs/start_window.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

constexpr double kLeast = 8;
// Answers that take longer have waited for the link. VMs answer in some ms, and
// an owner that orders hundreds of starts is busy for some tenths of a second.
constexpr duration kSlow = std::chrono::milliseconds(600);
// The answers of what was sent before the last halving say nothing new.
constexpr duration kLeastHalvingGap = std::chrono::milliseconds(700);
// The share of a new sample in the smoothed time.
constexpr int kSmoothing = 8;

}  // namespace

void start_window::NoteResult(duration took, time_point now) {
  usual_ += (took - usual_) / kSmoothing;
  if (took <= kSlow) {
    size_ += size_ < fast_below_ ? 1.0 : 1.0 / size_;
    size_ = std::min(size_, kMost);
    return;
  }
  if (now - halved_at_ < kLeastHalvingGap) {
    return;
  }
  halved_at_ = now;
  size_ = std::max(kLeast, size_ / 2);
  fast_below_ = size_;
}

duration start_window::delay() const {
  return usual_ > kSlow ? usual_ : duration::zero();
}

}  // namespace plantainhead::core::jobs
