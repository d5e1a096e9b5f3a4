#ifndef PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_
#define PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_

#include "plantainhead/core/names.h"

namespace plantainhead::core::jobs {

/// How a run was lost with its VM, so that nothing tells how it ended.
enum class loss_kind {
  /// That life of the VM is over, and it had never listed the run.
  kCrashAtStart,
  /// That life of the VM is over; it had listed the run.
  kCrashLater,
  /// The VM's lease is over, and it had never listed the run. The VM may live.
  kSilenceAtStart,
  /// The VM's lease is over; it had listed the run. The VM may live.
  kSilenceLater,
};

inline constexpr name_table<loss_kind, 4> kLossKindNames = {{
    {loss_kind::kCrashAtStart, "crash at start"},
    {loss_kind::kCrashLater, "crash later"},
    {loss_kind::kSilenceAtStart, "silence at start"},
    {loss_kind::kSilenceLater, "silence later"},
}};
inline constexpr const auto& NamesOf(loss_kind) {
  return kLossKindNames;
}

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_
