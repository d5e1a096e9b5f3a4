#ifndef PLANTAINHEAD_SRC_CORE_JOBS_CRASH_SUSPICION_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_CRASH_SUSPICION_H_

#include <vector>

#include "plantainhead/core/jobs/run_loss.h"

namespace plantainhead::core::jobs {

/// How likely a task crashes the VMs that start it.
enum class suspicion {
  kNone,
  /// It starts apart from others, so that the next crash tells.
  kSuspected,
  /// It must not start again.
  kCertain,
};

/// Returns whether such a loss says anything about the task. A VM that falls
/// silent long after a start was most likely cut off.
bool IsEvidence(loss_kind kind);

/// Judges a task by the runs that it lost with their VMs, in any order. Thread
/// safety: safe from any thread.
suspicion SuspicionOf(const std::vector<run_loss>& losses);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_CRASH_SUSPICION_H_
