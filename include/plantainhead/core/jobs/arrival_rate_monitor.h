#ifndef PLANTAINHEAD_CORE_JOBS_ARRIVAL_RATE_MONITOR_H_
#define PLANTAINHEAD_CORE_JOBS_ARRIVAL_RATE_MONITOR_H_

#include <cstddef>
#include <deque>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

struct arrival_rate_settings {
  /// A rise is looked for in the jobs of this time. In its turn a queue brings
  /// 9 to 36 jobs a second, so that this holds 4 to 14 of them.
  duration window = std::chrono::milliseconds(400);
  /// The end of the window, whose rate counts in place of the whole window's
  /// while a rise is steep: one that has just begun fills little of the window.
  duration short_window = std::chrono::milliseconds(100);
  /// With fewer jobs at its end no rise is steep.
  std::size_t min_short_window_jobs = 12;
  /// Jobs must come this many times as fast there as in the whole window.
  double steep_ratio = 2.0;
  /// The rate is compared with that of this time before the window.
  duration baseline_window = std::chrono::milliseconds(2600);
  /// Fewer jobs than this in the window are no rise.
  std::size_t min_window_jobs = 3;
  /// Jobs must come this many times as fast as before. At a constant rate of
  /// eight in the window chance brings that in one of 200 windows.
  double rise_ratio = 2.0;
};

/// Notices when a queue's turn begins: its jobs come many times as fast as
/// before. What waits then tells how many VMs are needed only when most of the
/// jobs that will wait are there, and VMs come 1.5 s after they are asked for.
/// The rate of the arrivals tells it within the first few jobs.
/// Pure and not thread-safe.
class arrival_rate_monitor {
 public:
  explicit arrival_rate_monitor(const arrival_rate_settings& settings)
      : settings_(settings) {}

  /// Notes a job that has just been read and was handed in `age` before; ages
  /// may come in any order. Lasting steps count for nothing: they don't come at
  /// a rate. Precondition: times don't fall.
  void RecordArrival(const job_spec& job,
                     time_point now,
                     duration age = duration::zero());
  /// Returns what the tasks will take on average if jobs go on to come as they
  /// do now; nothing while no rise is under way. By the callers' estimates, and
  /// for jobs of average size: a single large one is no rise.
  resources RisingDemand(time_point now);
  /// Returns how many jobs the last `RisingDemand` told the rate by.
  std::size_t recent_jobs() const { return recent_jobs_; }

 private:
  /// Returns how many jobs a second come now.
  double RateNow(time_point now) const;

  /// Resources x seconds.
  struct arrival {
    time_point at;
    double cpu = 0;
    double memory = 0;
    double gpus = 0;
  };

  arrival_rate_settings settings_;
  /// By their times.
  std::deque<arrival> arrivals_;
  std::size_t recent_jobs_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_ARRIVAL_RATE_MONITOR_H_
