#ifndef PLANTAINHEAD_CORE_JOBS_JOB_DIRECTORY_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

#include "plantainhead/core/jobs/job_types.h"

namespace plantainhead::core::jobs {

/// What an entry process has read about one job from the store.
struct directory_entry {
  /// Null once the job has ended, and while only a progress record has been
  /// read.
  std::shared_ptr<const job_spec> spec;
  pool_id pool;
  queue_id queue;
  bool is_accepted = false;
  bool is_cancelled = false;
  job_progress progress;
  /// The partitions of pools that contain progress of the job, as a bit set.
  std::uint64_t progress_partitions = 0;

  bool HasProgress() const { return progress_partitions != 0; }
  /// Precondition: `partition` is below 64.
  bool HasProgressIn(std::uint32_t partition) const {
    return ((progress_partitions >> partition) & 1U) != 0;
  }
  /// Returns the phase to report to callers.
  job_phase Phase() const;
};

/// Index of all jobs that an entry process has read from the store. Records may
/// arrive in any order and more than once. Not thread-safe.
class job_directory {
 public:
  /// Adds a job and returns whether it is new. Only the first record of an id
  /// counts.
  bool AddJob(std::shared_ptr<const job_spec> spec);
  /// Adds an accepted job that has ended and of which only the final phase is
  /// kept. Precondition: the phase is final.
  void NoteEnded(const job_id& id, job_phase phase);
  /// Marks the job as cancelled and returns whether it was not cancelled
  /// before.
  bool NoteCancel(const job_id& id);
  void NoteProgress(const job_id& id, job_progress progress);
  /// Records that a partition of pools contains progress of the job.
  /// Precondition: `partition` is below 64.
  void NoteProgressPartition(const job_id& id, std::uint32_t partition);

  /// Returns the entry, or null if no submission with this id is known.
  const directory_entry* Find(const job_id& id) const;
  /// Returns whether a cancellation of the id is known, also if no submission
  /// is.
  bool IsCancelled(const job_id& id) const;
  /// Returns the number of accepted jobs of the queue that have not started.
  std::size_t Pending(const queue_id& queue) const;
  /// Returns the number of jobs that have not ended, by the pool for which the
  /// job was accepted and by queue. Entries are never 0.
  const std::map<std::pair<pool_id, queue_id>, std::size_t>& OpenJobs() const {
    return open_;
  }
  const std::unordered_map<job_id, directory_entry>& entries() const {
    return entries_;
  }

 private:
  bool IsPending(const directory_entry& entry) const;
  void CountOpen(const directory_entry& entry, bool was_open);
  template <typename Change>
  void Update(const job_id& id, Change change);

  std::unordered_map<job_id, directory_entry> entries_;
  std::unordered_map<queue_id, std::size_t> pending_;
  std::map<std::pair<pool_id, queue_id>, std::size_t> open_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_DIRECTORY_H_
