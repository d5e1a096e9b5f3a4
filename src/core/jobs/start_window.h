#ifndef PLANTAINHEAD_SRC_CORE_JOBS_START_WINDOW_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_START_WINDOW_H_

#include <cstddef>

#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Bounds the starts that an owner has under way by what its link carries, as a
/// sender's congestion window does: it grows with each result that comes soon,
/// and is halved when results are late. Without it an owner with a
/// backlog sends more starts than its link carries within their timeout, has to
/// stop what it can't know, and starts it again. Not thread-safe.
class start_window {
 public:
  /// Notes that an order to start was answered, or was given up, after `took`.
  void NoteResult(duration took, time_point now);
  /// Returns how many may be under way.
  std::size_t size() const { return static_cast<std::size_t>(size_); }
  /// Returns how long answers take at present while they are late; zero while
  /// they are not.
  duration delay() const;

 private:
  double size_ = kMost;
  /// Up to here the window doubles with each round of answers.
  double fast_below_ = kMost;
  duration usual_ = duration::zero();
  time_point halved_at_;

  static constexpr double kMost = 512;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_START_WINDOW_H_
