#ifndef PLANTAINHEAD_SRC_JOBS_STORE_VIEW_H_
#define PLANTAINHEAD_SRC_JOBS_STORE_VIEW_H_

#include <boost/asio/steady_timer.hpp>
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
#include "jobs/queue_history.h"
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

/// Caches what a process has read from the store, and keeps it up to date with
/// one log follower per partition.
///
/// Every process reads the operators' configuration and the addresses of the
/// pool owners. Jobs, their progress and VMs are read only by the owners that
/// schedule them, because all readers share the store's bandwidth: when each of
/// about a hundred processes read every job, reads exceeded their timeouts, all
/// processes retried them, and no read completed any more.
/// The implementation has four files: the cached state (`store_view.cc`),
/// records that cannot be decoded (`store_view_faults.cc`), the choice of
/// partitions to read (`store_view_following.cc`), and refreshes that a caller
/// waits for (`store_view_refreshes.cc`). Not thread-safe.
class store_view {
 public:
  /// Callbacks for changes of the cached state. `on_registry` and
  /// `on_fleet_records` are called once for a batch of records, shortly after
  /// these were applied; see `TakeChangedVms` and `TakeChangedFleetKeys`.
  /// `on_report` is called for each report of a VM.
  struct listeners {
    std::function<void(const std::shared_ptr<const core::jobs::job_spec>&)>
        on_job;
    std::function<void(const core::jobs::job_id&)> on_cancel;
    /// An accepted job waits unopened; see `job_directory`.
    std::function<void(const core::jobs::job_id&)> on_unopened_job =
        [](const auto&) {};
    /// Returns whether this process has an owner of the pools of the partition
    /// that has read its jobs.
    std::function<bool(std::uint32_t pool_partition)> is_owner_active =
        [](auto) { return false; };
    std::function<void()> on_configuration;
    std::function<void()> on_registry;
    std::function<void()> on_fleet_records;
    std::function<void(const core::jobs::vm_id&,
                       core::time_point trusted_until)>
        on_report = [](const auto&, auto) {};
    std::function<void(const peers::owner_announcement&)> on_announcement;
    /// The store contains an older policy of a queue than the newest known one.
    std::function<void()> on_outdated_policy = [] {};
    std::function<void(bool is_answered)> on_store_contact;
  };

  /// `configuration_apply`: the time within which a new configuration must be
  /// known to this process.
  store_view(boost::asio::io_context* context,
             adapter::store_client* store,
             const follower_settings& settings,
             core::duration configuration_apply,
             listeners listeners);
  store_view(const store_view&) = delete;
  store_view& operator=(const store_view&) = delete;

  void Start();
  /// Sets the memory for jobs that have not ended, in bytes. Jobs for which
  /// there is none wait unopened, and are read again later.
  void SetJobMemory(std::size_t bytes) { directory_.SetMemoryLimit(bytes); }
  /// Returns whether a new job that takes `bytes` can be accepted for a pool
  /// that this process owns. May close jobs of other pools for it.
  bool MakeMemoryForNewJob(std::size_t bytes);
  /// Opens an unopened job as soon as its record has been read again.
  void OpenJob(const core::jobs::job_id& id);
  /// Returns true if a configuration has been read.
  bool IsLoaded() const;
  /// Returns the latest known time up to which everything that operators
  /// published has been read; the epoch if nothing has been read.
  core::time_point ConfigurationReadAt() const;
  /// Returns the latest known time up to which all jobs that the store accepted
  /// have been read, in all partitions; the epoch if there is none yet.
  core::time_point AllJobsReadAt() const;
  /// Returns the time since the job partitions of the queue were last read up
  /// to their ends.
  core::duration JobCopyAge(const core::jobs::queue_id& queue) const;
  /// Like `JobCopyAge`, for the partitions that hold jobs of the pools that
  /// this process owns.
  core::duration WatchedJobCopyAge() const;
  /// Like `JobCopyAge`, for the registry of VMs and for the records that the
  /// owners of pools and of the fleet exchange. Precondition: this process owns
  /// a pool or the fleet.
  core::duration RegistryCopyAge() const;
  core::duration FleetCopyAge() const;
  /// Returns until when the reports of the VMs are trusted. The reference is
  /// valid as long as the object.
  const core::jobs::report_validity& report_validity() const {
    return report_validity_;
  }
  /// Returns whether the partitions that hold the queue's jobs are being
  /// followed and have been loaded.
  bool IsQueueLoaded(const core::jobs::queue_route& route) const;

