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

struct submission_settings {
  recorder_settings recorder;
  /// A caller without a header waits this long.
  std::chrono::milliseconds default_timeout = std::chrono::seconds(3);
  /// An answer leaves this long before the caller gives up.
  std::chrono::milliseconds response_margin = std::chrono::milliseconds(250);
  /// Of the time that a request has left, the share that an owner gets to
  /// answer it. The rest is for the store, if the owner doesn't.
  double owner_time_share = 0.6;
  /// What a caller is told to wait when a pool's owner can't be asked: about
  /// as long as a pool has none after its owner was lost.
  std::chrono::seconds retry_after = std::chrono::seconds(1);
};

/// Counts by outcome.
struct submission_counts {
  recorder_counts records;
  relay_counts relayed;
  std::uint64_t repeated = 0;
  std::uint64_t refused = 0;
  std::uint64_t queries = 0;
  std::uint64_t unknown_route = 0;
  std::uint64_t malformed = 0;
};

/// Answers callers: takes jobs and cancellations, and tells states.
///
/// A request goes to the owner of its queue's pool, which knows the jobs of it
/// without asking the store. Where no owner answers, jobs and cancellations are
/// stored by this process itself; states and numbers aren't known then.
///
/// What a caller is told:
/// - accepted: the job's record is stored.
/// - refused (503): no append of the job can land, and a caller that comes back
///   later starts afresh.
/// - no answer (504): an append may still land; the same id is safe to repeat.
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

  /// Handles a request of a caller, or one that another process passed on.
  void Handle(const net::server_request& request,
              const net::responder& respond);
  submission_counts counts() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_SUBMISSIONS_H_
