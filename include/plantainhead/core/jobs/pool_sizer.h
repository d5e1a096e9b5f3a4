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

/// How far the VMs of a pool are on their way to taking tasks. Each counts in
/// the first line that holds for it.
struct vm_stage_counts {
  /// Emptied, to be given away or serviced, or about to leave.
  std::uint32_t closed = 0;
  /// Hasn't listed what runs on it, or not since it fell silent.
  std::uint32_t unheard = 0;
  /// The record that the pool uses it isn't stored.
  std::uint32_t unrecorded = 0;
  /// What it told of its capacity is old, or it runs what isn't known.
  std::uint32_t untrusted = 0;
};

/// What a pool's tasks take and could take now.
struct pool_load {
  /// Of the runs on its VMs.
  resources used;
  /// Of the tasks that may start but found no room.
  resources waiting;
  /// What jobs that come at a rising rate will take; see
  /// `arrival_rate_monitor`.
  resources rising;
  /// How many jobs told that rate.
  std::size_t rising_jobs = 0;
  /// VMs that take tasks.
  std::uint32_t usable_vms = 0;
  /// VMs that are listed and take none.
  vm_stage_counts stages;
  /// Of a VM of the pool, on average.
  resources vm_capacity;
  /// Most tasks of one step that must stand on different VMs.
  std::uint32_t spread = 0;
};

struct sizer_settings {
  /// Share of a VM that tasks fill, as they don't divide its capacity evenly.
  double fill_ratio = 0.85;
  /// VMs beyond what is needed now: for the first tasks of a rise, before more
  /// VMs come, and for the loss of one.
  std::uint32_t reserve = 2;
  /// A pool shrinks to the most that it needed in this time. A VM that is given
  /// away is missed for the time of two moves (1.5 s each) when the demand
  /// returns, and costs as much to move as 1.1 s of its use.
  duration demand_window = std::chrono::milliseconds(2500);
  /// The same while another pool lacks VMs. It outlasts the gaps between the
  /// bursts of a few jobs.
  duration shortage_demand_window = std::chrono::milliseconds(400);
  /// A rise counts for this time after it was last seen, also while another
  /// pool lacks VMs: until its VMs are there, its tasks wait for them.
  duration rise_hold_time = std::chrono::milliseconds(2500);
  /// A rate that fewer jobs tell is off by chance by more than a sixth. It
  /// counts for the moment only.
  std::size_t min_held_rise_jobs = 40;
};

/// Decides how many VMs a pool should have. Pure and not thread-safe.
class pool_sizer {
 public:
  explicit pool_sizer(const sizer_settings& settings) : settings_(settings) {}

  /// Returns how many VMs the pool should have, given its load now.
  /// `has_shortage`: another pool has fewer than it wants.
  std::uint32_t Update(const pool_load& load,
                       bool has_shortage,
                       time_point now);
  /// Returns whether the load has been watched for long enough to shrink by it.
  /// A new owner knows only what it has seen; but while another pool lacks VMs
  /// it gives away what it can do without as soon as one that has been at work
  /// for long would. When all processes start again in another queue's turn,
  /// most spare hosts are in pools whose turn is over.
  bool MayShrink(bool has_shortage, time_point now) const;

 private:
  std::uint32_t Needed(const pool_load& load) const;
  /// Returns how many VMs the VMs' worth of tasks need.
  std::uint32_t VmsToHold(double vms) const;
  void NoteRise(const pool_load& load, time_point now);

  sizer_settings settings_;
  std::optional<time_point> first_update_;
  /// What rises asked for, falling, the newest last.
  std::deque<std::pair<time_point, std::uint32_t>> rise_peaks_;
  /// Falling needs, the newest last.
  std::deque<std::pair<time_point, std::uint32_t>> need_peaks_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_POOL_SIZER_H_
