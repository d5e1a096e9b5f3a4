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
#include "jobs/progress_writer.h"
#include "jobs/store_view.h"
#include "plantainhead/core/jobs/arrival_rate_monitor.h"
#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/pool_scheduler.h"
#include "plantainhead/core/jobs/pool_sizer.h"
#include "plantainhead/core/jobs/vacancy_manager.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Settings of a `pool_owner`: timeouts, retry delays, minimum intervals and
/// the settings of its parts.
struct owner_settings {
  core::jobs::scheduler_settings scheduler;
  writer_settings writer;
  /// Timeout of an order to a VM. VMs normally answer within milliseconds.
  std::chrono::milliseconds order_timeout = std::chrono::milliseconds(700);
  /// Timeout of a hold request, in addition to the hold's own wait.
  std::chrono::milliseconds hold_timeout = std::chrono::milliseconds(700);
  /// How much longer a late answer to a hold is still processed: it may report
  /// task ends that the VM does not report again. A saturated link delays
  /// answers by seconds.
  std::chrono::milliseconds late_hold_timeout = std::chrono::milliseconds(3000);
  /// Delay before the next hold after one without an answer.
  std::chrono::milliseconds hold_retry_delay = std::chrono::milliseconds(250);
  /// Minimum interval between two holds of a VM.
  std::chrono::milliseconds min_hold_interval = std::chrono::milliseconds(20);
  /// Minimum interval after a listing that reports ended tasks: by then their
  /// record is stored, and the next hold acknowledges them. Until they are
  /// acknowledged, the VM answers holds immediately.
  std::chrono::milliseconds min_ack_interval = std::chrono::milliseconds(45);
  /// Minimum interval between two plans. Each plan visits all VMs and open
  /// jobs; with 85 VMs on an eighth of a core it takes several milliseconds.
  std::chrono::milliseconds min_plan_interval = std::chrono::milliseconds(5);
  /// Minimum interval between two plans as a multiple of the duration of the
  /// last one: where plans take long, answers of VMs and renewals must be
  /// processed between them.
  int plan_interval_factor = 3;
  /// Interval between two checks for work that is due.
  std::chrono::milliseconds tick = std::chrono::milliseconds(100);
  core::jobs::sizer_settings sizer;
  core::jobs::arrival_rate_settings arrivals;
  /// Minimum interval between two records of how many VMs a pool wants.
  std::chrono::milliseconds min_wanted_interval =
      std::chrono::milliseconds(150);
  core::jobs::vacancy_manager_settings vacancies;
  /// Delay before a failed takeover is retried.
  std::chrono::milliseconds takeover_retry_delay =
      std::chrono::milliseconds(150);
  /// Time to live of a group member, within which an owner that cannot renew
  /// its membership continues to work. A new owner waits for this time plus one
  /// lease before it treats the tasks of an unreachable VM as lost.
  std::chrono::milliseconds time_to_live = std::chrono::milliseconds(2400);
  /// How long a release waits for a batch that is being written, and how often
  /// it checks. The timeout exceeds the duration of an append to a slow store.
  std::chrono::milliseconds release_timeout = std::chrono::milliseconds(1500);
  std::chrono::milliseconds release_poll_interval =
      std::chrono::milliseconds(10);
  /// Timeout of the request for the members of the group.
  std::chrono::milliseconds members_timeout = std::chrono::milliseconds(900);
};

/// Owns one partition of pools: takes it over and schedules its jobs until it
/// is destroyed or finds a newer owner. Not thread-safe.
class pool_owner {
 public:
  /// Objects and callbacks that the owner uses.
  struct dependencies {
    boost::asio::io_context* context = nullptr;
    adapter::store_client* store = nullptr;
    store_view* view = nullptr;
    job_archiver* archiver = nullptr;
    job_meters* meters = nullptr;
    std::string member;
    /// Returns whether the ownership certainly has not passed to another
    /// process.
    std::function<bool()> is_ownership_confirmed;
    /// Called when the takeover under this epoch has completed.
    std::function<void(std::uint64_t epoch)> on_active;
    /// Called when a newer owner was found. The callee must defer the
    /// destruction of this object.
    std::function<void()> on_fenced;
  };

  pool_owner(dependencies dependencies,
             std::uint32_t partition,
             const owner_settings& settings);
  pool_owner(const pool_owner&) = delete;
  pool_owner& operator=(const pool_owner&) = delete;
  ~pool_owner();

  /// Starts the takeover. `generation` is that of the group; the epoch is at
  /// least as high.
  void Start(std::uint64_t generation);
  /// Stops sending orders and records that in the store, then calls
  /// `on_released`.
  void Release(const std::function<void()>& on_released);

  bool IsActive() const;
  std::uint64_t epoch() const;
  core::jobs::scheduler_counts Counts() const;

  void OnJob(const std::shared_ptr<const core::jobs::job_spec>& job);
  void OnUnopenedJob(const core::jobs::job_id& job);
  void OnCancel(const core::jobs::job_id& job);
  /// The registry entries of these VMs have changed or were removed.
  void OnRegistry(const std::set<core::jobs::vm_id>& changed);
  /// The VM has reported its capacity; see `report_validity`.
  void OnReport(const core::jobs::vm_id& vm, core::time_point trusted_until);
  void OnConfiguration();
  /// The fleet records under these keys have changed or were removed.
  void OnFleetRecords(const std::set<std::string>& keys);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_POOL_OWNER_H_
