#ifndef PLANTAINHEAD_SRC_JOBS_CALLER_REQUEST_H_
#define PLANTAINHEAD_SRC_JOBS_CALLER_REQUEST_H_

#include "net/http_message.h"
#include "plantainhead/core/jobs/routing.h"
#include "plantainhead/core/time.h"

namespace plantainhead::jobs {

/// A caller's HTTP request about a job or a queue, received directly or
/// forwarded by another process, with its parsed route and its deadline.
struct caller_request {
  core::jobs::queue_route route;
  /// Empty when the request is about the whole queue.
  core::jobs::job_id id;
  net::server_request request;
  net::responder respond;
  core::time_point deadline;
  /// Wall time at which this process received the request.
  core::time_point received_at;
  /// True if an owner to which the request was forwarded did not answer, and
  /// may have stored the record.
  bool may_be_appended = false;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_CALLER_REQUEST_H_
