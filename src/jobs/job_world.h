#ifndef PLANTAINHEAD_SRC_JOBS_JOB_WORLD_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/fault_log.h"
#include "jobs/job_partitions.h"
#include "jobs/log_follower.h"
#include "jobs/record_codec.h"
#include "plantainhead/core/jobs/job_directory.h"
#include "plantainhead/core/jobs/maintenance.h"
#include "plantainhead/core/jobs/routing.h"
#include "plantainhead/core/jobs/vm_registry.h"
#include "plantainhead/core/jobs/vm_reports.h"
#include "platform/store_client.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

using adapter::kFleetTopic;
using adapter::kJobTopic;
using adapter::kProgressTopic;

/// What a process knows from reading the store, kept up to date by followers.
/// Not thread-safe.
class job_world {
 public:
  /// What may have changed.
  struct listeners {
    std::function<void(const std::shared_ptr<const core::jobs::job_spec>&)>
        on_job;
    std::function<void(const core::jobs::job_id&)> on_cancel;
    std::function<void()> on_configuration;
    std::function<void()> on_registry;
    std::function<void()> on_fleet_records;
    std::function<void(bool is_answered)> on_store_contact;
  };

  job_world(boost::asio::io_context* context,
            adapter::store_client* store,
            const follower_settings& settings,
            listeners listeners);
  job_world(const job_world&) = delete;
  job_world& operator=(const job_world&) = delete;

  /// `expects_pools`: the process is to own pools soon, so that it reads VMs
  /// and the fleet's records in advance. With a slow store (0.4 s an answer) a
  /// takeover that had to begin with that would take seconds.
  void Start(bool expects_pools);
  /// True when there is a configuration, and all job records and the progress
  /// of all its pools have been read once.
  bool IsLoaded() const;
  /// Returns how long ago all of the partitions of jobs had been read up to
  /// their ends. Precondition: `IsLoaded`.
  core::duration JobCopyAge() const;
  /// The same for those of one queue.
  core::duration JobCopyAge(const core::jobs::queue_id& queue) const;
  /// The same for those that hold jobs of the pools that this process owns.
  core::duration WatchedJobCopyAge() const;

  const core::jobs::routing_table& routes() const { return routes_; }
  const core::jobs::job_directory& directory() const { return directory_; }
  const core::jobs::vm_registry& registry() const { return registry_; }
  /// Where all who read records note what they can't use.
  fault_log& faults() { return faults_; }
  const std::map<std::uint64_t, core::jobs::maintenance_wave>& waves() const {
    return waves_;
  }
  const std::map<std::string, std::string>& fleet_records() const {
    return fleet_records_;
  }
  /// Returns the hosts for which an owner of the fleet may have given an order
  /// not long ago, and the name of the last one; empty when it can't be told.
  const std::map<core::jobs::host_id, std::string>& ordered_hosts() const {
    return ordered_hosts_;
  }
  /// Returns the queue's newest policy, also after its route was removed.
  core::jobs::queue_policy PolicyOf(const core::jobs::queue_id& queue) const;
  /// Returns the newest claim of the partition; epoch 0: there is none.
  owner_record OwnerOf(std::uint32_t pool_partition) const;
  std::uint64_t CursorOf(std::uint32_t pool_partition) const;
  /// Returns the VMs that owners of the partition may have used, by address.
  const std::map<core::jobs::vm_id, std::string>& UsedVms(
      std::uint32_t pool_partition) {
    return used_vms_[pool_partition];
  }
  /// Returns the VMs that owners of the partition have emptied for good.
  const std::set<core::jobs::vm_id>& VacantVms(std::uint32_t pool_partition) {
    return vacant_vms_[pool_partition];
  }

  /// Notes what this process has stored itself.
  void NoteProgress(const core::jobs::job_id& id,
                    core::jobs::job_progress progress);

  /// Reads what the store has by now; `on_done` gets false when it can't be
  /// read. A partition that isn't followed yet is from then on.
  void RefreshJobs(std::uint32_t partition, std::function<void(bool)> on_done);
  /// The same for all partitions that tell which jobs of the queue wait.
  /// Progress of jobs from before the queue moved to its pool is left out: what
  /// it lacks can only make more jobs look waiting.
  void RefreshQueue(const core::jobs::queue_route& route,
                    std::function<void(bool)> on_done);
  /// The same for all partitions, repeated until all have been read.
  void RefreshAllJobs(const std::function<void()>& on_done);
  void RefreshProgress(std::uint32_t partition,
                       std::function<void(bool)> on_done);
  /// Repeated until they have been read. Precondition: a partition is owned.
  void RefreshRegistry(const std::function<void()>& on_done);
  void RefreshFleetRecords(const std::function<void()>& on_done);

  /// Sets which pools' partitions this process owns: their jobs and VMs are
  /// read as soon as they are written.
  void SetOwned(const std::vector<std::uint32_t>& pool_partitions);
  void SetFleetOwned(bool is_owned);

 private:
  void TakeJobRecord(const adapter::keyed_record& record);
  void TakePoolRecord(std::uint32_t partition,
                      const adapter::keyed_record& record);
  /// Does what the fault of a record of the partition asks for.
  void TakePoolFault(std::uint32_t partition,
                     const adapter::keyed_record& record,
                     const core::jobs::record_fault& fault);
  void TakeFleetRecord(const adapter::keyed_record& record);
  void TakeOperatorRecord(const adapter::keyed_record& record);
  void TakeConfiguration(const std::string& value);
  void TakeRegistryRecord(const adapter::keyed_record& record);
  void FollowPools();
  void FollowFleet();
  void RefreshUntilRead(log_follower* follower,
                        const std::function<void()>& on_read);
  template <typename Partitions>
  core::duration CopyAgeOf(const Partitions& partitions) const;
  std::set<std::uint32_t> WatchedJobPartitions() const;
  void UpdateModes();
  log_follower& PoolFollower(std::uint32_t partition);
  std::unique_ptr<log_follower> MakeFollower(
      const adapter::store_partition& partition,
      log_follower::record_handler on_record);

  boost::asio::io_context* context_;
  adapter::store_client* store_;
  follower_settings settings_;
  listeners listeners_;
  core::jobs::routing_table routes_;
  core::jobs::job_directory directory_;
  core::jobs::vm_registry registry_;
  fault_log faults_;
  std::map<std::uint64_t, core::jobs::maintenance_wave> waves_;
  std::map<std::string, std::string> fleet_records_;
  std::map<core::jobs::queue_id, core::jobs::queue_policy> policies_;
  std::map<std::uint32_t, owner_record> owners_;
  std::map<std::uint32_t, std::map<core::jobs::vm_id, std::string>> used_vms_;
  std::map<std::uint32_t, std::set<core::jobs::vm_id>> vacant_vms_;
  std::map<core::jobs::host_id, std::string> ordered_hosts_;
  std::vector<std::uint32_t> owned_;
  std::set<std::uint32_t> watched_;
  bool is_fleet_owned_ = false;

  std::unique_ptr<log_follower> operators_;
  std::unique_ptr<log_follower> registry_follower_;
  std::unique_ptr<log_follower> fleet_follower_;
  std::vector<std::unique_ptr<log_follower>> job_followers_;
  std::map<std::uint32_t, std::unique_ptr<log_follower>> pool_followers_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_WORLD_H_
