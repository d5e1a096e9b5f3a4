#ifndef PLANTAINHEAD_SRC_JOBS_JOB_WORLD_H_
#define PLANTAINHEAD_SRC_JOBS_JOB_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/fault_log.h"
#include "jobs/job_partitions.h"
#include "jobs/log_follower.h"
#include "jobs/record_codec.h"
#include "jobs/throttled_action.h"
#include "peers/owner_announcement.h"
#include "plantainhead/core/jobs/job_directory.h"
#include "plantainhead/core/jobs/maintenance.h"
#include "plantainhead/core/jobs/report_validity.h"
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
///
/// Every process reads what operators publish and where the owners of pools
/// are. Jobs, their progress and VMs are read only by the owners that schedule
/// them: all readers share the store's bandwidth, and when each of some hundred
/// processes read every job, reads took longer than their timeouts, were sent
/// again by all, and none came through any more.
/// Four files share its state: what is known (`store_view.cc`), records that
/// can't be used (`job_world_faults.cc`), which partitions are read
/// (`job_world_following.cc`), and readings that somebody waits for
/// (`job_world_refreshes.cc`). Not thread-safe.
class store_view {
 public:
  /// What may have changed. `on_registry` and `on_fleet_records` are called
  /// once for many records, soon after these are known; see `TakeChangedVms`
  /// and `TakeChangedFleetKeys`. `on_report` is called for each report of a VM.
  struct listeners {
    std::function<void(const std::shared_ptr<const core::jobs::job_spec>&)>
        on_job;
    std::function<void(const core::jobs::job_id&)> on_cancel;
    std::function<void()> on_configuration;
    std::function<void()> on_registry;
    std::function<void()> on_fleet_records;
    std::function<void(const core::jobs::vm_id&,
                       core::time_point trusted_until)>
        on_report = [](const auto&, auto) {};
    std::function<void(const peers::owner_announcement&)> on_announcement;
    std::function<void(bool is_answered)> on_store_contact;
  };

  /// `configuration_apply`: within this time a configuration must be known.
  store_view(boost::asio::io_context* context,
             adapter::store_client* store,
             const follower_settings& settings,
             core::duration configuration_apply,
             listeners listeners);
  store_view(const store_view&) = delete;
  store_view& operator=(const store_view&) = delete;

  void Start();
  /// True when there is a configuration.
  bool IsLoaded() const;
  /// Returns the latest moment by which all that operators had published has
  /// been read; the epoch when nothing has been.
  core::time_point ConfigurationReadAt() const;
  /// Returns the latest moment by which all jobs that the store had taken have
  /// been read, in whatever partition; the epoch when there is none yet.
  core::time_point AllJobsReadAt() const;
  /// Returns how long ago the queue's partitions of jobs had been read up to
  /// their ends.
  core::duration JobCopyAge(const core::jobs::queue_id& queue) const;
  /// The same for those that hold jobs of the pools that this process owns.
  core::duration WatchedJobCopyAge() const;
  /// The same for the entries of VMs, and for what owners of pools and of the
  /// fleet tell each other. Precondition: this process owns one of them.
  core::duration RegistryCopyAge() const;
  core::duration FleetCopyAge() const;
  /// Returns how far VMs' entries are trusted; valid as long as the object.
  const core::jobs::report_validity& report_validity() const {
    return report_validity_;
  }
  /// Returns whether the partitions that tell of the queue's jobs are being
  /// read, and have been read once.
  bool IsQueueLoaded(const core::jobs::queue_route& route) const;

