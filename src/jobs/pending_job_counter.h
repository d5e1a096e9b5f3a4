#ifndef PLANTAINHEAD_SRC_JOBS_PENDING_JOB_COUNTER_H_
#define PLANTAINHEAD_SRC_JOBS_PENDING_JOB_COUNTER_H_

#include <chrono>
#include <memory>

#include "jobs/job_world.h"
#include "net/http_message.h"
#include "plantainhead/core/jobs/routing.h"

namespace plantainhead::jobs {

/// Tells how many accepted jobs of a queue wait. Used by the owner of the
/// queue's pool.
///
/// Other processes may have stored jobs that the owner hasn't read: not at all
/// while a read hangs, so that none was told to wait when six had for 5 s. So
/// the store is asked before each answer. Without its answer the number isn't
/// known, and none is told. The wait for it is bounded by two of a call's
/// timeouts, as a read that is under way is waited for.
/// Not thread-safe.
class pending_job_counter {
 public:
  /// `world` outlives the object. `retry_after` goes with refusals.
  pending_job_counter(job_world* world, std::chrono::seconds retry_after);
  pending_job_counter(const pending_job_counter&) = delete;
  pending_job_counter& operator=(const pending_job_counter&) = delete;
  ~pending_job_counter();

  /// Answers with the number, or refuses; at once or later, unless the object
  /// is destroyed before.
  void Answer(const core::jobs::queue_route& route,
              const net::responder& respond);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PENDING_JOB_COUNTER_H_
