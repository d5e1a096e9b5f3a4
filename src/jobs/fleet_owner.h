#ifndef PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_H_
#define PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "jobs/job_meters.h"
#include "jobs/job_world.h"
#include "jobs/progress_writer.h"
#include "plantainhead/core/jobs/fleet_balancer.h"
#include "plantainhead/core/jobs/host_order_queue.h"
#include "plantainhead/core/jobs/host_order_tracker.h"
#include "plantainhead/core/jobs/maintenance_scheduler.h"
#include "plantainhead/core/jobs/vacancy_checker.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

struct fleet_settings {
  std::string address;
  core::jobs::maintenance_settings waves;
  core::jobs::balancer_settings balancer;
  core::jobs::vacancy_settings vacancies;
  writer_settings writer;
  std::chrono::milliseconds order_timeout = std::chrono::seconds(2);
  std::chrono::milliseconds tick = std::chrono::milliseconds(100);
  /// Time between two readings of the list. A host is away for some 2 s; each
  /// reading is paid for.
  std::chrono::milliseconds list_interval = std::chrono::milliseconds(600);
  /// Least time between two lines on how far hosts are.
  std::chrono::milliseconds figures_gap = std::chrono::milliseconds(500);
  std::chrono::milliseconds takeover_retry = std::chrono::milliseconds(200);
  core::jobs::order_queue_settings queue;
  /// A store that is slow takes up to 0.5 s for a record.
  core::jobs::host_order_settings orders{.max_send_delay =
                                             std::chrono::milliseconds(700)};
};

/// Takes the fleet's partition over and walks maintenance waves through,
/// and moves hosts between pools. The only process that gives orders for hosts.
/// Not thread-safe.
class fleet_owner {
 public:
  struct dependencies {
    boost::asio::io_context* context = nullptr;
    adapter::store_client* store = nullptr;
    job_world* world = nullptr;
    job_meters* meters = nullptr;
    std::string member;
    /// Names the process towards the platform.
    std::string holder;
    /// Whether ownership surely hasn't passed on.
    std::function<bool()> is_sure;
    std::function<void()> on_fenced;
  };

  fleet_owner(dependencies dependencies, const fleet_settings& settings);
  fleet_owner(const fleet_owner&) = delete;
  fleet_owner& operator=(const fleet_owner&) = delete;
  ~fleet_owner();

  void Start(std::uint64_t generation);
  /// Records of the fleet under these keys have changed or gone.
  void OnFleetRecords(const std::set<std::string>& keys);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_H_
