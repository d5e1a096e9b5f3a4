#ifndef PLANTAINHEAD_CORE_JOBS_JOB_DIRECTORY_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// What an entry process has read about one job from the store.
struct directory_entry {
  /// Null once the job has ended, while only a progress record has been read,
  /// and while the job waits unopened.
  std::shared_ptr<const job_spec> spec;
  pool_id pool;
  queue_id queue;
  bool is_accepted = false;
  bool is_cancelled = false;
  /// See `job_directory::AddUnopened`.
  bool is_unopened = false;
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

/// What is kept of an accepted job that waits until there is memory for it.
struct unopened_job {
  std::size_t bytes = 0;
  std::optional<time_point> submitted_at;
  /// The job is opened as soon as its record is read again.
  bool is_wanted = false;
};

/// Index of all jobs that an entry process has read from the store. Records may
/// arrive in any order and more than once. Not thread-safe.
class job_directory {
 public:
  /// Adds a job and returns whether it is new. Only the first record of an id
  /// counts.
  bool AddJob(std::shared_ptr<const job_spec> spec);
  /// Sets the memory for jobs that have not ended, in bytes. Jobs with progress
  /// may take half as much again.
  void SetMemoryLimit(std::size_t bytes) { memory_limit_ = bytes; }
  std::size_t memory_limit() const { return memory_limit_; }
  /// Returns the memory of the jobs that are open.
  std::size_t memory() const { return memory_; }
  /// Returns whether a job that takes `bytes` may be added.
  bool HasMemoryFor(const job_id& id, std::size_t bytes) const;
  /// Adds a job like `AddJob`, without what it takes memory for. The job is
  /// known and can be cancelled, but cannot run. Does nothing if the job is
  /// known.
  void AddUnopened(const job_spec& spec);
  /// Closes a job again of which no owner in this process knows. Does nothing
  /// if the job is not open.
  void Unopen(const job_id& id);
  /// Requests that an unopened job is opened when its record is read again.
  /// Does nothing if there is no such job.
  void Want(const job_id& id);
  bool IsWanted(const job_id& id) const;
  const std::map<job_id, unopened_job>& unopened() const { return unopened_; }
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
  /// Closes the job of an entry whose spec is set.
  void DropSpec(directory_entry* entry);
  template <typename Change>
  void Update(const job_id& id, Change change);

  std::unordered_map<job_id, directory_entry> entries_;
  std::unordered_map<queue_id, std::size_t> pending_;
  std::map<std::pair<pool_id, queue_id>, std::size_t> open_;
  std::map<job_id, unopened_job> unopened_;
  std::size_t memory_limit_ = std::numeric_limits<std::size_t>::max();
  std::size_t memory_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_JOB_DIRECTORY_H_
