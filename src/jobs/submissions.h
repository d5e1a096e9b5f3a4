#ifndef PLANTAINHEAD_SRC_JOBS_SUBMISSIONS_H_
#define PLANTAINHEAD_SRC_JOBS_SUBMISSIONS_H_

#include <chrono>
#include <cstdint>
#include <memory>

#include "jobs/job_meters.h"
#include "jobs/job_recorder.h"
#include "jobs/owner_relay.h"
#include "jobs/store_view.h"
#include "net/http_message.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Timeouts of requests, and the settings of their recorder.
struct submission_settings {
  recorder_settings recorder;
  /// Timeout of a request that has no timeout header.
  std::chrono::milliseconds default_timeout = std::chrono::seconds(3);
  /// A response is sent at least this long before the caller's timeout.
  std::chrono::milliseconds response_margin = std::chrono::milliseconds(250);
  /// Fraction of a request's remaining time that the owner gets to answer. The
  /// rest is left for storing the record without the owner.
  double owner_time_share = 0.6;
  /// Value of Retry-After when the owner of a pool cannot be reached: about as
  /// long as a pool has no owner after its owner was lost.
  std::chrono::seconds retry_after = std::chrono::seconds(1);
  /// Value of Retry-After when there is no memory for another job: jobs have to
  /// end first.
  std::chrono::seconds memory_retry_after = std::chrono::seconds(5);
};

/// Counts of requests by outcome.
struct submission_counts {
  recorder_counts records;
  relay_counts relayed;
  std::uint64_t repeated = 0;
  std::uint64_t refused = 0;
  std::uint64_t queries = 0;
  std::uint64_t unknown_route = 0;
  std::uint64_t malformed = 0;
};

/// Handles callers' requests: accepts jobs and cancellations, and answers
/// queries about states and numbers of jobs.
///
/// A request is forwarded to the owner of its queue's pool, which knows the
/// queue's jobs without asking the store. If no owner answers, this process
/// stores jobs and cancellations itself; states and counts are not available
/// then.
///
/// Responses:
/// - 200: the record is stored.
/// - 503: no append of the record can reach the log; the caller may submit
///   again later.
/// - 504: an append may still reach the log; it is safe to repeat the request
///   with the same id.
/// Not thread-safe.
class submissions {
 public:
  struct dependencies {
    boost::asio::io_context* context = nullptr;
    adapter::store_client* store = nullptr;
    store_view* view = nullptr;
    job_meters* meters = nullptr;
    owner_relay::dependencies relay;
  };

  submissions(const dependencies& dependencies,
              const submission_settings& settings);
  submissions(const submissions&) = delete;
  submissions& operator=(const submissions&) = delete;
  ~submissions();

  /// Handles a request of a caller, or one that another process forwarded.
  void Handle(const net::server_request& request,
              const net::responder& respond);
  submission_counts counts() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_SUBMISSIONS_H_
