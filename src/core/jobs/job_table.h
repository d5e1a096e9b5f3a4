#ifndef PLANTAINHEAD_SRC_CORE_JOBS_JOB_TABLE_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_JOB_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/jobs/job_state.h"
#include "plantainhead/core/jobs/orders.h"

namespace plantainhead::core::jobs {

/// Stores the jobs of one pool and tracks which of them must be recorded. Not
/// thread-safe.
class job_table {
 public:
  /// Adds a job that was submitted `age` before `now`. Returns the new job, or
  /// null if the job is known already.
  job_state* Add(std::shared_ptr<const job_spec> spec,
                 const queue_policy& policy,
                 time_point now,
                 duration age);
  /// Returns the job, or null if it is unknown or only known as ended.
  job_state* Find(const job_id& id);
  /// Records a job that ended under an earlier owner.
  void AddEnded(const job_id& id) { ended_.insert(id); }
  /// Replaces a job that has ended by the fact that it has. Returns false, and
  /// changes nothing, if a change of the job is not recorded yet.
  bool Forget(const job_id& id);
  /// Returns whether the job ended under an earlier owner or was forgotten.
  bool IsEnded(const job_id& id) const { return ended_.count(id) != 0; }
  /// Records an accepted job that is not added yet.
  void AddUnopened(const job_id& id) { unopened_.insert(id); }
  bool IsUnopened(const job_id& id) const { return unopened_.count(id) != 0; }
  void SetPolicy(const queue_id& queue, const queue_policy& policy);

  /// Marks the job as changed, and removes it from the open jobs if it has
  /// ended.
  void NoteChange(job_state* job);
  /// Adds the job to the waiting jobs, or removes it from the open jobs if it
  /// has ended.
  void NoteTasks(job_state* job);
  const std::map<job_id, job_state*>& open() const { return open_; }
  /// Returns the open jobs with a waiting task, including some that had one at
  /// the last plan.
  const std::map<job_id, job_state*>& waiting() const { return waiting_; }
  /// Removes the job from the waiting jobs. Precondition: it is known.
  void NoteNoneWaits(const job_id& id) { waiting_.erase(id); }
  /// Return the open jobs with a schedule, and those with a long-running step.
  const std::map<job_id, job_state*>& scheduled() const { return scheduled_; }
  const std::map<job_id, job_state*>& long_running() const {
    return long_running_;
  }

  /// Records that tasks of the job may have losses.
  void NoteLosses(job_state* job);
  /// Returns the open jobs that were passed to `NoteLosses` since the last
  /// call.
  std::vector<job_state*> TakeWithLosses();

  /// Returns the number of the next batch.
  std::uint64_t next_batch() const { return next_batch_; }
  /// Returns the changed jobs as a batch. Returns nothing if there are none and
  /// the batch carries nothing else, as `has_more` states.
  std::optional<progress_batch> TakeBatch(bool has_more);

 private:
  std::unordered_map<job_id, std::unique_ptr<job_state>> jobs_;
  std::map<job_id, job_state*> open_;
  std::map<job_id, job_state*> waiting_;
  std::map<job_id, job_state*> scheduled_;
  std::map<job_id, job_state*> long_running_;
  std::set<job_id> changed_;
  std::set<job_id> with_losses_;
  std::unordered_set<job_id> ended_;
  std::unordered_set<job_id> unopened_;
  std::uint64_t next_batch_ = 1;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_JOB_TABLE_H_
