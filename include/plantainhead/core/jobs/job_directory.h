#ifndef PLANTAINHEAD_CORE_JOBS_JOB_DIRECTORY_H_
#define PLANTAINHEAD_CORE_JOBS_JOB_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

#include "plantainhead/core/jobs/job_types.h"

namespace plantainhead::core::jobs {

/// What an entry knows of one job from the store.
struct directory_entry {
  /// Kept until the job has ended. Null also while only a record of its
  /// progress has been read.
  std::shared_ptr<const job_spec> spec;
  pool_id pool;
  queue_id queue;
  bool is_accepted = false;
  bool is_cancelled = false;
  job_progress progress;

  /// Returns the phase to tell callers.
  job_phase Phase() const;
};

/// All jobs, as an entry has read them from the store. Records may come in any
/// order and more than once. Not thread-safe.
class job_directory {
 public:
  /// Returns true when the job is new; the first record of an id counts.
  bool AddJob(std::shared_ptr<const job_spec> spec);
  /// Notes a job that was accepted and has ended, and of which nothing else is
  /// kept. Precondition: the phase is final.
  void NoteEnded(const job_id& id, job_phase phase);
  /// Returns true when it is news.
  bool NoteCancel(const job_id& id);
  void NoteProgress(const job_id& id, job_progress progress);

  /// Returns the entry, or null when no submission of the id is known.
  const directory_entry* Find(const job_id& id) const;
  /// Returns how many accepted jobs of the queue have not begun.
  std::size_t Pending(const queue_id& queue) const;
  /// Returns how many jobs haven't ended, by the pool that each was accepted
  /// for and its queue. None is 0.
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
