#ifndef PLANTAINHEAD_CORE_JOBS_ARRIVAL_RATE_MONITOR_H_
#define PLANTAINHEAD_CORE_JOBS_ARRIVAL_RATE_MONITOR_H_

#include <cstddef>
#include <deque>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Windows and thresholds by which a rise in the job arrival rate is detected.
struct arrival_rate_settings {
  /// The window in which a rise is looked for. During a burst a queue receives
  /// 9 to 36 jobs per second, so the window holds 4 to 14 of them.
  duration window = std::chrono::milliseconds(400);
  /// The most recent part of the window. While a rise is steep, its rate is
  /// used instead of the rate of the whole window, since a rise that has just
  /// begun fills only a small part of the window.
  duration short_window = std::chrono::milliseconds(100);
  /// With fewer jobs in the short window, no rise counts as steep.
  std::size_t min_short_window_jobs = 12;
  /// A rise is steep if the rate in the short window is at least this many
  /// times the rate in the whole window.
  double steep_ratio = 2.0;
  /// The time before the window whose rate is the baseline.
  duration baseline_window = std::chrono::milliseconds(2600);
  /// With fewer jobs in the window, no rise is reported.
  std::size_t min_window_jobs = 3;
  /// A rise is reported if the rate is at least this many times the baseline.
  /// At a constant rate of eight jobs per window, random variation exceeds this
  /// in one of 200 windows.
  double rise_ratio = 2.0;
};

/// Detects the beginning of a queue's burst by its job arrival rate, so that
/// VMs can be requested early. VMs arrive 1.5 s after they are requested, and
/// the backlog shows how many are needed only once most of the jobs that will
/// wait have arrived. The arrival rate shows it within the first few jobs. Pure
/// and not thread-safe.
class arrival_rate_monitor {
 public:
  explicit arrival_rate_monitor(const arrival_rate_settings& settings)
      : settings_(settings) {}

  /// Records a job that has just been read and was submitted `age` ago; ages
  /// may come in any order. Long-running steps are ignored, since
  /// they do not arrive at a rate. Precondition: `now` never decreases.
  void RecordArrival(const job_spec& job,
                     time_point now,
                     duration age = duration::zero());
  /// Returns the resources that tasks will use on average if jobs keep arriving
  /// at the current rate; zero while no rise is in progress. The demand is
  /// computed from the callers' estimates for jobs of average size, so a single
  /// large job does not count as a rise.
  resources RisingDemand(time_point now);
  /// Returns the number of jobs from which the last call of `RisingDemand`
  /// computed the rate.
  std::size_t recent_jobs() const { return recent_jobs_; }

 private:
  /// Returns the current arrival rate in jobs per second.
  double RateNow(time_point now) const;

  /// One job; its demand is in resource units times seconds.
  struct arrival {
    time_point at;
    double cpu = 0;
    double memory = 0;
    double gpus = 0;
  };

  arrival_rate_settings settings_;
  /// Ordered by time.
  std::deque<arrival> arrivals_;
  std::size_t recent_jobs_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_ARRIVAL_RATE_MONITOR_H_
