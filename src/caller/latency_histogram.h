#ifndef PLANTAINHEAD_CALLER_LATENCY_HISTOGRAM_H_
#define PLANTAINHEAD_CALLER_LATENCY_HISTOGRAM_H_

#include <chrono>
#include <memory>

namespace plantainhead::caller {

/// Counts times in bins whose widths grow by a constant factor, from 10 us to
/// 1000 s; a quantile is at most 4% above the true one.
/// Thread safety: none.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();

  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  void Add(std::chrono::microseconds time);

  /// Returns the time that a share `quantile` of the times doesn't exceed, in
  /// ms: the upper end of its bin, and never more than `Max()`; 0 when empty.
  /// Precondition: `quantile` is in (0, 1].
  double Quantile(double quantile) const;

  /// Returns the greatest time in ms, or 0.
  double Max() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_LATENCY_HISTOGRAM_H_
