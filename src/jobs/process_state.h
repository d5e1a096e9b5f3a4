#ifndef PLANTAINHEAD_SRC_JOBS_PROCESS_STATE_H_
#define PLANTAINHEAD_SRC_JOBS_PROCESS_STATE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "jobs/cpu_time_meter.h"
#include "plantainhead/core/time.h"
#include "plantainhead/observe/logging.h"

namespace plantainhead::jobs {

/// A partition that a process owns or is taking over.
struct owned_partition {
  std::uint32_t partition = 0;
  /// 0 until it is known.
  std::uint64_t epoch = 0;
  /// Whether the takeover is over.
  bool is_active = false;
};

/// What a process says of itself from time to time.
struct process_state {
  std::vector<owned_partition> pools;
  bool owns_fleet = false;
  bool is_ready = false;
  std::uint64_t configuration_version = 0;
  /// Since the last renewal in the group that was answered was sent; nothing
  /// before there was one, as in a reserve that hasn't joined.
  std::optional<core::duration> renewed_ago;
  /// The most since the last line; see `loop_lag_monitor`.
  core::duration loop_lag{};
  /// See `job_world::WatchedJobCopyAge`; nothing without an owned pool.
  std::optional<core::duration> job_copy_age;
  /// Processor time since the last line, and how long ago that was.
  std::optional<cpu_times> cpu_time;
  core::duration cpu_time_interval{};
};

/// Returns the fields of the line `process state`. `owns` lists partitions as
/// "PARTITION@EPOCH", with a "?" after one that is being taken over.
/// Thread safety: safe from any thread.
observe::log_fields FormatProcessState(const process_state& state);

/// Tells when the line is due: after `kStateTimeInterval`, and after
/// `kStateLineInterval` lines of other kinds, so that the end of the log has
/// one however busy the process is. Pure: it doesn't look at a clock. Not
/// thread-safe.
class state_log_schedule {
 public:
  /// `lines` is the count of lines that the process has written. Returns
  /// whether to write the line now.
  bool IsDue(core::time_point now, std::uint64_t lines);

 private:
  core::time_point last_at_;
  std::uint64_t last_lines_ = 0;
};

inline constexpr std::chrono::seconds kStateTimeInterval{10};
/// 100 lines take 20 KB of the 55 KB that a collector keeps of a log, which
/// leaves room for what is written between two looks.
inline constexpr std::uint64_t kStateLineInterval = 100;
/// Time between two looks. An owner of a grown deployment wrote 55 KB in 0.5 s
/// at its busiest, thus 11 KB in this time.
inline constexpr std::chrono::milliseconds kStateCheckInterval{100};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PROCESS_STATE_H_
