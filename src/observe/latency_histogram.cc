#include <algorithm>
#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <limits>

#include "plantainhead/observe/metrics.h"

namespace plantainhead::observe {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBinsPerDecade = 10;
constexpr unsigned kDecades = 7;
constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 1e3;

using log_axis = histogram::axis::regular<double,
                                          histogram::axis::transform::log,
                                          histogram::use_default,
                                          histogram::use_default>;
using safe_count = histogram::accumulators::count<std::uint64_t, true>;
using storage = histogram::dense_storage<safe_count>;
using axes = std::tuple<log_axis>;

std::string FormatSeconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.4g", seconds);
  return text.data();
}

}  // namespace

// Counts with an underflow bin (index -1) and an overflow bin (index size()).
class latency_histogram::bins {
 public:
  histogram::histogram<axes, storage> counts{
      std::make_tuple(
          log_axis(kBinsPerDecade * kDecades, kLeastSeconds, kMostSeconds)),
      storage()};
  std::atomic<std::int64_t> sum_micros{0};

  int size() const { return counts.axis().size(); }
  std::uint64_t At(int index) const { return counts.at(index).value(); }
  double UpperEdge(int index) const { return counts.axis().value(index + 1); }
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::Record(core::duration time) {
  const double seconds = std::chrono::duration<double>(time).count();
  // The logarithm of 0 or less belongs to no bin.
  bins_->counts(std::max(seconds, kLeastSeconds));
  bins_->sum_micros.fetch_add(time.count(), std::memory_order_relaxed);
}

std::uint64_t latency_histogram::Count() const {
  std::uint64_t count = 0;
  for (int i = -1; i <= bins_->size(); ++i) {
    count += bins_->At(i);
  }
  return count;
}

core::duration latency_histogram::Quantile(double share) const {
  const std::uint64_t count = Count();
  if (count == 0) {
    return core::duration::zero();
  }
  const double rank = std::ceil(share * static_cast<double>(count));
  std::uint64_t seen = 0;
  int bin = -1;
  for (; bin < bins_->size(); ++bin) {
    seen += bins_->At(bin);
    if (static_cast<double>(seen) >= rank) {
      break;
    }
  }
  const int last = std::min(bin, bins_->size() - 1);
  const std::chrono::duration<double> edge(bins_->UpperEdge(last));
  return std::chrono::round<core::duration>(edge);
}

void latency_histogram::AppendText(const std::string& name,
                                   const std::string& labels,
                                   std::string* text) const {
  // The counts go on while they are read, so that the total is summed up here
  // as well: a total from elsewhere could be less than the last bin.
  const std::string inside = labels.empty() ? "" : labels + ",";
  const std::string bucket = name + "_bucket{" + inside + "le=\"";
  std::uint64_t seen = bins_->At(-1);
  for (int i = 0; i < bins_->size(); ++i) {
    seen += bins_->At(i);
    *text += bucket + FormatSeconds(bins_->UpperEdge(i)) + "\"} " +
             std::to_string(seen) + "\n";
  }
  seen += bins_->At(bins_->size());
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  constexpr double kMicrosPerSecond = 1e6;
  const double sum =
      static_cast<double>(bins_->sum_micros.load(std::memory_order_relaxed)) /
      kMicrosPerSecond;
  *text += bucket + "+Inf\"} " + std::to_string(seen) + "\n" + name + "_sum" +
           braces + " " + std::to_string(sum) + "\n" + name + "_count" +
           braces + " " + std::to_string(seen) + "\n";
}

}  // namespace plantainhead::observe
