#ifndef PLANTAINHEAD_SRC_JOBS_CALLER_REQUEST_H_
#define PLANTAINHEAD_SRC_JOBS_CALLER_REQUEST_H_

#include "net/http_message.h"
#include "plantainhead/core/jobs/routing.h"
#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// A request about a job or a queue, also one that was passed on, and what it
/// asks for.
struct caller_request {
  core::jobs::queue_route route;
  /// Empty when the request is about the queue.
  core::jobs::job_id id;
  net::server_request request;
  net::responder respond;
  core::time_point deadline;
  /// Wall time at which it came to this process.
  core::time_point received_at;
  /// An owner that left it unanswered may have stored what it asks for.
  bool may_be_appended = false;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_CALLER_REQUEST_H_
