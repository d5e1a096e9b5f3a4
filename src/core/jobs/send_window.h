#ifndef PLANTAINHEAD_SRC_CORE_JOBS_SEND_WINDOW_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_SEND_WINDOW_H_

#include <chrono>
#include <cstddef>

#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// The limits of a `send_window`. The defaults are those of starts. VMs answer
/// within some milliseconds, and an owner that orders hundreds of starts is
/// busy for some tenths of a second, so that `slow` is far above both.
struct send_window_settings {
  std::size_t min_size = 8;
  /// The number of calls that may be in flight before any was answered.
  std::size_t initial_size = 512;
  std::size_t max_size = 512;
  /// Answers that take longer than this have been queued on the link.
  duration slow = std::chrono::milliseconds(600);
  /// The minimum time between two halvings. The answers to calls that were sent
  /// before the last halving contain no new information.
  duration min_halving_interval = std::chrono::milliseconds(700);
  /// The minimum share of slow results that halves the window. A saturated link
  /// makes most results slow. If fewer are slow, single peers do not answer,
  /// and calls to all others must not be held back because of them.
  double min_slow_share = 0.1;
};

/// Limits the number of calls in flight to what the link carries, as the
/// congestion window of TCP does: it grows with each result that comes in time
/// and is halved when many results are slow. Without it, a process with a
/// backlog sends more calls than its link carries within their timeout, gives
/// them up and sends them again. Not thread-safe.
class send_window {
 public:
  /// Precondition: 0 < min_size <= initial_size <= max_size.
  explicit send_window(const send_window_settings& settings = {});
  /// Records that a call was answered, or timed out, after `took`.
  void NoteResult(duration took, time_point now);
  /// Returns the number of calls that may be in flight.
  std::size_t size() const { return static_cast<std::size_t>(size_); }
  /// Returns the smoothed response time while it exceeds `slow`, otherwise
  /// zero.
  duration delay() const;

 private:
  send_window_settings settings_;
  double size_;
  /// Below this size the window doubles with each round of answers.
  double slow_start_threshold_;
  duration smoothed_delay_ = duration::zero();
  /// The results since the window was last halved or checked for it.
  time_point counted_from_;
  std::size_t counted_ = 0;
  std::size_t slow_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_SEND_WINDOW_H_