  const core::jobs::routing_table& routes() const { return routes_; }
  const core::jobs::job_directory& directory() const { return directory_; }
  const core::jobs::vm_registry& registry() const { return registry_; }
  /// Log of the records that cannot be used; shared by all readers of records.
  fault_log& faults() { return faults_; }
  const std::map<std::uint64_t, core::jobs::maintenance_wave>& waves() const {
    return waves_;
  }
  /// Returns the VMs whose registry entries have changed or were removed since
  /// the last call.
  std::set<core::jobs::vm_id> TakeChangedVms() {
    return std::exchange(changed_vms_, {});
  }
  /// Returns the keys of the fleet records that have changed or were removed
  /// since the last call.
  std::set<std::string> TakeChangedFleetKeys() {
    return std::exchange(changed_fleet_keys_, {});
  }
  /// Returns the VMs, by partition, whose vacancy records have changed since
  /// the last call. Changes are collected only while this process owns the
  /// fleet.
  std::set<std::pair<std::uint32_t, core::jobs::vm_id>> TakeChangedVacancies() {
    return std::exchange(changed_vacancies_, {});
  }
  const std::map<std::string, std::string>& fleet_records() const {
    return fleet_records_;
  }
  /// Returns the hosts for which an owner of the fleet may recently have issued
  /// an order, with the lease holder of the last order; empty if the holder is
  /// unknown.
  const std::map<core::jobs::host_id, std::string>& ordered_hosts() const {
    return ordered_hosts_;
  }
  /// Returns the newest policy of the queue that a configuration or the store
  /// contains, also after its route was removed.
  core::jobs::queue_policy PolicyOf(const core::jobs::queue_id& queue) const;
  /// Returns the newest claim of the partition; its epoch is 0 if there is
  /// none.
  owner_record OwnerOf(std::uint32_t pool_partition) const;
  std::uint64_t CursorOf(std::uint32_t pool_partition) const;
  /// Returns the VMs that owners of the partition may have used, with their
  /// addresses.
  const std::map<core::jobs::vm_id, std::string>& UsedVms(
      std::uint32_t pool_partition) {
    return used_vms_[pool_partition];
  }
  /// Returns the VMs that owners of the partition have vacated permanently.
  const std::set<core::jobs::vm_id>& VacantVms(std::uint32_t pool_partition) {
    return vacant_vms_[pool_partition];
  }

  /// Applies a record that this process has stored in a partition of jobs,
  /// without waiting until it is read back. Does nothing if the partition is
  /// not followed.
  void NoteJobRecord(std::uint32_t partition,
                     const adapter::keyed_record& record);
  /// Applies progress that this process has stored in a partition of pools.
  void NoteProgress(std::uint32_t pool_partition,
                    const core::jobs::job_id& id,
                    core::jobs::job_progress progress);
  /// Returns the pools that each queue has, or has had.
  const queue_history& history() const { return history_; }
  /// Returns whether jobs of the queue may be, or may have been, in a pool
  /// other than that of its route.
  bool MayHaveOtherPool(const core::jobs::queue_route& route) const;

  /// Reads the partition up to its current end. Calls `on_done` with false if
  /// it cannot be read or is not followed.
  void RefreshJobs(std::uint32_t partition, std::function<void(bool)> on_done);
  /// Like `RefreshJobs`, for all partitions that hold the queue's jobs. The
  /// progress of the jobs is not read: the owner of their pool writes it
  /// itself. Progress written before the queue moved to this pool is left out;
  /// without it more jobs can be counted as waiting, but never fewer.
  void RefreshQueue(const core::jobs::queue_route& route,
                    std::function<void(bool)> on_done);
  /// Like `RefreshJobs`, for all partitions, retried until all have been read.
  /// Partitions that are not followed otherwise are followed only until then.
  void RefreshAllJobs(const std::function<void()>& on_done);
  /// Like `RefreshJobs`, for a partition of pools. Loads the partition first if
  /// it is not followed yet.
  void RefreshProgress(std::uint32_t partition,
                       std::function<void(bool)> on_done);
  /// Reads the progress of jobs whose queue has, or has had, a pool in the
  /// partition and one in another: all partitions of those other pools, retried
  /// until they have been read. Reads nothing if no such queue was moved.
  void RefreshFormerProgress(std::uint32_t partition,
                             const std::function<void()>& on_done);
  /// These retry until the records have been read. Precondition: this process
  /// owns a partition.
  void RefreshRegistry(const std::function<void()>& on_done);
  void RefreshFleetRecords(const std::function<void()>& on_done);

  /// Sets the pool partitions that this process owns. Their jobs and VMs are
  /// watched, so that records are read as soon as they are written.
  void SetOwned(const std::vector<std::uint32_t>& pool_partitions);
  void SetFleetOwned(bool is_owned);

