#ifndef PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_H_
#define PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "jobs/job_meters.h"
#include "jobs/progress_writer.h"
#include "jobs/store_view.h"
#include "plantainhead/core/jobs/fleet_balancer.h"
#include "plantainhead/core/jobs/host_order_queue.h"
#include "plantainhead/core/jobs/host_order_tracker.h"
#include "plantainhead/core/jobs/maintenance_scheduler.h"
#include "plantainhead/core/jobs/vacancy_checker.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Settings of a `fleet_owner`: the platform's address, timeouts, intervals and
/// the settings of its parts.
struct fleet_settings {
  std::string address;
  core::jobs::maintenance_settings maintenance;
  core::jobs::balancer_settings balancer;
  core::jobs::vacancy_settings vacancies;
  writer_settings writer;
  std::chrono::milliseconds order_timeout = std::chrono::seconds(2);
  std::chrono::milliseconds tick = std::chrono::milliseconds(100);
  /// Interval between two reads of the fleet list. A serviced host is away for
  /// about 2 s, and each read is charged.
  std::chrono::milliseconds list_interval = std::chrono::milliseconds(600);
  /// Minimum interval between two log events on the progress of hosts.
  std::chrono::milliseconds min_stats_interval = std::chrono::milliseconds(500);
  std::chrono::milliseconds takeover_retry_delay =
      std::chrono::milliseconds(200);
  core::jobs::order_queue_settings queue;
  /// A slow store takes up to 0.5 s for a record.
  core::jobs::host_order_settings orders{.max_send_delay =
                                             std::chrono::milliseconds(700)};
};

/// Owns the fleet partition: drives maintenance waves and moves hosts between
/// pools. The only process that sends orders for hosts. Not thread-safe.
class fleet_owner {
 public:
  /// Objects and callbacks that the owner uses.
  struct dependencies {
    boost::asio::io_context* context = nullptr;
    adapter::store_client* store = nullptr;
    store_view* view = nullptr;
    job_meters* meters = nullptr;
    std::string member;
    /// Identifies the process to the platform.
    std::string holder;
    /// Returns whether the ownership certainly has not passed to another
    /// process.
    std::function<bool()> is_ownership_confirmed;
    /// Called when a newer owner was found. The callee must defer the
    /// destruction of this object.
    std::function<void()> on_fenced;
  };

  fleet_owner(dependencies dependencies, const fleet_settings& settings);
  fleet_owner(const fleet_owner&) = delete;
  fleet_owner& operator=(const fleet_owner&) = delete;
  ~fleet_owner();

  /// Starts the takeover. `generation` is that of the group; the epoch is at
  /// least as high.
  void Start(std::uint64_t generation);
  /// The fleet records under these keys have changed or were removed.
  void OnFleetRecords(const std::set<std::string>& keys);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_H_
