#ifndef PLANTAINHEAD_SRC_JOBS_STORE_OUTAGE_TRACKER_H_
#define PLANTAINHEAD_SRC_JOBS_STORE_OUTAGE_TRACKER_H_

#include <chrono>
#include <optional>

#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// A loss of the store that is over.
struct store_recovery {
  /// How often calls that failed came after ones that were answered.
  unsigned interruptions = 0;
  /// From the first call that failed to the answer since which none has.
  core::duration lost_for{};
  /// How long answers had come when this was told.
  core::duration answered_for{};

  friend bool operator==(const store_recovery&,
                         const store_recovery&) = default;
};

/// Tells when the store is lost and when it is back. Around an outage some
/// calls are answered and others fail, dozens of times in a second; two lines
/// of the log for each pair would push the rest out of it. So the first loss is
/// told at once, and the return when answers have come without a failure for
/// `kRecoveryTime`.
///
/// Pure: it neither writes nor looks at a clock. Not thread-safe.
class store_outage_tracker {
 public:
  /// Notes that a call failed. Returns whether that is to be told.
  bool NoteFailure(core::time_point now);
  /// Notes that a call was answered. Returns what is to be told, if anything.
  std::optional<store_recovery> NoteAnswer(core::time_point now);

 private:
  struct outage {
    core::time_point began;
    unsigned interruptions = 1;
    /// Since the last failure.
    std::optional<core::time_point> answered_since;
  };
  std::optional<outage> outage_;
};

/// Answers without a failure for this long end a loss. In the logs of nine
/// processes around two outages, 101 of 140 returns were followed by a failure
/// within 2.1 s, and none between that and 3.4 s.
inline constexpr std::chrono::milliseconds kRecoveryTime{2500};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_STORE_OUTAGE_TRACKER_H_
