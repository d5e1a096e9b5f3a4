#ifndef PLANTAINHEAD_SRC_JOBS_JOB_RECORDER_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_RECORDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "jobs/job_meters.h"
#include "jobs/store_view.h"
#include "net/http_message.h"
#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Timeouts and limits of a job recorder.
struct recorder_settings {
  /// Timeout of an append. A second append does not help a slow store, so the
  /// timeout covers an append that takes 50 times as long as usual (0.2 s)
  /// behind a run of ten others.
  std::chrono::milliseconds append_timeout = std::chrono::milliseconds(1400);
  /// Interval at which the store is read for a record whose append is
  /// unanswered, so that a caller whose job is stored does not wait for a lost
  /// response.
  std::chrono::milliseconds check_interval = std::chrono::milliseconds(350);
  /// Maximum number of concurrent appends to one partition: a second one makes
  /// progress while the first waits for a response that was lost.
  std::size_t max_in_flight = 2;
  std::chrono::milliseconds retry_pause = std::chrono::milliseconds(60);
  /// Time for which an append is retried while the store refuses it, which it
  /// does within milliseconds. Callers do not notice outages that end within
  /// this time.
  std::chrono::milliseconds max_rejection_time = std::chrono::milliseconds(500);
  /// Value of Retry-After of a 503 response. Outages of the store last seconds;
  /// a shorter time would bring the caller back during the same outage.
  std::chrono::seconds retry_after = std::chrono::seconds(1);
};

/// The kind of record that a caller's request stores.
enum class record_purpose { kJob, kCancel };

inline constexpr core::name_table<record_purpose, 2> kRecordPurposeNames = {{
    {record_purpose::kJob, "job"},
    {record_purpose::kCancel, "cancel"},
}};
inline constexpr const auto& NamesOf(record_purpose) {
  return kRecordPurposeNames;
}

/// A record to store for a caller's request.
struct record_request {
  adapter::keyed_record record;
  record_purpose purpose = record_purpose::kJob;
  core::jobs::job_id id;
  /// Partition of the job topic.
  std::uint32_t partition = 0;
  core::time_point deadline;
  /// True if another process may have appended the record, or may still do so.
  bool may_be_appended = false;
};

/// Counts of recorded requests by outcome.
struct recorder_counts {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t cancelled = 0;
};

/// Appends callers' records to the store, and responds when the outcome is
/// known:
/// - 200: the record is stored;
/// - 503: no append of the record can reach the log;
/// - 504: an append may still reach the log; it is safe to repeat the request
///   with the same id.
/// Not thread-safe.
class job_recorder {
 public:
  job_recorder(boost::asio::io_context* context,
               adapter::store_client* store,
               store_view* view,
               job_meters* meters,
               const recorder_settings& settings);
  job_recorder(const job_recorder&) = delete;
  job_recorder& operator=(const job_recorder&) = delete;
  ~job_recorder();

  /// Stores the record once for all callers that request it at the same time.
  void Store(const record_request& request, const net::responder& respond);
  const recorder_counts& counts() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_RECORDER_H_
