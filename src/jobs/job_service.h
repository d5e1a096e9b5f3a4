#ifndef PLANTAINHEAD_SRC_JOBS_JOB_SERVICE_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_SERVICE_H_

#include <functional>
#include <memory>

#include "plantainhead/settings/scheduler_settings.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// One process of the job scheduler: takes callers' jobs, and owns the pools
/// that the store's group deals to it. All processes are alike.
/// Not thread-safe: used from the thread of its `io_context` only.
class job_service {
 public:
  /// Throws `std::invalid_argument` or `boost::system::system_error` when an
  /// address can't be used.
  job_service(boost::asio::io_context* context,
              const settings::scheduler_process_settings& settings);
  job_service(const job_service&) = delete;
  job_service& operator=(const job_service&) = delete;
  ~job_service();

  void Start();
  /// Sets the time between a request to stop and the end by force, also while
  /// the process stops.
  void SetStopGrace(core::duration grace);
  /// Hands its pools over, answers what it has been asked, and then calls
  /// `on_stopped`, within the settings' grace.
  void Stop(std::function<void()> on_stopped);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_SERVICE_H_
