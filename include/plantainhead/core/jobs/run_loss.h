#ifndef PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_
#define PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_

#include <cstdint>
#include <optional>

#include "plantainhead/core/jobs/vm_life.h"
#include "plantainhead/core/names.h"

namespace plantainhead::core::jobs {

/// Classifies how a run was lost together with its VM, so that no VM reports
/// how it ended.
enum class loss_kind {
  /// The incarnation of the VM has ended. It had accepted the start and crashed
  /// before the crash window of the run had passed.
  kCrashAtStart,
  /// The incarnation of the VM has ended, and it may not have received the
  /// start.
  kCrashUnanswered,
  /// The incarnation of the VM has ended after it had listed the run past the
  /// crash window.
  kCrashLater,
  /// The lease of the VM has expired, and the VM had not listed the run past
  /// the crash window. The VM may still be running.
  kSilenceAtStart,
  /// The lease of the VM has expired after it had listed the run past the crash
  /// window. The VM may still be running.
  kSilenceLater,
};

inline constexpr name_table<loss_kind, 5> kLossKindNames = {{
    {loss_kind::kCrashAtStart, "crash at start"},
    {loss_kind::kCrashUnanswered, "crash, start unanswered"},
    {loss_kind::kCrashLater, "crash later"},
    {loss_kind::kSilenceAtStart, "silence at start"},
    {loss_kind::kSilenceLater, "silence later"},
}};
inline constexpr const auto& NamesOf(loss_kind) {
  return kLossKindNames;
}

/// A lost run of a task, as it is recorded.
struct run_loss {
  std::uint32_t run = 0;
  loss_kind kind = loss_kind::kCrashAtStart;
  /// The VM that lost the run, or may have lost it. If the same incarnation of
  /// this VM answers again, the run was not lost.
  vm_id vm;
  vm_incarnation incarnation = std::nullopt;

  bool operator==(const run_loss&) const = default;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_
