#ifndef PLANTAINHEAD_SRC_JOBS_JOB_SERVICE_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_SERVICE_H_

#include <functional>
#include <memory>

#include "plantainhead/settings/scheduler_settings.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// Runs one process of the job scheduler: accepts jobs from callers, and
/// schedules the pools that the store's consumer group assigns to it. All
/// processes are alike. Not thread-safe: used from the thread of its
/// `io_context` only.
class job_service {
 public:
  /// Throws `std::invalid_argument` or `boost::system::system_error` if an
  /// address cannot be used.
  job_service(boost::asio::io_context* context,
              const settings::scheduler_process_settings& settings);
  job_service(const job_service&) = delete;
  job_service& operator=(const job_service&) = delete;
  ~job_service();

  void Start();
  /// Sets the time between a stop request and the forced end; may also be
  /// called while the process is stopping.
  void SetStopGrace(core::duration grace);
  /// Releases its pools, answers the pending requests, and then calls
  /// `on_stopped`, at the latest when the configured grace period ends.
  void Stop(std::function<void()> on_stopped);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_SERVICE_H_
