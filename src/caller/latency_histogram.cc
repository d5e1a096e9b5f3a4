#include "caller/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdint>

namespace plantainhead::caller {
namespace {

namespace histogram = boost::histogram;

constexpr int kBins = 512;
constexpr double kLeastMs = 0.01;
constexpr double kGreatestMs = 1e6;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

}  // namespace

class latency_histogram::impl {
 public:
  void Add(double ms) {
    counts_(std::max(ms, kLeastMs));
    ++total_;
    max_ = std::max(max_, ms);
  }

  double Quantile(double quantile) const {
    const double wanted = std::ceil(quantile * static_cast<double>(total_));
    double seen = 0;
    const auto& axis = counts_.axis();
    for (int i = 0; i < axis.size(); ++i) {
      seen += static_cast<double>(counts_.at(i));
      if (seen >= wanted && total_ > 0) {
        return std::min(axis.bin(i).upper(), max_);
      }
    }
    return max_;
  }

  double max() const { return max_; }

 private:
  decltype(histogram::make_histogram(log_axis())) counts_ =
      histogram::make_histogram(log_axis(kBins, kLeastMs, kGreatestMs));
  std::uint64_t total_ = 0;
  double max_ = 0;
};

latency_histogram::latency_histogram() : impl_(std::make_unique<impl>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::Add(std::chrono::microseconds time) {
  impl_->Add(std::chrono::duration<double, std::milli>(time).count());
}

double latency_histogram::Quantile(double quantile) const {
  return impl_->Quantile(quantile);
}

double latency_histogram::Max() const {
  return impl_->max();
}

}  // namespace plantainhead::caller
