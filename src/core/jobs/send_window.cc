#include "core/jobs/send_window.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

// The inverse of the weight of a new sample in the moving average.
constexpr int kSmoothing = 8;

}  // namespace

send_window::send_window(const send_window_settings& settings)
    : settings_(settings),
      size_(static_cast<double>(settings.initial_size)),
      slow_start_threshold_(static_cast<double>(settings.max_size)) {}

void send_window::NoteResult(duration took, time_point now) {
  smoothed_delay_ += (took - smoothed_delay_) / kSmoothing;
  counted_from_ = counted_ == 0 ? now : counted_from_;
  ++counted_;
  if (took <= settings_.slow) {
    size_ += size_ < slow_start_threshold_ ? 1.0 : 1.0 / size_;
    size_ = std::min(size_, static_cast<double>(settings_.max_size));
    return;
  }
  ++slow_;
  if (now - counted_from_ < settings_.min_halving_interval) {
    return;
  }
  const double share =
      static_cast<double>(slow_) / static_cast<double>(counted_);
  counted_ = 0;
  slow_ = 0;
  if (share < settings_.min_slow_share) {
    return;
  }
  size_ = std::max(static_cast<double>(settings_.min_size), size_ / 2);
  slow_start_threshold_ = size_;
}

duration send_window::delay() const {
  return smoothed_delay_ > settings_.slow ? smoothed_delay_ : duration::zero();
}

}  // namespace plantainhead::core::jobs
