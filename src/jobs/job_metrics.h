#ifndef PLANTAINHEAD_SRC_JOBS_JOB_METRICS_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jobs/submissions.h"
#include "plantainhead/core/jobs/pool_scheduler.h"
#include "plantainhead/core/jobs/record_faults.h"
#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// What a process of the job scheduler reports of itself.
struct job_figures {
  submission_counts submissions;
  bool is_ready = false;
  /// By partition, of those that it owns.
  std::map<std::uint32_t, core::jobs::scheduler_counts> pools;
  std::size_t known_jobs = 0;
  /// See `job_world::WatchedJobCopyAge`; nothing without an owned pool.
  std::optional<core::duration> job_copy_age;
  std::uint64_t configuration_version = 0;
  core::jobs::record_fault_counter::counts_by_fault faults;
  /// Keys that hold a record that can't be used now.
  std::size_t faulty_keys = 0;
};

/// Returns the figures as Prometheus text (version 0.0.4).
/// Thread safety: safe from any thread.
std::string FormatMetrics(const job_figures& figures);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_METRICS_H_
