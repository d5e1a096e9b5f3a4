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
  /// 0 while the epoch is not known yet.
  std::uint64_t epoch = 0;
  /// Whether the takeover is complete.
  bool is_active = false;
};

/// State of a process that it logs periodically.
struct process_state {
  std::vector<owned_partition> pools;
  bool owns_fleet = false;
  bool is_ready = false;
  std::uint64_t configuration_version = 0;
  /// Time since the last answered renewal of the group membership was sent;
  /// not set before the first one, for example in a standby process that has
  /// not joined the group.
  std::optional<core::duration> renewed_ago;
  /// Maximum lag since the last state line; see `loop_lag_monitor`.
  core::duration loop_lag{};
  /// See `store_view::WatchedJobCopyAge`; not set if the process owns no pool.
  std::optional<core::duration> job_copy_age;
  /// CPU time used since the last state line, and the time since that line.
  std::optional<cpu_times> cpu_time;
  core::duration cpu_time_interval{};
};

/// Returns the fields of the log line `process state`. The field `owns` lists
/// partitions as "PARTITION@EPOCH", followed by "?" if the partition is still
/// being taken over.
/// Thread safety: safe from any thread.
observe::log_fields FormatProcessState(const process_state& state);

/// Decides when the next process state line is due: after `kStateTimeInterval`,
/// or after `kStateLineInterval` logged lines, so that the end of the log
/// always has a state line, however much the process logs. Pure: it reads no
/// clock. Not thread-safe.
class state_log_schedule {
 public:
  /// Returns whether to log the state now, and starts a new interval if so.
  /// `lines` is the number of lines that the process has logged so far.
  bool IsDue(core::time_point now, std::uint64_t lines);

 private:
  core::time_point last_at_;
  std::uint64_t last_lines_ = 0;
};

/// Maximum time between two state lines.
inline constexpr std::chrono::seconds kStateTimeInterval{10};
/// Number of logged lines after which the state is logged again. 100 lines take
/// 20 KB of the 55 KB that a log collector keeps, which leaves room for the
/// lines that are logged between two checks.
inline constexpr std::uint64_t kStateLineInterval = 100;
/// Interval between two checks of whether the state line is due. An owner in a
/// large deployment logged at most 55 KB in 0.5 s, which is 11 KB per interval.
inline constexpr std::chrono::milliseconds kStateCheckInterval{100};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PROCESS_STATE_H_
