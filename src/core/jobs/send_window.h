#ifndef PLANTAINHEAD_SRC_CORE_JOBS_SEND_WINDOW_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_SEND_WINDOW_H_

#include <chrono>
#include <cstddef>

#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Limits of a `send_window`. The defaults are those of starts. VMs answer in
/// some ms, and an owner that orders hundreds of starts is busy for some tenths
/// of a second, so that `slow` is far above both.
struct send_window_settings {
  std::size_t min_size = 8;
  /// How many calls may be under way before any was answered.
  std::size_t initial_size = 512;
  std::size_t max_size = 512;
  /// Answers that take longer have waited for the link.
  duration slow = std::chrono::milliseconds(600);
  /// The answers of what was sent before the last halving say nothing new.
  duration min_halving_interval = std::chrono::milliseconds(700);
  /// A full link makes most results late. Where fewer are, single peers are
  /// silent, and all others would be held back for them.
  double min_slow_share = 0.1;
};

/// Bounds the calls that are under way by what the link carries, as a sender's
/// congestion window does: it grows with each result that comes soon, and is
/// halved when many results are late. Without it a process with a backlog sends
/// more calls than its link carries within their timeout, gives them up, and
/// sends them again. Not thread-safe.
class send_window {
 public:
  /// Precondition: 0 < least <= first <= most.
  explicit send_window(const send_window_settings& settings = {});
  /// Notes that a call was answered, or was given up, after `took`.
  void NoteResult(duration took, time_point now);
  /// Returns how many may be under way.
  std::size_t size() const { return static_cast<std::size_t>(size_); }
  /// Returns how long answers take at present while they are late; zero while
  /// they are not.
  duration delay() const;

 private:
  send_window_settings settings_;
  double size_;
  /// Up to here the window doubles with each round of answers.
  double slow_start_threshold_;
  duration smoothed_delay_ = duration::zero();
  /// The results since the window was last halved, or might have been.
  time_point counted_from_;
  std::size_t counted_ = 0;
  std::size_t slow_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_SEND_WINDOW_H_
