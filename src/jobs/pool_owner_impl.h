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

#include "jobs/fleet_records.h"
#include "jobs/group_member.h"
#include "jobs/line_gatherer.h"
#include "jobs/pool_owner.h"
#include "jobs/progress_writer.h"
#include "jobs/record_codec.h"
#include "jobs/record_outbox.h"
#include "jobs/vm_link.h"
#include "jobs/work_meter.h"

namespace plantainhead::jobs {

/// The state of a `pool_owner`. Four files share it: how the partition is taken
/// over and handed on (`pool_owner_takeover.cc`), calls to VMs
/// (`pool_owner_vms.cc`), what is agreed with the fleet's owner
/// (`pool_owner_fleet.cc`), and the work between them (`pool_owner.cc`).
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
        vacancies_(settings.vacancies) {}
  void Start(std::uint64_t generation);
  void Close();
  // The record of the end lets the next owner begin without waiting for this
  // one's time to live, and tells it how long each lease runs. So a batch that
  // is under way is waited for.
  void Release(const std::function<void()>& on_released);
  bool is_active() const { return scheduler_ != nullptr; }
  std::uint64_t epoch() const { return epoch_; }
  core::jobs::scheduler_counts Counts() const;
  void OnJob(const std::shared_ptr<const core::jobs::job_spec>& job);
  void OnCancel(const core::jobs::job_id& job);
  void OnRegistry(const std::set<core::jobs::vm_id>& changed);
  void OnReport(const core::jobs::vm_id& vm, core::time_point trusted_until);
  void OnConfiguration();
  void OnFleetRecords(const std::set<std::string>& keys);

 private:
  struct pool_size {
    pool_size(const core::jobs::sizer_settings& settings,
              const core::jobs::arrival_rate_settings& arrival_rate_settings)
        : sizer(settings), arrivals(arrival_rate_settings) {}
    core::jobs::pool_sizer sizer;
    core::jobs::arrival_rate_monitor arrivals;
    wanted_vms told;
    core::time_point told_at;
  };

  // Takeover.
  void WriteRelease(const std::function<void()>& on_released);
  void LogTakeoverFailed(const std::string& reason) const;
  void RetryClaim();
  void ReadBeforeClaim();
  void Claim();
  void TakeClaim(progress_writer::result result);
  void ReadClaim();
  void ReadAfterClaim();
  void AskForPredecessor(const std::function<void()>& done);
  std::map<core::jobs::vm_id, core::time_point> InheritedLeaseEnds() const;
  core::jobs::takeover_bounds MakeBounds() const;
  void Begin();

  // Work.
  work_meter::scope Meter(loop_work kind) {
    return {&deps_.meters->work(), kind};
  }
  void Tick();
  void Kick();
  void Work();
  void NoteCancellationsRead(core::time_point now);
  void NoteSureness(bool is_sure);
  void NoteTakeoverWait(core::time_point now);
  void Lose(const std::string& reason);
  void StoreProgress();
  void TakeStored(const std::optional<core::jobs::progress_batch>& batch,
                  progress_writer::result result);
  void NoteJobEnd(const core::jobs::job_result& job);
  static void LogLines(const std::vector<gathered_line>& lines);

  // VMs.
  /// Takes over all VMs of the registry.
  void TakeRegistry();
  /// Takes over what has changed of the VMs that need a hold.
  void SyncLinks();
  void SyncLink(const core::jobs::vm_description& vm);
  /// Sees to it that the VM is closed if it has to be.
  void SyncClosed(const core::jobs::vm_id& vm);
  std::shared_ptr<vm_link> FindLink(const core::jobs::vm_id& vm);
  void HoldLater(const core::jobs::vm_id& vm, std::chrono::milliseconds pause);
  void Hold(const core::jobs::vm_id& vm);
  void ReadUnknownJobs();
  void TakeHold(const core::jobs::vm_id& vm,
                const std::shared_ptr<vm_link>& link,
                core::time_point sent_at,
                const adapter::hold_reply& reply);
  /// Logs a VM that is heard again, or for the first time in its life.
  void NoteHeard(const core::jobs::vm_id& vm,
                 vm_link* link,
                 const core::jobs::vm_incarnation& incarnation);
  /// How long to wait before the next hold of a VM that listed this.
  std::chrono::milliseconds GapAfter(
      const core::jobs::run_listing& listing) const;
  void LogLosses();
  void LogNewEnds(const core::jobs::vm_id& vm,
                  const std::shared_ptr<vm_link>& link,
                  const core::jobs::run_listing& listing);
  void Send(const core::jobs::start_order& order);
  /// Returns what tells whether a start of a task of the job may still be sent.
  std::function<bool()> StartGate(const core::jobs::job_id& job);
  void NoteStart(const core::jobs::run_ref& target,
                 core::jobs::start_result result);
  void Send(const core::jobs::stop_order& order);
  void Send(const core::jobs::pace_order& order);

  // Fleet.
  void TakeFleetRecord(const std::string& key);
  /// Closes and opens VMs as the vacancies have changed.
  void CloseVms();
  void SizePools();
  bool Resize(const core::jobs::pool_id& pool,
              const core::jobs::pool_load& load,
              std::uint32_t wanted);
  bool IsScarce(const core::jobs::pool_id& except) const;
  void TellWanted(const core::jobs::pool_id& pool,
                  pool_size* size,
                  const core::jobs::pool_load& load,
                  std::uint32_t count,
                  core::time_point now);
  void TakeEmptiedVms();
  std::vector<adapter::keyed_record> TakeVacancyRecords();
  void NoteVacanciesStored();
  void TellVacantVms();
  adapter::keyed_record HintOf(const core::jobs::vacant_vm& vacant) const;

  dependencies deps_;
  std::uint32_t partition_;
  owner_settings settings_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer plan_timer_;
  boost::asio::steady_timer claim_timer_;
  record_outbox fleet_outbox_;
  line_gatherer lines_;
  std::uint64_t generation_ = 0;
  std::uint64_t epoch_ = 0;
  /// Who owned before, and how it left.
  owner_record predecessor_;
  bool may_predecessor_act_ = false;
  std::string group_ = member_settings().group;
  bool is_claimed_ = false;
  bool is_released_ = false;
  bool is_reading_jobs_ = false;
  bool is_closed_ = false;
  bool is_kicked_ = false;
  bool may_start_ = true;
  bool was_sure_ = true;
  bool is_takeover_settled_ = false;
  std::optional<core::jobs::takeover_wait> first_wait_;
  /// As of the last plan that waited for a VM.
  core::jobs::takeover_wait last_wait_;
  core::duration plan_time_{};
  core::time_point dealt_at_;
  core::time_point claimed_at_;
  std::unique_ptr<progress_writer> writer_;
  std::unique_ptr<core::jobs::pool_scheduler> scheduler_;
  std::map<core::jobs::vm_id, core::time_point> lease_ends_;
  core::time_point release_until_;
  std::unordered_map<core::jobs::vm_id, std::shared_ptr<vm_link>> links_;
  /// Pools that have fewer VMs than they want.
  std::set<core::jobs::pool_id> short_pools_;
  std::map<core::jobs::pool_id, pool_size> sizes_;
  core::jobs::vacancy_manager vacancies_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_POOL_OWNER_IMPL_H_
