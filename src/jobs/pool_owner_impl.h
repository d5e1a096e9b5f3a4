#ifndef PLANTAINHEAD_SRC_JOBS_POOL_OWNER_IMPL_H_
#define PLANTAINHEAD_SRC_JOBS_POOL_OWNER_IMPL_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jobs/cpu_time_meter.h"
#include "jobs/event_aggregator.h"
#include "jobs/fencing_tokens.h"
#include "jobs/fleet_records.h"
#include "jobs/group_member.h"
#include "jobs/pool_owner.h"
#include "jobs/progress_writer.h"
#include "jobs/record_codec.h"
#include "jobs/record_outbox.h"
#include "jobs/vm_connection.h"

namespace plantainhead::jobs {

/// Implementation of `pool_owner`, split over four files: takeover and release
/// of the partition (`pool_owner_takeover.cc`), calls to VMs
/// (`pool_owner_vms.cc`), coordination with the fleet owner
/// (`pool_owner_fleet.cc`), and planning and progress records
/// (`pool_owner.cc`).
class pool_owner::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(dependencies dependencies,
       std::uint32_t partition,
       const owner_settings& settings)
      : deps_(std::move(dependencies)),
        partition_(partition),
        settings_(settings),
        tick_timer_(*deps_.context),
        plan_timer_(*deps_.context),
        claim_timer_(*deps_.context),
        fleet_outbox_(deps_.context, deps_.store, {kFleetTopic, 0}, {}),
        vacancy_manager_(settings.vacancies) {}
  void Start(std::uint64_t generation);
  void Close();
  // Waits for a batch that is being written, then records the release. The
  // record lets the next owner start without waiting for this member's time to
  // live, and states the remaining time of each lease.
  void Release(const std::function<void()>& on_released);
  bool is_active() const { return scheduler_ != nullptr; }
  std::uint64_t epoch() const { return epoch_; }
  core::jobs::scheduler_counts Counts() const;
  void OnJob(const std::shared_ptr<const core::jobs::job_spec>& job);
  void OnUnopenedJob(const core::jobs::job_id& job);
  void OnCancel(const core::jobs::job_id& job);
  void OnRegistry(const std::set<core::jobs::vm_id>& changed);
  void OnReport(const core::jobs::vm_id& vm, core::time_point trusted_until);
  void OnConfiguration();
  void OnFleetRecords(const std::set<std::string>& keys);

 private:
  /// Sizing state of one pool, with the last published number of wanted VMs.
  struct pool_sizing {
    pool_sizing(const core::jobs::sizer_settings& settings,
                const core::jobs::arrival_rate_settings& arrival_rate_settings)
        : sizer(settings), arrivals(arrival_rate_settings) {}
    core::jobs::pool_sizer sizer;
    core::jobs::arrival_rate_monitor arrivals;
    wanted_vms published;
    core::time_point published_at;
  };

  /// Returns whether a job that was read from the store belongs to a pool of
  /// the partition.
  bool IsOwnJob(const core::jobs::job_spec& job) const;
  /// Returns the job of an entry with its pool in the partition; null if it
  /// belongs to another partition or has ended.
  std::shared_ptr<const core::jobs::job_spec> OwnSpecOf(
      const core::jobs::directory_entry& entry) const;

  // Takeover.
  void WriteRelease(const std::function<void()>& on_released);
  void LogTakeoverFailed(const std::string& reason) const;
  void RetryClaim();
  void ReadBeforeClaim();
  void Claim();
  /// Returns whether an earlier claim of this object stored the record.
  bool IsOwnClaim(const owner_record& record) const;
  void OnClaimAnswer(progress_writer::result result);
  void VerifyClaim();
  void ReadAfterClaim();
  void CheckPredecessor(const std::function<void()>& done);
  std::map<core::jobs::vm_id, core::time_point> InheritedLeaseEnds() const;
  core::jobs::takeover_bounds MakeBounds() const;
  void Activate();

  // Planning and progress records.
  cpu_time_meter::scope Meter(loop_work kind) {
    return {&deps_.meters->work(), kind};
  }
  void Tick();
  void SchedulePlan();
  void RunCycle();
  void NoteCancellationsRead(core::time_point now);
  void LogOwnershipConfirmation(bool is_ownership_confirmed);
  void LogTakeoverWait(core::time_point now);
  void LoseOwnership(const std::string& reason);
  void StoreProgress();
  /// Logs the jobs that have become full.
  void NoteFullJobs(const core::jobs::progress_batch& batch);
  /// Returns the record of a job's progress, or nothing if it does not fit into
  /// a record of the store.
  std::optional<adapter::keyed_record> EncodeProgress(
      const core::jobs::job_id& job,
      const core::jobs::job_progress& progress);
  void OnProgressStored(const std::optional<core::jobs::progress_batch>& batch,
                        progress_writer::result result);
  void OnJobEnded(const core::jobs::job_result& job);
  static void LogLines(const std::vector<aggregated_line>& lines);

