#ifndef PLANTAINHEAD_SRC_JOBS_OWNERSHIP_H_
#define PLANTAINHEAD_SRC_JOBS_OWNERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/fleet_owner.h"
#include "jobs/group_member.h"
#include "jobs/job_archiver.h"
#include "jobs/job_meters.h"
#include "jobs/pool_owner.h"
#include "jobs/process_state.h"
#include "jobs/store_view.h"
#include "peers/owner_announcement.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

/// Starts and stops the pool owners and the fleet owner of this process as the
/// group assigns it partitions. Owns only those assigned partitions that have
/// pools, and the fleet. The owners live no longer than this object, except to
/// record their releases. Not thread-safe: used from the thread of its
/// `io_context` only.
class ownership {
 public:
  /// Objects and names that the ownership uses.
  struct dependencies {
    boost::asio::io_context* context = nullptr;
    adapter::store_client* store = nullptr;
    store_view* view = nullptr;
    job_archiver* archiver = nullptr;
    job_meters* meters = nullptr;
    /// Supplies the assignment of partitions.
    group_member* member = nullptr;
    std::string member_name;
    /// Address at which other processes reach this one for what it owns; empty
    /// if there is none.
    std::string peer_address;
    /// Identifies the process to the fleet platform.
    std::string holder;
    /// Time to live of the group membership.
    std::chrono::milliseconds time_to_live{};
  };

  ownership(const dependencies& dependencies,
            const owner_settings& owner_settings,
            const fleet_settings& fleet_settings);
  ownership(const ownership&) = delete;
  ownership& operator=(const ownership&) = delete;
  ~ownership();

  /// Applies the partitions that the group has assigned to this process at a
  /// renewal.
  void OnAssignment(std::uint64_t generation,
                    const std::set<std::uint32_t>& partitions);
  /// Releases all ownerships and acquires no new ones. Calls `on_released` once
  /// the releases of the pools are recorded.
  void Release(const std::function<void()>& on_released);

  /// Returns whether this process has an owner of the partition that has read
  /// its jobs.
  bool IsOwnerActive(std::uint32_t partition) const;

  // Events of `store_view`.
  void OnJob(const std::shared_ptr<const core::jobs::job_spec>& job);
  void OnUnopenedJob(const core::jobs::job_id& job);
  void OnCancel(const core::jobs::job_id& job);
  void OnConfiguration();
  /// The registry entries of these VMs have changed or were removed.
  void OnRegistry(const std::set<core::jobs::vm_id>& changed);
  void OnReport(const core::jobs::vm_id& vm, core::time_point trusted_until);
  /// The fleet records under these keys have changed or were removed.
  void OnFleetRecords(const std::set<std::string>& keys);
  void OnAnnouncement(const peers::owner_announcement& announcement);
  /// The store contains an older policy of a queue than the newest known one.
  void OnOutdatedPolicy();

  /// Returns the epoch under which this process schedules the pools of the
  /// partition; 0 before the takeover has completed, and after a newer owner
  /// was found.
  std::uint64_t EpochOf(std::uint32_t pool_partition) const;
  /// Returns whether the ownerships certainly have not passed to other
  /// processes.
  bool IsOwnershipConfirmed() const;
  /// Returns the scheduler counts of each pool partition that is owned.
  std::map<std::uint32_t, core::jobs::scheduler_counts> Counts() const;
  /// Returns the pool partitions that are owned or being taken over.
  std::vector<owned_partition> HeldPartitions() const;
  bool OwnsFleet() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_OWNERSHIP_H_