 private:
  void ApplyJobRecord(const adapter::keyed_record& record);
  void ApplySubmission(core::jobs::job_spec spec);
  /// Returns whether the job is, or may be, in a pool that this process owns.
  bool MayBeOwned(const core::jobs::directory_entry& entry) const;
  /// Returns whether an owner in this process may have read the job.
  bool MayBeKnown(const core::jobs::directory_entry& entry) const;
  bool HasMemoryForNewJob(std::size_t bytes) const;
  /// Returns whether a new owner in this process has not read the jobs of the
  /// pool yet.
  bool IsBeingTakenOver(const core::jobs::pool_id& pool) const;
  bool AreJobsWaitingForTakeover() const;
  /// Closes jobs that no owner in this process knows, but none with progress in
  /// an owned pool.
  void UnopenOtherJobs();
  /// Like `UnopenOtherJobs`, unless it was called a short while ago.
  void UnopenOtherJobsAtTimes();
  /// Requests the unopened jobs of owned pools for which there is memory, in
  /// the order of their submission. Returns the partitions that hold them.
  /// Pools whose new owner has not read all jobs yet are included only for a
  /// takeover.
  std::set<std::uint32_t> WantWaitingJobs(bool is_takeover);
  void OpenWaitingJobs();
  void ScheduleOpening();
  void ReadAgain(std::uint32_t job_partition);
  /// Opens the waiting jobs for which there is memory, if a full refresh has
  /// found more jobs than that, and then calls `on_done`.
  void EndOverfullRefresh(const std::function<void()>& on_done);
  void ApplyPoolRecord(std::uint32_t partition,
                       const adapter::keyed_record& record);
  /// Applies the effect that an undecodable record of the partition has.
  void ApplyPoolFault(std::uint32_t partition,
                      const adapter::keyed_record& record,
                      const core::jobs::record_fault& fault);
  void ApplyFleetRecord(const adapter::keyed_record& record);
  void ApplyOperatorRecord(const adapter::keyed_record& record);
  /// Retains the routes that the next configuration no longer contains.
  void RetainFormerRoutes(const core::jobs::routing_configuration& next);
  void ApplyConfiguration(const std::string& value);
  void ApplyRegistryRecord(const adapter::keyed_record& record);
  void ApplyAnnouncement(const adapter::keyed_record& record);
  void ApplyServedQueue(const adapter::keyed_record& record);
  void ApplyRecordedPolicy(const adapter::keyed_record& record);
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
  /// Returns the partitions that `RefreshFormerProgress` reads.
  std::set<std::uint32_t> FormerPartitions(std::uint32_t partition) const;
  void EndFormerRead(std::uint32_t partition);
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
  /// Batched notifications: many records arrive at once, and each listener
  /// scans all of them.
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
  /// Times until which jobs may still arrive by removed routes. A process that
  /// learns of a configuration late stores jobs for a queue's former pool.
  std::map<std::pair<core::jobs::pool_id, core::jobs::queue_id>,
           core::time_point>
      former_routes_;
  std::map<std::uint32_t, owner_record> owners_;
  std::map<std::uint32_t, std::map<core::jobs::vm_id, std::string>> used_vms_;
  std::map<std::uint32_t, std::set<core::jobs::vm_id>> vacant_vms_;
  std::map<core::jobs::host_id, std::string> ordered_hosts_;
  std::vector<std::uint32_t> owned_pool_partitions_;
  std::set<std::uint32_t> watched_job_partitions_;
  bool is_fleet_owned_ = false;

  queue_history history_;
  /// Number of calls of `RefreshFormerProgress` that read each partition.
  std::map<std::uint32_t, std::size_t> former_reads_;

  /// Number of calls of `RefreshAllJobs` in progress.
  std::size_t full_refreshes_ = 0;
  core::time_point all_jobs_read_at_;

  boost::asio::steady_timer opening_timer_;
  bool is_opening_scheduled_ = false;
  /// A full refresh in progress has found more jobs than there is memory for.
  /// They are opened in their order when all have been read.
  bool is_overfull_ = false;
  core::time_point other_jobs_unopened_at_;

  std::shared_ptr<log_follower> operator_follower_;
  std::shared_ptr<log_follower> address_follower_;
  std::shared_ptr<log_follower> registry_follower_;
  std::shared_ptr<log_follower> fleet_follower_;
  std::map<std::uint32_t, std::shared_ptr<log_follower>> job_followers_;
  std::map<std::uint32_t, std::shared_ptr<log_follower>> pool_followers_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_STORE_VIEW_H_
