#ifndef PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_
#define PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_

#include <cstdint>
#include <optional>

#include "plantainhead/core/jobs/vm_life.h"
#include "plantainhead/core/names.h"

namespace plantainhead::core::jobs {

/// How a run was lost with its VM, so that nothing tells how it ended.
enum class loss_kind {
  /// That life of the VM is over. It had answered the start, and hadn't listed
  /// the run a while after that.
  kCrashAtStart,
  /// That life of the VM is over, and it may not have got the start.
  kCrashUnanswered,
  /// That life of the VM is over; it had listed the run a while after its
  /// start.
  kCrashLater,
  /// The VM's lease is over, and it hadn't listed the run a while after its
  /// start. The VM may live.
  kSilenceAtStart,
  /// The VM's lease is over; it had listed the run by then. The VM may live.
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
  /// The VM that lost it, or may have. If that life of it is heard again, the
  /// run wasn't lost.
  vm_id vm;
  vm_incarnation incarnation = std::nullopt;

  bool operator==(const run_loss&) const = default;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_RUN_LOSS_H_
