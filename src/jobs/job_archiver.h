#ifndef PLANTAINHEAD_SRC_JOBS_JOB_ARCHIVER_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_ARCHIVER_H_

#include <chrono>
#include <memory>

#include "jobs/record_outbox.h"
#include "plantainhead/core/jobs/job_types.h"
#include "platform/store_client.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// Interval between two appends to a partition. One append covers the jobs that
/// have ended since the last one; every call to the store is charged, and no
/// caller waits for it.
inline constexpr std::chrono::milliseconds kArchiveInterval =
    std::chrono::seconds(3);

/// Compacts the records of accepted jobs that have ended: replaces each
/// submission by a short record.
///
/// A process that starts reads the newest record of every job, over a link that
/// may carry only 10 Mbit/s. With whole submissions (1.2 KB or more each) 2300
/// jobs take 3 s to read, and the time rises towards a large part of a minute
/// during a day. The short record holds all that is needed of an ended job:
/// that it was accepted, and how it ended. It is written after the owner's own
/// record of the end, so losing it or writing it twice changes nothing. Not
/// thread-safe.
class job_archiver {
 public:
  job_archiver(boost::asio::io_context* context,
               adapter::store_client* store,
               const outbox_settings& settings);
  job_archiver(const job_archiver&) = delete;
  job_archiver& operator=(const job_archiver&) = delete;
  ~job_archiver();

  /// Precondition: the store holds a record of the job's end.
  void Add(const core::jobs::queue_id& queue,
           const core::jobs::job_id& job,
           core::jobs::job_phase phase);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_ARCHIVER_H_
