#ifndef PLANTAINHEAD_OBSERVE_METRICS_H_
#define PLANTAINHEAD_OBSERVE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/time.h"

/// Counters and histograms of one process, read as Prometheus text.
namespace plantainhead::observe {

using label_list = std::vector<std::pair<std::string, std::string>>;

/// Only goes up.
/// Thread safety: safe from any thread.
class counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Holds the newest value.
/// Thread safety: safe from any thread.
class gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

/// Counts times in bins of equal ratio from 100 us to 1000 s, ten bins to a
/// factor of ten; a quantile is off by 26% at most. What lies outside is
/// counted in the first bin, or only in the total.
/// Thread safety: safe from any thread.
class latency_histogram {
 public:
  latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;
  ~latency_histogram();

  void Record(core::duration time);

  /// Returns how many times were recorded.
  std::uint64_t Count() const;

  /// Returns the upper edge of the bin that holds the quantile `share`, or 0
  /// when nothing was recorded. Precondition: `share` is in (0, 1].
  core::duration Quantile(double share) const;

  /// Appends the Prometheus lines of the histogram. `labels` is the inside of
  /// the braces, without "le".
  void AppendText(const std::string& name,
                  const std::string& labels,
                  std::string* text) const;

 private:
  class bins;
  std::unique_ptr<bins> bins_;
};

/// All metrics of a process. Objects are made once and live as long as the
/// registry. Label values must come from a small known set, such as the classes
/// in the targets, never from callers: each is kept for good.
/// Thread safety: all methods are safe from any thread. Looking a metric up
/// takes a lock; keep the reference where speed matters.
class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;
  ~metrics();

  /// Return the metric with this name and these labels, made at the first call.
  /// `help` counts only then. Precondition: a name is used for one kind only.
  counter& Counter(const std::string& name,
                   const std::string& help,
                   const label_list& labels = {});
  gauge& Gauge(const std::string& name,
               const std::string& help,
               const label_list& labels = {});
  latency_histogram& Latency(const std::string& name,
                             const std::string& help,
                             const label_list& labels = {});

  /// Returns all metrics as Prometheus text (version 0.0.4). Times are in
  /// seconds.
  std::string ToText() const;

 private:
  class registry;
  std::unique_ptr<registry> registry_;
};

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_OBSERVE_METRICS_H_
