#ifndef PLANTAINHEAD_CORE_JOBS_WAIT_TIME_TRACKER_H_
#define PLANTAINHEAD_CORE_JOBS_WAIT_TIME_TRACKER_H_

#include <array>
#include <cstddef>
#include <optional>

#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// What keeps tasks from starting whose step is open.
enum class wait_cause {
  /// No VM of the pool has room for them.
  kCapacity,
  /// What earlier runs of them did isn't known, or isn't stored, yet.
  kRecovery,
  /// The job wasn't known to its owner, or isn't known not to be cancelled.
  kReading,
  /// As many starts as the owner's link bears are without an answer.
  kAnswers,
};

inline constexpr name_table<wait_cause, 4> kWaitCauseNames = {{
    {wait_cause::kCapacity, "room"},
    {wait_cause::kRecovery, "recovery"},
    {wait_cause::kReading, "reading"},
    {wait_cause::kAnswers, "answers"},
}};
inline constexpr const auto& NamesOf(wait_cause) {
  return kWaitCauseNames;
}

/// How long tasks of a job have waited, by cause. The time in which several of
/// them wait counts once. Pure and not thread-safe.
class wait_time_tracker {
 public:
  /// Notes what tasks wait for from now on; nothing: none waits.
  /// Precondition: times don't fall.
  void SetCause(std::optional<wait_cause> cause, time_point now);
  duration waited(wait_cause cause) const {
    return waited_.at(static_cast<std::size_t>(cause));
  }
  duration total() const;
  /// Returns the cause of most of the time; room when nothing has waited.
  wait_cause MainCause() const;

 private:
  std::array<duration, kWaitCauseNames.size()> waited_{};
  /// What is waited for, and since when.
  std::optional<wait_cause> cause_;
  time_point since_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_WAIT_TIME_TRACKER_H_
