#include "core/jobs/crash_suspicion.h"

#include <algorithm>
#include <cstddef>

namespace plantainhead::core::jobs {
namespace {

// Two crashes in a row right after a start are rarely coincidental.
constexpr std::size_t kCertainAtStart = 2;
// Another task may be the cause of later crashes.
constexpr std::size_t kCertainCrashes = 4;
// The VM may have been gone or disconnected before the start arrived. Five such
// losses are unlikely to be coincidental, and one more start could be the third
// one after three crashes.
constexpr std::size_t kCertainLosses = 5;
constexpr std::size_t kSuspectedAtStart = 1;
constexpr std::size_t kSuspectedOtherwise = 2;

}  // namespace

bool IsEvidence(loss_kind kind) {
  return kind != loss_kind::kSilenceLater;
}

suspicion SuspicionOf(const std::vector<run_loss>& losses) {
  if (losses.empty()) {
    return suspicion::kNone;
  }
  const auto count = [&losses](loss_kind kind) {
    return static_cast<std::size_t>(std::count_if(
        losses.begin(), losses.end(),
        [kind](const run_loss& loss) { return loss.kind == kind; }));
  };
  const std::size_t at_start = count(loss_kind::kCrashAtStart);
  const std::size_t uncertain =
      count(loss_kind::kCrashUnanswered) + count(loss_kind::kSilenceAtStart);
  const std::size_t later = count(loss_kind::kCrashLater);
  if (at_start >= kCertainAtStart || at_start + later >= kCertainCrashes ||
      losses.size() >= kCertainLosses) {
    return suspicion::kCertain;
  }
  const bool is_suspected =
      at_start >= kSuspectedAtStart || uncertain + later >= kSuspectedOtherwise;
  return is_suspected ? suspicion::kSuspected : suspicion::kNone;
}

}  // namespace plantainhead::core::jobs
