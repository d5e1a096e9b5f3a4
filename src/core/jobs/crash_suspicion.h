#ifndef PLANTAINHEAD_SRC_CORE_JOBS_CRASH_SUSPICION_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_CRASH_SUSPICION_H_

#include <vector>

#include "plantainhead/core/jobs/run_loss.h"

namespace plantainhead::core::jobs {

/// Rates how likely a task is to crash the VMs that start it.
enum class suspicion {
  kNone,
  /// The task starts in isolation, so that the next crash can be attributed.
  kSuspected,
  /// The task must not start again.
  kCertain,
};

/// Returns whether a loss of this kind counts as evidence against the task. A
/// VM that stops answering long after a start was most likely disconnected.
bool IsEvidence(loss_kind kind);

/// Rates a task by the runs that it lost with their VMs, in any order. Thread
/// safety: safe from any thread.
suspicion SuspicionOf(const std::vector<run_loss>& losses);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_CRASH_SUSPICION_H_
