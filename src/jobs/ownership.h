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
#include "jobs/job_world.h"
#include "jobs/pool_owner.h"
#include "jobs/process_state.h"
#include "peers/owner_announcement.h"
#include "platform/store_client.h"

namespace plantainhead::jobs {

/// What a process owns: of the partitions that the group deals to it, those
/// with pools, and the fleet's. Begins and ends the owners as that changes. The
/// owners live no longer than this object, but for the records of their ends.
/// Not thread-safe: used from the thread of its `io_context` only.
class ownership {
 public:
  struct dependencies {
    boost::asio::io_context* context = nullptr;
    adapter::store_client* store = nullptr;
    store_view* view = nullptr;
    job_archiver* archiver = nullptr;
    job_meters* meters = nullptr;
    /// Deals the partitions.
    group_member* member = nullptr;
    std::string member_name;
    /// Where other processes ask for what it owns; empty: nowhere.
    std::string peer_address;
    /// Names the process towards the fleet.
    std::string holder;
    /// Time to live of the member.
    std::chrono::milliseconds time_to_live{};
  };

  ownership(const dependencies& dependencies,
            const owner_settings& owner_settings,
            const fleet_settings& fleet_settings);
  ownership(const ownership&) = delete;
  ownership& operator=(const ownership&) = delete;
  ~ownership();

  /// Takes what the group has dealt to this process, at a renewal.
  void TakeDeal(std::uint64_t generation,
                const std::set<std::uint32_t>& partitions);
  /// Ends all ownerships and begins none any more. Calls `on_released` once the
  /// pools' ends are recorded.
  void Release(const std::function<void()>& on_released);

  // What the world tells.
  void OnJob(const std::shared_ptr<const core::jobs::job_spec>& job);
  void OnCancel(const core::jobs::job_id& job);
  void OnConfiguration();
  /// Entries of these VMs in the registry have changed or gone.
  void OnRegistry(const std::set<core::jobs::vm_id>& changed);
  void OnReport(const core::jobs::vm_id& vm, core::time_point trusted_until);
  /// Records of the fleet under these keys have changed or gone.
  void OnFleetRecords(const std::set<std::string>& keys);
  void OnAnnouncement(const peers::owner_announcement& announcement);

  /// Returns the epoch under which the partition's pools are scheduled here; 0
  /// before the takeover is over, and once a newer owner was met.
  std::uint64_t EpochOf(std::uint32_t pool_partition) const;
  /// Returns whether the ownerships surely haven't passed on.
  bool IsSure() const;
  /// Returns the counts of each pool partition that is owned.
  std::map<std::uint32_t, core::jobs::scheduler_counts> Counts() const;
  /// Returns the pool partitions that are owned or being taken over.
  std::vector<owned_partition> Held() const;
  bool OwnsFleet() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_OWNERSHIP_H_
