#ifndef PLANTAINHEAD_SRC_JOBS_POOL_OWNER_H_
#define PLANTAINHEAD_SRC_JOBS_POOL_OWNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "jobs/job_archiver.h"
#include "jobs/job_meters.h"
#include "jobs/job_world.h"
#include "jobs/progress_writer.h"
#include "plantainhead/core/jobs/arrival_rate_monitor.h"
#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/pool_scheduler.h"
#include "plantainhead/core/jobs/pool_sizer.h"
#include "plantainhead/core/jobs/vacancy_manager.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

struct owner_settings {
  core::jobs::scheduler_settings scheduler;
  writer_settings writer;
  /// For a VM's answer to an order. VMs answer within milliseconds.
  std::chrono::milliseconds order_timeout = std::chrono::milliseconds(700);
  /// For a VM's answer to a hold, beyond the hold's wait.
  std::chrono::milliseconds hold_timeout = std::chrono::milliseconds(700);
  /// And its answer is used up to this much later: it may tell of ends that the
  /// VM need not tell again. A link that is full delays answers by seconds.
  std::chrono::milliseconds hold_patience = std::chrono::milliseconds(3000);
  /// Pause after a hold without an answer.
  std::chrono::milliseconds hold_retry = std::chrono::milliseconds(250);
  /// Least time between two holds of a VM.
  std::chrono::milliseconds hold_gap = std::chrono::milliseconds(20);
  /// The same after a listing with ends: by then their record is stored, and
  /// the next hold acknowledges them. Until that is so a VM answers at once.
  std::chrono::milliseconds ack_gap = std::chrono::milliseconds(45);
  /// Least time between two plans. Each looks through all VMs and open jobs; on
  /// an eighth of a core with 85 VMs one takes some ms.
  std::chrono::milliseconds plan_gap = std::chrono::milliseconds(5);
  /// The same, as a multiple of the time that the last one took: where plans
  /// are long, answers of VMs and renewals must be taken between them.
  int plan_gap_factor = 3;
  /// Time between two looks at what is due.
  std::chrono::milliseconds tick = std::chrono::milliseconds(100);
  core::jobs::sizer_settings sizer;
  core::jobs::arrival_rate_settings arrivals;
  /// Least time between two records of how many VMs a pool wants.
  std::chrono::milliseconds wanted_gap = std::chrono::milliseconds(150);
  core::jobs::vacancy_manager_settings vacancies;
  /// Pause before a takeover that failed is tried again.
  std::chrono::milliseconds takeover_retry = std::chrono::milliseconds(150);
  /// Time to live of a member, within which an owner that can't renew it works
  /// on. A new owner waits as long, and a lease more, before it takes the tasks
  /// of a VM that it can't reach for lost.
  std::chrono::milliseconds time_to_live = std::chrono::milliseconds(2400);
  /// How long the end of an ownership waits for a batch that is under way, and
  /// how often it looks. Longer than an append takes when the store is slow.
  std::chrono::milliseconds release_limit = std::chrono::milliseconds(1500);
  std::chrono::milliseconds release_poll = std::chrono::milliseconds(10);
  /// For the store's answer to who owns what.
  std::chrono::milliseconds owners_timeout = std::chrono::milliseconds(900);
};

/// Takes a partition of pools over and schedules their jobs, until it is
/// destroyed or meets a newer owner. Not thread-safe.
class pool_owner {
 public:
  struct dependencies {
    boost::asio::io_context* context = nullptr;
    adapter::store_client* store = nullptr;
    job_world* world = nullptr;
    job_archiver* archiver = nullptr;
    job_meters* meters = nullptr;
    std::string member;
    /// Whether the ownership surely hasn't passed on.
    std::function<bool()> is_sure;
    /// The takeover under this epoch is over.
    std::function<void(std::uint64_t epoch)> on_active;
    /// A newer owner was met; destroys this object later.
    std::function<void()> on_fenced;
  };

  pool_owner(dependencies dependencies,
             std::uint32_t partition,
             const owner_settings& settings);
  pool_owner(const pool_owner&) = delete;
  pool_owner& operator=(const pool_owner&) = delete;
  ~pool_owner();

  /// Begins to take over. `generation` is the group's; the epoch is no lower.
  void Start(std::uint64_t generation);
  /// Stops giving orders, and records that it has.
  void Release(const std::function<void()>& on_released);

  bool IsActive() const;
  std::uint64_t epoch() const;
  core::jobs::scheduler_counts Counts() const;

  void OnJob(const std::shared_ptr<const core::jobs::job_spec>& job);
  void OnCancel(const core::jobs::job_id& job);
  /// Entries of these VMs in the registry have changed or gone.
  void OnRegistry(const std::set<core::jobs::vm_id>& changed);
  /// The VM has reported its capacity; see `report_validity`.
  void OnReport(const core::jobs::vm_id& vm, core::time_point trusted_until);
  void OnConfiguration();
  /// Records of the fleet under these keys have changed or gone.
  void OnFleetRecords(const std::set<std::string>& keys);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_POOL_OWNER_H_
