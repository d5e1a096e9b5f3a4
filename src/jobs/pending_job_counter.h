#ifndef PLANTAINHEAD_SRC_JOBS_PENDING_JOB_COUNTER_H_
#define PLANTAINHEAD_SRC_JOBS_PENDING_JOB_COUNTER_H_

#include <chrono>
#include <memory>

#include "jobs/store_view.h"
#include "net/http_message.h"
#include "plantainhead/core/jobs/routing.h"

namespace plantainhead::jobs {

/// Answers requests for the number of accepted jobs that wait in a queue. Used
/// by the owner of the queue's pool.
///
/// Other processes may have stored jobs that the owner has not read yet. When a
/// read hung, the owner reported no waiting jobs although six had been waiting
/// for 5 s. Therefore the store is read before each answer. If the store does
/// not answer, the number is unknown and the request is refused. The wait is
/// limited to twice the timeout of a store call, as a read in progress has to
/// finish first.
/// Not thread-safe.
class pending_job_counter {
 public:
  /// Precondition: `view` outlives this object. `retry_after` is sent with
  /// refusals.
  pending_job_counter(store_view* view, std::chrono::seconds retry_after);
  pending_job_counter(const pending_job_counter&) = delete;
  pending_job_counter& operator=(const pending_job_counter&) = delete;
  ~pending_job_counter();

  /// Responds with the number of waiting jobs, or with a refusal, immediately
  /// or later. Does not respond if this object is destroyed before.
  void Answer(const core::jobs::queue_route& route,
              const net::responder& respond);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_PENDING_JOB_COUNTER_H_
