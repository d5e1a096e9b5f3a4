#include "jobs/loop_lag_monitor.h"

#include <algorithm>
#include <utility>

namespace plantainhead::jobs {

void loop_lag_monitor::Start() {
  timer_.expires_after(kLagSampleInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      RecordLag();
      Start();
    }
  });
}

void loop_lag_monitor::RecordLag() {
  const core::duration lag = std::chrono::duration_cast<core::duration>(
      std::chrono::steady_clock::now() - timer_.expiry());
  max_lag_ = std::max(max_lag_, lag);
  on_measurement_(lag);
}

core::duration loop_lag_monitor::TakeMaxLag() {
  return std::exchange(max_lag_, core::duration::zero());
}

}  // namespace plantainhead::jobs
