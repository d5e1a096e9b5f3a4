#include "core/jobs/send_window.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

// The share of a new sample in the smoothed time.
constexpr int kSmoothing = 8;

}  // namespace

send_window::send_window(const window_settings& settings)
    : settings_(settings),
      size_(static_cast<double>(settings.first)),
      fast_below_(static_cast<double>(settings.most)) {}

void send_window::NoteResult(duration took, time_point now) {
  usual_ += (took - usual_) / kSmoothing;
  counted_from_ = counted_ == 0 ? now : counted_from_;
  ++counted_;
  if (took <= settings_.slow) {
    size_ += size_ < fast_below_ ? 1.0 : 1.0 / size_;
    size_ = std::min(size_, static_cast<double>(settings_.most));
    return;
  }
  ++slow_;
  if (now - counted_from_ < settings_.least_halving_gap) {
    return;
  }
  const double share =
      static_cast<double>(slow_) / static_cast<double>(counted_);
  counted_ = 0;
  slow_ = 0;
  if (share < settings_.least_slow_share) {
    return;
  }
  size_ = std::max(static_cast<double>(settings_.least), size_ / 2);
  fast_below_ = size_;
}

duration send_window::delay() const {
  return usual_ > settings_.slow ? usual_ : duration::zero();
}

}  // namespace plantainhead::core::jobs
