#ifndef PLANTAINHEAD_CORE_JOBS_POOL_SIZER_H_
#define PLANTAINHEAD_CORE_JOBS_POOL_SIZER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Number of VMs of a pool that accept no tasks, by the reason. A VM is counted
/// under the first reason that applies.
struct vm_stage_counts {
  /// Drained in order to be released or serviced, or about to leave.
  std::uint32_t closed = 0;
  /// Has not reported which tasks it runs, or not since contact with it was
  /// lost.
  std::uint32_t unheard = 0;
  /// The record that the pool uses it has not been stored.
  std::uint32_t unrecorded = 0;
  /// Its reported capacity is out of date, or it runs unknown tasks.
  std::uint32_t untrusted = 0;
};

/// Current resource use and demand of a pool, and its available VMs.
struct pool_load {
  /// Used by the runs on its VMs.
  resources used;
  /// Demand of the tasks that are ready to start but do not fit on any VM.
  resources waiting;
  /// Predicted demand of jobs that arrive at a rising rate; see
  /// `arrival_rate_monitor`.
  resources rising;
  /// Number of jobs from which that rate was computed.
  std::size_t rising_jobs = 0;
  /// VMs that accept tasks.
  std::uint32_t usable_vms = 0;
  /// VMs that are listed and accept no tasks.
  vm_stage_counts stages;
  /// Average capacity of a VM of the pool.
  resources vm_capacity;
  /// Largest number of tasks of one step that must run on different VMs.
  std::uint32_t spread = 0;
};

/// Headroom and time windows used to size a pool.
struct sizer_settings {
  /// Fraction of a VM's capacity that tasks can use, since they do not divide
  /// it evenly.
  double fill_ratio = 0.85;
  /// VMs in addition to those needed now. They run the first tasks of a rise
  /// until more VMs arrive, and cover the loss of one VM.
  std::uint32_t reserve = 2;
  /// A pool shrinks to the largest demand within this time. A VM that is
  /// released is unavailable for two moves (1.5 s each) when the demand
  /// returns, and moving it costs as much as 1.1 s of its use.
  duration demand_window = std::chrono::milliseconds(2500);
  /// Like `demand_window`, used while another pool lacks VMs. It is longer than
  /// the gaps between short bursts of a few jobs.
  duration shortage_demand_window = std::chrono::milliseconds(400);
  /// A detected rise counts for this time after it was last observed, also
  /// while another pool lacks VMs, because its tasks wait until its VMs have
  /// arrived.
  duration rise_hold_time = std::chrono::milliseconds(2500);
  /// A rate computed from fewer jobs has a random error of more than one sixth.
  /// Such a rise is not held and affects only the current update.
  std::size_t min_held_rise_jobs = 40;
};

/// Decides how many VMs a pool should have. Pure and not thread-safe.
class pool_sizer {
 public:
  explicit pool_sizer(const sizer_settings& settings) : settings_(settings) {}

  /// Returns how many VMs the pool should have at its current load.
  /// `has_shortage`: another pool has fewer VMs than it wants.
  std::uint32_t Update(const pool_load& load,
                       bool has_shortage,
                       time_point now);
  /// Returns whether the load has been observed for long enough to shrink the
  /// pool. A new owner knows only the load that it has observed itself. While
  /// another pool lacks VMs, the shorter `shortage_demand_window` applies: when
  /// all processes restart during a queue's burst, most spare hosts are in
  /// pools whose burst is over.
  bool MayShrink(bool has_shortage, time_point now) const;

 private:
  std::uint32_t Needed(const pool_load& load) const;
  /// Returns how many VMs are needed to hold tasks that amount to the full
  /// capacity of `vms` VMs.
  std::uint32_t VmsToHold(double vms) const;
  void NoteRise(const pool_load& load, time_point now);

  sizer_settings settings_;
  std::optional<time_point> first_update_;
  /// VMs required by detected rises, in descending order, the newest last.
  std::deque<std::pair<time_point, std::uint32_t>> rise_peaks_;
  /// VMs required, in descending order, the newest last.
  std::deque<std::pair<time_point, std::uint32_t>> need_peaks_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_POOL_SIZER_H_