  // VMs.
  /// Passes all usable VMs of the registry to the scheduler.
  void LoadRegistry();
  /// Updates the links for the VMs that the scheduler reports as changed.
  void SyncLinks();
  void SyncLink(const core::jobs::vm_description& vm);
  /// Closes or opens the VM in the scheduler as the vacancy manager requires.
  void SyncClosed(const core::jobs::vm_id& vm);
  std::shared_ptr<vm_connection> FindLink(const core::jobs::vm_id& vm);
  void ScheduleHold(const core::jobs::vm_id& vm,
                    std::chrono::milliseconds pause);
  void Hold(const core::jobs::vm_id& vm);
  adapter::introduction_listener MakeIntroductionListener(
      const core::jobs::vm_id& vm);
  /// Handles the answer of a VM that is not in the expected incarnation.
  void OnUnexpectedVm(const core::jobs::vm_id& vm,
                      core::time_point sent_at,
                      const adapter::hold_reply& reply);
  void ProcessListing(const core::jobs::vm_id& vm,
                      const std::shared_ptr<vm_connection>& link,
                      core::time_point sent_at,
                      const core::jobs::run_listing& listing);
  void ReadUnknownJobs();
  /// `token` is the fencing token with which the hold was sent.
  void OnHoldAnswer(const core::jobs::vm_id& vm,
                    const std::shared_ptr<vm_connection>& link,
                    core::time_point sent_at,
                    std::uint64_t token,
                    const adapter::hold_reply& reply);
  /// Handles a call that the VM has rejected for its token.
  void OnTokenRejected(const core::jobs::vm_id& vm, std::uint64_t token);
  /// Updates the link after a listing. Logs a VM that responds again, or for
  /// the first time in its incarnation.
  void OnVmResponse(const core::jobs::vm_id& vm,
                    vm_connection* link,
                    const core::jobs::vm_incarnation& incarnation);
  /// Returns the delay before the next hold of a VM that returned this listing.
  std::chrono::milliseconds NextHoldDelay(
      const core::jobs::run_listing& listing) const;
  void ProcessRestarts();
  void LogLosses();
  void LogNewEnds(const core::jobs::vm_id& vm,
                  const std::shared_ptr<vm_connection>& link,
                  const core::jobs::run_listing& listing);
  void Send(const core::jobs::start_order& order);
  /// Returns a predicate that tells whether a start of a task of the job may
  /// still be sent.
  std::function<bool()> MakeStartCheck(const core::jobs::job_id& job);
  void NoteStart(const core::jobs::run_ref& target,
                 core::jobs::start_result result);
  void Send(const core::jobs::stop_order& order);
  void Send(const core::jobs::pace_order& order);

  // Coordination with the fleet owner.
  void ApplyFleetRecord(const std::string& key);
  /// Closes and opens the VMs whose vacancy state has changed.
  void CloseVms();
  void SizePools();
  bool Resize(const core::jobs::pool_id& pool,
              const core::jobs::pool_load& load,
              std::uint32_t wanted);
  bool IsScarce(const core::jobs::pool_id& except) const;
  void PublishWantedVms(const core::jobs::pool_id& pool,
                        pool_sizing* size,
                        const core::jobs::pool_load& load,
                        std::uint32_t count,
                        core::time_point now);
  void UpdateEmptiedVms();
  std::vector<adapter::keyed_record> TakeVacancyRecords();
  void OnVacanciesStored();
  void PublishVacantVms();
  adapter::keyed_record MakeHint(const core::jobs::vacant_vm& vacant) const;

  dependencies deps_;
  std::uint32_t partition_;
  owner_settings settings_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer plan_timer_;
  boost::asio::steady_timer claim_timer_;
  record_outbox fleet_outbox_;
  event_aggregator lines_;
  std::uint64_t generation_ = 0;
  std::uint64_t epoch_ = 0;
  /// The epoch of the first claim; 0 before that.
  std::uint64_t first_epoch_ = 0;
  fencing_tokens tokens_{0};
  /// The previous owner record of the partition.
  owner_record predecessor_;
  bool may_predecessor_be_active_ = false;
  std::string group_ = member_settings().group;
  bool is_claimed_ = false;
  bool is_released_ = false;
  bool is_reading_jobs_ = false;
  bool is_closed_ = false;
  bool is_plan_scheduled_ = false;
  bool may_start_ = true;
  bool was_confirmed_ = true;
  bool is_takeover_settled_ = false;
  std::optional<core::jobs::takeover_wait> first_wait_;
  /// State of the takeover wait at the last plan that waited for a VM.
  core::jobs::takeover_wait last_wait_;
  core::duration plan_time_{};
  core::time_point assigned_at_;
  core::time_point claimed_at_;
  std::unique_ptr<progress_writer> writer_;
  std::unique_ptr<core::jobs::pool_scheduler> scheduler_;
  std::map<core::jobs::vm_id, core::time_point> lease_ends_;
  core::time_point release_deadline_;
  std::unordered_map<core::jobs::vm_id, std::shared_ptr<vm_connection>> links_;
  /// Pools that have fewer VMs than they want.
  std::set<core::jobs::pool_id> undersized_pools_;
  std::map<core::jobs::pool_id, pool_sizing> pool_sizings_;
  core::jobs::vacancy_manager vacancy_manager_;
  /// See `progress_batch`.
  std::set<core::jobs::job_id> full_jobs_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_POOL_OWNER_IMPL_H_
