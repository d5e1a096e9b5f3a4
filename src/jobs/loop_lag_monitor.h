#ifndef PLANTAINHEAD_SRC_JOBS_LOOP_LAG_MONITOR_H_
#define PLANTAINHEAD_SRC_JOBS_LOOP_LAG_MONITOR_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// Measures the lag of the event loop of an `io_context`: the delay with which
/// a timer's handler runs, as it is queued behind all other handlers that are
/// due. Not thread-safe.
class loop_lag_monitor {
 public:
  using lag_handler = std::function<void(core::duration lag)>;

  /// `on_measurement` is called after each measurement. Preconditions:
  /// `context` and everything that `on_measurement` uses outlive this object.
  loop_lag_monitor(boost::asio::io_context* context, lag_handler on_measurement)
      : on_measurement_(std::move(on_measurement)), timer_(*context) {}
  loop_lag_monitor(const loop_lag_monitor&) = delete;
  loop_lag_monitor& operator=(const loop_lag_monitor&) = delete;

  /// Starts measuring. Must be called only once.
  void Start();
  /// Returns the maximum lag since the previous call, and resets it.
  core::duration TakeMaxLag();

 private:
  void RecordLag();

  lag_handler on_measurement_;
  boost::asio::steady_timer timer_;
  core::duration max_lag_{};
};

/// Interval between two measurements.
inline constexpr std::chrono::milliseconds kLagSampleInterval{100};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_LOOP_LAG_MONITOR_H_
