#ifndef PLANTAINHEAD_SRC_JOBS_CPU_TIME_METER_H_
#define PLANTAINHEAD_SRC_JOBS_CPU_TIME_METER_H_

#include <array>
#include <cstddef>
#include <functional>
#include <string>

#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// Kinds of work on which the event loop thread spends its CPU time.
enum class loop_work {
  kPlan,
  kLinks,
  kVacancies,
  kHolds,
  kStarts,
  kProgress,
  kSizing,
  kRegistry,
  kFleetRecords,
  kJobs,
  kFleet,
  /// All work without a kind of its own: sockets, callers' requests, responses
  /// of the store.
  kOther,
};

inline constexpr core::name_table<loop_work, 12> kLoopWorkNames = {{
    {loop_work::kPlan, "plan"},
    {loop_work::kLinks, "links"},
    {loop_work::kVacancies, "vacancies"},
    {loop_work::kHolds, "holds"},
    {loop_work::kStarts, "starts"},
    {loop_work::kProgress, "progress"},
    {loop_work::kSizing, "sizing"},
    {loop_work::kRegistry, "registry"},
    {loop_work::kFleetRecords, "fleet records"},
    {loop_work::kJobs, "jobs"},
    {loop_work::kFleet, "fleet"},
    {loop_work::kOther, "other"},
}};
inline constexpr const auto& NamesOf(loop_work) {
  return kLoopWorkNames;
}

/// CPU time by kind of work.
using cpu_times = std::array<core::duration, kLoopWorkNames.size()>;

/// Formats the times in milliseconds, for example "plan 12, holds 31", without
/// the kinds that took less than 1 ms. Thread safety: safe from any thread.
std::string ToText(const cpu_times& times);

/// Measures the CPU time of the event loop thread by kind of work. The loop lag
/// shows only the duration of one iteration, however much work is queued; only
/// these times show that the loop has no idle time left. Not thread-safe.
class cpu_time_meter {
 public:
  /// Returns the CPU time that the thread has used.
  using clock = std::function<core::duration()>;

  explicit cpu_time_meter(clock clock);
  cpu_time_meter(const cpu_time_meter&) = delete;
  cpu_time_meter& operator=(const cpu_time_meter&) = delete;

  /// Attributes the CPU time during its lifetime to one kind of work. Scopes
  /// may be nested: the time of an inner scope counts only for its own kind.
  class scope {
   public:
    /// Preconditions: `meter` outlives this scope, and this scope is destroyed
    /// before any scope that was created earlier.
    scope(cpu_time_meter* meter, loop_work kind);
    scope(const scope&) = delete;
    scope& operator=(const scope&) = delete;
    ~scope();

   private:
    cpu_time_meter* meter_;
    loop_work outer_kind_;
  };

  /// Returns the CPU time of each kind of work since the meter was created.
  cpu_times Totals();

 private:
  /// Attributes the time since the last change to the current kind, and
  /// switches to `kind`.
  void ChangeTo(loop_work kind);

  clock clock_;
  core::duration counted_until_;
  loop_work current_kind_ = loop_work::kOther;
  cpu_times totals_{};
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_CPU_TIME_METER_H_
