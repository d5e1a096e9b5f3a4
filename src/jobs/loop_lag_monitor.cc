#include "jobs/loop_lag_monitor.h"

#include <algorithm>
#include <utility>

namespace plantainhead::jobs {

void loop_watch::Start() {
  timer_.expires_after(kLoopLook);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      TakeLag();
      Start();
    }
  });
}

void loop_watch::TakeLag() {
  const core::duration lag = std::chrono::duration_cast<core::duration>(
      std::chrono::steady_clock::now() - timer_.expiry());
  most_ = std::max(most_, lag);
  on_lag_(lag);
}

core::duration loop_watch::TakeMost() {
  return std::exchange(most_, core::duration::zero());
}

}  // namespace plantainhead::jobs
