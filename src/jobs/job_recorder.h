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

struct recorder_settings {
  /// For the store's answer to an append. A slow store is not helped by a
  /// second append, so that it is long enough for one that takes 50 times as
  /// long as usual (0.2 s) with ten in a row before it.
  std::chrono::milliseconds append_timeout = std::chrono::milliseconds(1400);
  /// An append without an answer is looked for in the store at this interval: a
  /// caller whose job is stored needn't wait for an answer that was lost.
  std::chrono::milliseconds check_interval = std::chrono::milliseconds(350);
  /// Appends to one partition that are under way at once: a second one carries
  /// on while the first, whose answer was lost, is waited for.
  std::size_t max_in_flight = 2;
  std::chrono::milliseconds retry_pause = std::chrono::milliseconds(60);
  /// How long a request is tried while the store refuses it, which it does
  /// within milliseconds: outages that end within it aren't noticed.
  std::chrono::milliseconds max_rejection_time = std::chrono::milliseconds(500);
  /// What a caller is told to wait after a refusal. Outages of the store last
  /// seconds; a shorter time would bring the caller back into the same one.
  std::chrono::seconds retry_after = std::chrono::seconds(1);
};

/// What a caller wants to have stored of a job.
enum class record_purpose { kJob, kCancel };

inline constexpr core::name_table<record_purpose, 2> kRecordPurposeNames = {{
    {record_purpose::kJob, "job"},
    {record_purpose::kCancel, "cancel"},
}};
inline constexpr const auto& NamesOf(record_purpose) {
  return kRecordPurposeNames;
}

/// A record to be stored for a caller.
struct record_request {
  adapter::keyed_record record;
  record_purpose purpose = record_purpose::kJob;
  core::jobs::job_id id;
  /// Of the topic of jobs.
  std::uint32_t partition = 0;
  core::time_point deadline;
  /// Another process may have appended the record already, or may yet.
  bool may_be_appended = false;
};

struct recorder_counts {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t cancelled = 0;
};

/// Stores callers' records, and answers when that is settled:
/// - 200: the record is stored;
/// - 503: no append of it can land;
/// - 504: one may still land; the same id is safe to repeat.
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

  /// Stores the record, once for all callers that want it at the same time.
  void Store(const record_request& request, const net::responder& respond);
  const recorder_counts& counts() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_RECORDER_H_
