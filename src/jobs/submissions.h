#ifndef PLANTAINHEAD_SRC_JOBS_SUBMISSIONS_H_
#define PLANTAINHEAD_SRC_JOBS_SUBMISSIONS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_meters.h"
#include "jobs/job_world.h"
#include "net/http_message.h"
#include "plantainhead/core/time.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

struct submission_settings {
  /// For the store's answer to an append. A slow store is not helped by a
  /// second append, so that it is long enough for one that takes 50 times as
  /// long as usual (0.2 s) with ten in a row before it.
  std::chrono::milliseconds append_timeout = std::chrono::milliseconds(1400);
  /// An append without an answer is looked for in the store at this interval: a
  /// caller whose job is stored needn't wait for an answer that was lost.
  std::chrono::milliseconds look_interval = std::chrono::milliseconds(350);
  /// Appends to one partition that are under way at once: a second one carries
  /// on while the first, whose answer was lost, is waited for.
  std::size_t most_in_flight = 2;
  std::chrono::milliseconds retry_pause = std::chrono::milliseconds(60);
  /// How long a request is tried while the store refuses it, which it does
  /// within milliseconds: outages that end within it aren't noticed.
  std::chrono::milliseconds refusal_limit = std::chrono::milliseconds(500);
  /// A caller without a header waits this long.
  std::chrono::milliseconds default_patience = std::chrono::seconds(3);
  /// An answer leaves this long before the caller gives up.
  std::chrono::milliseconds answer_reserve = std::chrono::milliseconds(250);
  /// What a caller is told to wait after a refusal. Outages of the store last
  /// seconds; a shorter time would bring the caller back into the same one.
  std::chrono::seconds retry_after = std::chrono::seconds(1);
};

/// Counts by outcome.
struct submission_counts {
  std::uint64_t accepted = 0;
  std::uint64_t repeated = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t queries = 0;
  std::uint64_t unknown_route = 0;
  std::uint64_t malformed = 0;
};

/// Answers callers: takes jobs and cancellations, and tells states.
///
/// What a caller is told:
/// - accepted: the job's record is stored.
/// - refused (503): no append of the job can land, and a caller that comes back
///   later starts afresh.
/// - no answer (504): an append may still land; the same id is safe to repeat.
/// Not thread-safe.
class submissions {
 public:
  submissions(boost::asio::io_context* context,
              adapter::store_client* store,
              job_world* world,
              job_meters* meters,
              const submission_settings& settings);
  submissions(const submissions&) = delete;
  submissions& operator=(const submissions&) = delete;
  ~submissions();

  void Handle(const net::server_request& request,
              const net::responder& respond);
  const submission_counts& counts() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_SUBMISSIONS_H_