  const core::jobs::routing_table& routes() const { return routes_; }
  const core::jobs::job_directory& directory() const { return directory_; }
  const core::jobs::vm_registry& registry() const { return registry_; }
  /// Where all who read records note what they can't use.
  fault_log& faults() { return faults_; }
  const std::map<std::uint64_t, core::jobs::maintenance_wave>& waves() const {
    return waves_;
  }
  /// Returns the VMs whose entries in the registry have changed or gone since
  /// the last call.
  std::set<core::jobs::vm_id> TakeChangedVms() {
    return std::exchange(changed_vms_, {});
  }
  /// Returns the keys whose records of the fleet have changed or gone since the
  /// last call.
  std::set<std::string> TakeChangedFleetKeys() {
    return std::exchange(changed_fleet_keys_, {});
  }
  /// Returns of which VMs the records of vacancies, by partition, have changed
  /// since the last call. They are noted while the fleet is owned.
  std::set<std::pair<std::uint32_t, core::jobs::vm_id>> TakeChangedVacancies() {
    return std::exchange(changed_vacancies_, {});
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

  /// Notes what this process has stored itself, in a partition of jobs, without
  /// waiting until it is read. Nothing is noted of jobs that aren't read here.
  void NoteJobRecord(std::uint32_t partition,
                     const adapter::keyed_record& record);
  /// Notes what this process has stored itself.
  void NoteProgress(const core::jobs::job_id& id,
                    core::jobs::job_progress progress);

  /// Reads what the store has by now; `on_done` gets false when it can't be
  /// read, or the partition isn't one that is read here.
  void RefreshJobs(std::uint32_t partition, std::function<void(bool)> on_done);
  /// The same for all partitions that tell which jobs of the queue wait. The
  /// progress of its pool's jobs is the owner's own. Progress of jobs from
  /// before the queue moved to its pool is left out: what it lacks can only
  /// make more jobs look waiting.
  void RefreshQueue(const core::jobs::queue_route& route,
                    std::function<void(bool)> on_done);
  /// The same for all partitions, repeated until all have been read. Those that
  /// aren't read here otherwise are only until then.
  void RefreshAllJobs(const std::function<void()>& on_done);
  /// Reads the partition from its begin if it isn't followed yet.
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
  /// Notes the queues' routes that the next configuration doesn't have.
  void RetainFormerRoutes(const core::jobs::routing_configuration& next);
  void TakeConfiguration(const std::string& value);
  void TakeRegistryRecord(const adapter::keyed_record& record);
  void TakeAnnouncement(const adapter::keyed_record& record);
  void FollowJobs();
  void UnfollowJobs(std::uint32_t partition);
  void FollowPools();
  void FollowFleet();
  void UnfollowFleet();
  bool IsPoolFollowed(std::uint32_t partition) const;
  void RefreshUntilRead(const std::weak_ptr<log_follower>& reader,
                        const std::function<void()>& on_read);
  void RetryRefresh(const std::weak_ptr<log_follower>& reader,
                    const std::function<void()>& on_read);
  static core::duration AgeOf(const std::shared_ptr<log_follower>& follower);
  template <typename Partitions>
  core::duration CopyAgeOf(const Partitions& partitions) const;
  std::set<std::uint32_t> WatchedJobPartitions() const;
  void UpdateFollowers();
  void EndFullRefresh();
  log_follower& PoolFollower(std::uint32_t partition);
  std::shared_ptr<log_follower> MakeFollower(
      const adapter::store_partition& partition,
      log_follower::record_handler on_record);
  std::shared_ptr<log_follower> MakeFollower(
      const adapter::store_partition& partition,
      const follower_settings& settings,
      log_follower::record_handler on_record);

  boost::asio::io_context* context_;
  adapter::store_client* store_;
  partition_loader loader_;
  follower_settings settings_;
  listeners listeners_;
  /// Many records come at once, and what listens to them looks through all.
  throttled_action registry_notification_;
  throttled_action fleet_records_notification_;
  core::jobs::routing_table routes_;
  core::jobs::job_directory directory_;
  core::jobs::vm_registry registry_;
  core::jobs::report_validity report_validity_;
  fault_log faults_;
  std::map<std::uint64_t, core::jobs::maintenance_wave> waves_;
  std::map<std::string, std::string> fleet_records_;
  std::set<core::jobs::vm_id> changed_vms_;
  std::set<std::string> changed_fleet_keys_;
  std::set<std::pair<std::uint32_t, core::jobs::vm_id>> changed_vacancies_;
  std::map<core::jobs::queue_id, core::jobs::queue_policy> policies_;
  /// Until when jobs may still come by routes that there were. A process that
  /// learns of a configuration late stores jobs for a queue's former pool.
  std::map<std::pair<core::jobs::pool_id, core::jobs::queue_id>,
           core::time_point>
      former_routes_;
  std::map<std::uint32_t, owner_record> owners_;
  std::map<std::uint32_t, std::map<core::jobs::vm_id, std::string>> used_vms_;
  std::map<std::uint32_t, std::set<core::jobs::vm_id>> vacant_vms_;
  std::map<core::jobs::host_id, std::string> ordered_hosts_;
  std::vector<std::uint32_t> owned_;
  std::set<std::uint32_t> watched_;
  bool is_fleet_owned_ = false;

  /// Readings of all jobs that are under way.
  std::size_t full_refreshes_ = 0;
  core::time_point all_jobs_read_at_;

  std::shared_ptr<log_follower> operators_;
  std::shared_ptr<log_follower> addresses_;
  std::shared_ptr<log_follower> registry_follower_;
  std::shared_ptr<log_follower> fleet_follower_;
  std::map<std::uint32_t, std::shared_ptr<log_follower>> job_followers_;
  std::map<std::uint32_t, std::shared_ptr<log_follower>> pool_followers_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_JOB_WORLD_H_
