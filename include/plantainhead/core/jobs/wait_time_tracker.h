#ifndef PLANTAINHEAD_CORE_JOBS_WAIT_TIME_TRACKER_H_
#define PLANTAINHEAD_CORE_JOBS_WAIT_TIME_TRACKER_H_

#include <array>
#include <cstddef>
#include <optional>

#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Why tasks whose step is ready do not start.
enum class wait_cause {
  /// No VM of the pool has enough free capacity for them.
  kCapacity,
  /// The outcome of their earlier runs is not yet known or not yet stored.
  kRecovery,
  /// The owner has not read the job yet, or does not know yet whether it was
  /// cancelled.
  kReading,
  /// The number of unanswered start orders has reached the limit of the owner's
  /// connection.
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

/// Accumulates how long tasks of a job have waited, by cause. Time during which
/// several tasks wait is counted once. Pure and not thread-safe.
class wait_time_tracker {
 public:
  /// Sets the cause for which tasks wait from now on; `nullopt` if none waits.
  /// Precondition: times never decrease.
  void SetCause(std::optional<wait_cause> cause, time_point now);
  duration waited(wait_cause cause) const {
    return waited_.at(static_cast<std::size_t>(cause));
  }
  duration total() const;
  /// Returns the cause with the longest wait time; `kCapacity` if nothing has
  /// waited.
  wait_cause MainCause() const;

 private:
  std::array<duration, kWaitCauseNames.size()> waited_{};
  /// The current cause, and since when it applies.
  std::optional<wait_cause> cause_;
  time_point since_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_WAIT_TIME_TRACKER_H_
