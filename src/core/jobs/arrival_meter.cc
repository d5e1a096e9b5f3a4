#include "plantainhead/core/jobs/arrival_meter.h"

#include <cstdint>

namespace plantainhead::core::jobs {
namespace {

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void arrival_meter::Note(const job_spec& job, time_point now) {
  arrival noted;
  noted.at = now;
  for (const step_spec& step : job.steps) {
    if (step.lasting) {
      continue;
    }
    const double time = Seconds(step.estimate) * step.task_count;
    noted.cpu += time * static_cast<double>(step.need.cpu_millis);
    noted.memory += time * static_cast<double>(step.need.memory_mb);
    noted.gpus += time * static_cast<double>(step.need.gpus);
  }
  const bool is_lasting = noted.cpu == 0 && noted.memory == 0;
  if (!is_lasting) {
    arrivals_.push_back(noted);
  }
}

resources arrival_meter::RisingDemand(time_point now) {
  const time_point window_begin = now - settings_.window;
  const time_point past_begin = window_begin - settings_.past;
  while (!arrivals_.empty() && arrivals_.front().at < past_begin) {
    arrivals_.pop_front();
  }
  arrival recent;
  double past_cpu = 0;
  std::size_t count = 0;
  for (const arrival& job : arrivals_) {
    if (job.at < window_begin) {
      past_cpu += job.cpu;
      continue;
    }
    ++count;
    recent.cpu += job.cpu;
    recent.memory += job.memory;
    recent.gpus += job.gpus;
  }
  const double window = Seconds(settings_.window);
  const double past_rate = past_cpu / Seconds(settings_.past);
  const bool is_rise = count >= settings_.least_jobs &&
                       recent.cpu / window >= settings_.rise * past_rate;
  if (!is_rise) {
    return {};
  }
  return {static_cast<std::int64_t>(recent.cpu / window),
          static_cast<std::int64_t>(recent.memory / window),
          static_cast<std::int64_t>(recent.gpus / window)};
}

}  // namespace plantainhead::core::jobs
