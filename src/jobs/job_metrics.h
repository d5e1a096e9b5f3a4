#ifndef PLANTAINHEAD_SRC_JOBS_JOB_METRICS_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "jobs/submissions.h"
#include "net/http_server.h"
#include "plantainhead/core/jobs/pool_scheduler.h"
#include "plantainhead/core/jobs/record_faults.h"
#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// Values that a process of the job scheduler exports as metrics at one moment.
struct job_metrics_snapshot {
  submission_counts submissions;
  bool is_ready = false;
  /// Counts by partition, for the partitions that the process owns.
  std::map<std::uint32_t, core::jobs::scheduler_counts> pools;
  std::size_t known_jobs = 0;
  /// Estimated memory of the open jobs, in bytes.
  std::size_t job_memory = 0;
  /// Accepted jobs for which there is no memory.
  std::size_t unopened_jobs = 0;
  /// See `store_view::WatchedJobCopyAge`; not set if the process owns no pool.
  std::optional<core::duration> job_copy_age;
  std::uint64_t configuration_version = 0;
  core::jobs::record_fault_counter::counts_by_fault faults;
  /// Number of keys whose newest record is invalid.
  std::size_t faulty_keys = 0;
  /// Requests refused and connections closed for a limit, by listener.
  std::map<std::pair<std::string, net::server_limit>, std::uint64_t>
      server_limits;
  /// Bytes held for requests, of those that are bounded.
  std::size_t request_memory = 0;
};

/// Formats the snapshot as Prometheus text (version 0.0.4).
/// Thread safety: safe from any thread.
std::string FormatMetrics(const job_metrics_snapshot& snapshot);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_METRICS_H_
