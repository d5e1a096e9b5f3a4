#include "plantainhead/core/jobs/arrival_rate_monitor.h"

#include <algorithm>
#include <cstdint>

namespace plantainhead::core::jobs {
namespace {

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void arrival_rate_monitor::RecordArrival(const job_spec& job,
                                         time_point now,
                                         duration age) {
  if (age > settings_.window + settings_.baseline_window) {
    return;
  }
  arrival noted;
  noted.at = now - age;
  for (const step_spec& step : job.steps) {
    if (step.long_running) {
      continue;
    }
    const double time = Seconds(step.estimate) * step.task_count;
    noted.cpu += time * static_cast<double>(step.need.cpu_millis);
    noted.memory += time * static_cast<double>(step.need.memory_mb);
    noted.gpus += time * static_cast<double>(step.need.gpus);
  }
  const bool is_long_running = noted.cpu == 0 && noted.memory == 0;
  if (!is_long_running) {
    const auto next = std::upper_bound(
        arrivals_.begin(), arrivals_.end(), noted.at,
        [](time_point at, const arrival& other) { return at < other.at; });
    arrivals_.insert(next, noted);
  }
}

double arrival_rate_monitor::RateNow(time_point now) const {
  const auto since = [this](time_point begin) {
    return static_cast<std::size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [begin](const arrival& job) { return job.at >= begin; }));
  };
  const std::size_t in_short = since(now - settings_.short_window);
  const double rate = static_cast<double>(since(now - settings_.window)) /
                      Seconds(settings_.window);
  const double short_rate =
      static_cast<double>(in_short) / Seconds(settings_.short_window);
  const bool is_steep = in_short >= settings_.min_short_window_jobs &&
                        short_rate >= settings_.steep_ratio * rate;
  return is_steep ? short_rate : rate;
}

resources arrival_rate_monitor::RisingDemand(time_point now) {
  const time_point window_begin = now - settings_.window;
  const time_point baseline_begin = window_begin - settings_.baseline_window;
  while (!arrivals_.empty() && arrivals_.front().at < baseline_begin) {
    arrivals_.pop_front();
  }
  arrival sum;
  std::size_t recent = 0;
  for (const arrival& job : arrivals_) {
    recent += job.at >= window_begin ? 1 : 0;
    sum.cpu += job.cpu;
    sum.memory += job.memory;
    sum.gpus += job.gpus;
  }
  recent_jobs_ = recent;
  const double rate = RateNow(now);
  const double baseline_rate = static_cast<double>(arrivals_.size() - recent) /
                               Seconds(settings_.baseline_window);
  const bool is_rise = recent >= settings_.min_window_jobs &&
                       rate >= settings_.rise_ratio * baseline_rate;
  if (!is_rise) {
    return {};
  }
  // Average demand per job over all recorded jobs, times the arrival rate.
  const double scale = rate / static_cast<double>(arrivals_.size());
  return {static_cast<std::int64_t>(sum.cpu * scale),
          static_cast<std::int64_t>(sum.memory * scale),
          static_cast<std::int64_t>(sum.gpus * scale)};
}

}  // namespace plantainhead::core::jobs
