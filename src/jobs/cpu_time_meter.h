#ifndef PLANTAINHEAD_SRC_JOBS_CPU_TIME_METER_H_
#define PLANTAINHEAD_SRC_JOBS_CPU_TIME_METER_H_

#include <array>
#include <cstddef>
#include <functional>
#include <string>

#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// What the thread of all work spends its processor time on.
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
  /// All that isn't metered by itself: sockets, callers, the store's answers.
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

/// Processor time by kind of work.
using cpu_times = std::array<core::duration, kLoopWorkNames.size()>;

/// Returns for instance "plan 12, holds 31": milliseconds, without the kinds
/// that took none. Thread safety: safe from any thread.
std::string ToText(const cpu_times& times);

/// Meters the processor time of the thread of all work by kind. The lag of the
/// loop is the time of one turn, however much waits behind it; a loop without
/// any time left shows only here. Not thread-safe.
class cpu_time_meter {
 public:
  /// Returns the processor time that the thread has used.
  using clock = std::function<core::duration()>;

  explicit cpu_time_meter(clock clock);
  cpu_time_meter(const cpu_time_meter&) = delete;
  cpu_time_meter& operator=(const cpu_time_meter&) = delete;

  /// Counts the time until its end for one kind of work. Scopes nest: the time
  /// of an inner one counts for its own kind only.
  class scope {
   public:
    /// Preconditions: `meter` outlives it, and it ends before any scope that
    /// was begun earlier.
    scope(cpu_time_meter* meter, loop_work kind);
    scope(const scope&) = delete;
    scope& operator=(const scope&) = delete;
    ~scope();

   private:
    cpu_time_meter* meter_;
    loop_work outer_kind_;
  };

  /// Returns what each kind of work has taken since the meter was made.
  cpu_times Totals();

 private:
  /// Counts the time since the last change for the present kind.
  void ChangeTo(loop_work kind);

  clock clock_;
  core::duration counted_until_;
  loop_work current_kind_ = loop_work::kOther;
  cpu_times totals_{};
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_CPU_TIME_METER_H_
