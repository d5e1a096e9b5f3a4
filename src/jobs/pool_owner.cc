#include "jobs/pool_owner.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/fleet_records.h"
#include "jobs/group_member.h"
#include "jobs/record_codec.h"
#include "jobs/vm_link.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::jobs {
namespace {

namespace asio = boost::asio;
using adapter::hold_outcome;
using core::jobs::pool_scheduler;
using core::jobs::run_ref;
using core::jobs::start_result;
using core::jobs::vm_description;
using core::jobs::vm_id;
using std::chrono::milliseconds;

// Clocks that differ by 2% make a lease last longer; see `vm_state::Grant`.
constexpr double kSlowestClock = 0.975;

observe::log_fields FieldsOf(const run_ref& target) {
  return {{"job", target.task.job},
          {"step", std::to_string(target.task.step)},
          {"index", std::to_string(target.task.index)},
          {"run", std::to_string(target.run)},
          {"vm", target.vm}};
}

}  // namespace

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
        claim_timer_(*deps_.context) {}

  // Takeover.

  void Start(std::uint64_t generation) {
    generation_ = generation;
    ReadBeforeClaim();
  }

  void Close() {
    is_closed_ = true;
    tick_timer_.cancel();
    plan_timer_.cancel();
    claim_timer_.cancel();
    links_.clear();
    writer_.reset();
  }

  // The record of the end lets the next owner begin without waiting for this
  // one's time to live, and tells it how long each lease runs. So a batch that
  // is under way is waited for.
  void Release(const std::function<void()>& on_released) {
    if (!scheduler_) {
      Close();
      on_released();
      return;
    }
    lease_ends_ = scheduler_->LeaseEnds();
    scheduler_.reset();
    links_.clear();
    tick_timer_.cancel();
    plan_timer_.cancel();
    release_until_ = BootTime() + settings_.release_limit;
    WriteRelease(on_released);
  }

  void WriteRelease(const std::function<void()>& on_released) {
    if (writer_->IsWriting()) {
      if (BootTime() >= release_until_) {
        Close();
        on_released();
        return;
      }
      claim_timer_.expires_after(settings_.release_poll);
      claim_timer_.async_wait([self = shared_from_this(), on_released](
                                  const boost::system::error_code& error) {
        if (!error) {
          self->WriteRelease(on_released);
        }
      });
      return;
    }
    owner_record end{epoch_, "", {}};
    for (const auto& [vm, lapse_at] : lease_ends_) {
      end.leases[vm] = std::max(core::duration::zero(), lapse_at - BootTime());
    }
    writer_->Write({Encode(end)}, [self = shared_from_this(), on_released](
                                      progress_writer::result /*result*/) {
      self->Close();
      on_released();
    });
  }

  bool is_active() const { return scheduler_ != nullptr; }
  std::uint64_t epoch() const { return epoch_; }

  core::jobs::scheduler_counts Counts() const {
    return scheduler_ ? scheduler_->Counts() : core::jobs::scheduler_counts();
  }

  // News.

  void OnJob(const std::shared_ptr<const core::jobs::job_spec>& job) {
    if (scheduler_ && PoolPartitionOf(job->pool) == partition_) {
      scheduler_->AddJob(job, deps_.world->PolicyOf(job->queue), BootTime());
      Kick();
    }
  }

  void OnCancel(const core::jobs::job_id& job) {
    if (scheduler_) {
      scheduler_->CancelJob(job);
      Kick();
    }
  }

  void OnRegistry() {
    if (!scheduler_) {
      return;
    }
    std::vector<vm_description> vms;
    for (const auto& [id, vm] : deps_.world->registry()) {
      if (PoolPartitionOf(vm.pool) == partition_) {
        vms.push_back(vm);
      }
    }
    scheduler_->UpdateVms(vms, BootTime());
    Kick();
  }

  void OnConfiguration() {
    if (scheduler_) {
      for (const core::jobs::queue_route& route :
           deps_.world->routes().configuration().routes) {
        scheduler_->SetPolicy(route.queue, route.policy);
      }
    }
  }

  void OnFleetRecords() {
    if (!scheduler_) {
      return;
    }
    std::map<vm_id, bool> wanted;
    for (const auto& [key, value] : deps_.world->fleet_records()) {
      if (const auto vm = ClosedVmOf(key)) {
        wanted[*vm] = true;
      } else if (const auto offered = OfferedVmOf(key)) {
        wanted[*offered] = true;
      }
    }
    for (const vm_id& vm : released_) {
      wanted[vm] = true;
    }
    has_closed_vms_ = !wanted.empty();
    for (const auto& [id, link] : links_) {
      if (wanted.count(id) != 0) {
        scheduler_->CloseVm(id, BootTime());
      } else {
        scheduler_->OpenVm(id);
        reported_empty_.erase(id);
      }
    }
    Kick();
  }

 private:
  void RetryClaim() {
    claim_timer_.expires_after(settings_.takeover_retry);
    claim_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto owner = self.lock();
          if (owner && !error && !owner->is_closed_) {
            owner->ReadBeforeClaim();
          }
        });
  }

  void ReadBeforeClaim() {
    deps_.world->RefreshProgress(partition_,
                                 [self = weak_from_this()](bool is_read) {
                                   const auto owner = self.lock();
                                   if (!owner || owner->is_closed_) {
                                     return;
                                   }
                                   if (is_read) {
                                     owner->Claim();
                                   } else {
                                     owner->RetryClaim();
                                   }
                                 });
  }

  void Claim() {
    predecessor_ = deps_.world->OwnerOf(partition_);
    epoch_ = std::max({generation_, predecessor_.epoch + 1, epoch_ + 1});
    writer_ = std::make_unique<progress_writer>(
        deps_.context, deps_.store,
        adapter::store_partition{kProgressTopic, partition_}, settings_.writer);
    writer_->Claim(epoch_, deps_.member, deps_.world->CursorOf(partition_),
                   [self = weak_from_this()](progress_writer::result result) {
                     const auto owner = self.lock();
                     if (owner && !owner->is_closed_) {
                       owner->TakeClaim(result);
                     }
                   });
  }

  void TakeClaim(progress_writer::result result) {
    if (result != progress_writer::result::kStored) {
      LogEvent(job_event::kTakeoverFailed,
               {{"partition", std::to_string(partition_)},
                {"epoch", std::to_string(epoch_)},
                {"reason", result == progress_writer::result::kFenced
                               ? "a newer owner has written"
                               : "the partition was written to meanwhile"}});
      RetryClaim();
      return;
    }
    claimed_at_ = BootTime();
    ReadAfterClaim();
  }

  // What an earlier owner may have acted on, it has read from the store. So all
  // that is in the store now must be known before the first order.
  void ReadAfterClaim() {
    const auto left = std::make_shared<int>(3);
    const auto done = [self = weak_from_this(), left] {
      const auto owner = self.lock();
      if (--*left == 0 && owner && !owner->is_closed_) {
        owner->Begin();
      }
    };
    deps_.world->RefreshAllJobs(done);
    deps_.world->RefreshRegistry(done);
    AskForPredecessor(done);
  }

  // A member that has given up, or an earlier life of this process, gives no
  // more orders; neither does one that the group doesn't know any more, since
  // its time to live has passed. What it started runs on.
  void AskForPredecessor(const std::function<void()>& done) {
    const std::string& member = predecessor_.member;
    may_predecessor_act_ = false;
    if (predecessor_.epoch == 0 || member.empty() || member == deps_.member) {
      done();
      return;
    }
    may_predecessor_act_ = true;
    deps_.store->ListMembers(
        group_, settings_.owners_timeout,
        [self = weak_from_this(), done](const adapter::members_reply& reply) {
          const auto owner = self.lock();
          if (!owner || owner->is_closed_) {
            return;
          }
          // With fewer members than partitions each member holds one, so that
          // one that holds none has left or has expired.
          const bool is_gone =
              reply.is_read && reply.members.size() < kPoolPartitions &&
              reply.members.count(owner->predecessor_.member) == 0;
          owner->may_predecessor_act_ = !is_gone;
          done();
        });
  }

  core::jobs::takeover_bounds MakeBounds() const {
    core::jobs::takeover_bounds bounds;
    if (predecessor_.epoch == 0) {
      return bounds;
    }
    const auto longest_lease = core::duration(static_cast<std::int64_t>(
        static_cast<double>(settings_.scheduler.lease.count()) /
        kSlowestClock));
    const milliseconds acting =
        may_predecessor_act_ ? settings_.time_to_live : milliseconds(0);
    bounds.fresh_from = claimed_at_ + acting + milliseconds(1);
    bounds.others_lapsed_at = claimed_at_ + acting + longest_lease;
    for (const auto& [vm, left] : predecessor_.leases) {
      bounds.lapsed_at[vm] = claimed_at_ + left;
    }
    return bounds;
  }

  void Begin() {
    const core::jobs::takeover_bounds bounds = MakeBounds();
    scheduler_ = std::make_unique<pool_scheduler>(settings_.scheduler, bounds);
    std::size_t open = 0;
    for (const auto& [id, entry] : deps_.world->directory().entries()) {
      if (core::jobs::IsFinal(entry.progress.phase)) {
        scheduler_->AddEndedJob(id);
      }
      if (!entry.spec || PoolPartitionOf(entry.pool) != partition_) {
        continue;
      }
      ++open;
      // An earlier owner may have read all that was stored by the claim, so
      // that none of these jobs counts as fresh.
      scheduler_->AddJob(entry.spec, deps_.world->PolicyOf(entry.queue),
                         claimed_at_);
      scheduler_->RestoreJob(id, entry.progress);
      if (entry.is_cancelled) {
        scheduler_->CancelJob(id);
      }
    }
    LogEvent(job_event::kOwnershipGained,
             {{"partition", std::to_string(partition_)},
              {"epoch", std::to_string(epoch_)},
              {"open_jobs", std::to_string(open)},
              {"predecessor", predecessor_.member},
              {"predecessor_acts", may_predecessor_act_ ? "maybe" : "no"}});
    for (const auto& [id, address] : deps_.world->UsedVms(partition_)) {
      scheduler_->AddKnownVm({id, address});
    }
    OnRegistry();
    Work();
    OnFleetRecords();
    Tick();
  }

  // Work.

  void Tick() {
    tick_timer_.expires_after(settings_.tick);
    tick_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto owner = self.lock();
          if (owner && !error && !owner->is_closed_) {
            owner->Work();
            owner->SizePools();
            owner->Tick();
          }
        });
  }

  // Plans soon; several events in a row lead to one plan.
  void Kick() {
    if (is_kicked_) {
      return;
    }
    is_kicked_ = true;
    plan_timer_.expires_after(settings_.plan_gap);
    plan_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto owner = self.lock();
          if (owner && !error) {
            owner->is_kicked_ = false;
            owner->Work();
          }
        });
  }

  void Work() {
    if (!scheduler_ || is_closed_) {
      return;
    }
    if (scheduler_->IsFenced()) {
      Lose("a VM is held by a newer owner");
      return;
    }
    SyncLinks();
    if (deps_.is_sure()) {
      for (const core::jobs::vm_order& order :
           scheduler_->Plan(BootTime(), WallTime())) {
        std::visit([this](const auto& kind) { Send(kind); }, order);
      }
    }
    StoreProgress();
    if (has_closed_vms_) {
      ReportEmptyVms();
    }
    OfferEmptyVms();
  }

  void Lose(const std::string& reason) {
    LogEvent(job_event::kOwnershipLost,
             {{"partition", std::to_string(partition_)},
              {"epoch", std::to_string(epoch_)},
              {"reason", reason}});
    const auto on_fenced = deps_.on_fenced;
    Close();
    scheduler_.reset();
    on_fenced();
  }

  void SyncLinks() {
    if (scheduler_->VmsVersion() == synced_version_) {
      return;
    }
    synced_version_ = scheduler_->VmsVersion();
    const std::vector<vm_description> vms = scheduler_->Vms();
    for (const vm_description& vm : vms) {
      const auto found = links_.find(vm.id);
      if (found != links_.end() && found->second->address == vm.address) {
        continue;
      }
      try {
        links_[vm.id] =
            std::make_shared<vm_link>(deps_.context, vm.id, vm.address);
      } catch (const std::invalid_argument& error) {
        LogEvent(job_event::kRecordInvalid, {{"topic", adapter::kRegistryTopic},
                                             {"key", vm.id},
                                             {"reason", error.what()}});
        continue;
      }
      Hold(vm.id);
    }
    for (auto it = links_.begin(); it != links_.end();) {
      const bool is_known = std::any_of(
          vms.begin(), vms.end(),
          [&](const vm_description& vm) { return vm.id == it->first; });
      it = is_known ? std::next(it) : links_.erase(it);
    }
  }

  std::shared_ptr<vm_link> FindLink(const vm_id& vm) {
    const auto found = links_.find(vm);
    return found == links_.end() ? nullptr : found->second;
  }

  void HoldLater(const vm_id& vm, milliseconds pause) {
    const auto link = FindLink(vm);
    if (!link || link->is_waiting || link->is_holding) {
      return;
    }
    link->is_waiting = true;
    link->timer.expires_after(pause);
    link->timer.async_wait([self = weak_from_this(), link,
                            vm](const boost::system::error_code& error) {
      link->is_waiting = false;
      const auto owner = self.lock();
      if (owner && !error && !owner->is_closed_) {
        owner->Hold(vm);
      }
    });
  }

  void Hold(const vm_id& vm) {
    const auto link = FindLink(vm);
    if (!link || link->is_holding || !scheduler_) {
      return;
    }
    if (!deps_.is_sure()) {
      HoldLater(vm, settings_.hold_retry);
      return;
    }
    link->is_holding = true;
    const core::time_point sent_at = BootTime();
    link->held_at = sent_at;
    link->client.Hold(scheduler_->NextHold(vm, sent_at), epoch_,
                      settings_.hold_timeout,
                      [self = weak_from_this(), link, vm,
                       sent_at](const adapter::hold_reply& reply) {
                        link->is_holding = false;
                        const auto owner = self.lock();
                        if (owner && !owner->is_closed_ && owner->scheduler_) {
                          owner->TakeHold(vm, link, sent_at, reply);
                        }
                      });
  }

  void TakeHold(const vm_id& vm,
                const std::shared_ptr<vm_link>& link,
                core::time_point sent_at,
                const adapter::hold_reply& reply) {
    const core::time_point now = BootTime();
    switch (reply.outcome) {
      case hold_outcome::kListed:
        if (link->is_lost) {
          link->is_lost = false;
          LogEvent(job_event::kVmHeard, {{"vm", vm}});
        }
        LogNewEnds(vm, link, reply.listing);
        scheduler_->OnListing(vm, sent_at, reply.listing, now);
        Kick();
        // Ends that aren't acknowledged would be listed again at once, so the
        // next hold waits for their record to be stored.
        HoldLater(vm, reply.listing.ended.empty() ? settings_.hold_gap
                                                  : settings_.ack_gap);
        return;
      case hold_outcome::kFenced:
        scheduler_->OnFenced();
        Kick();
        return;
      case hold_outcome::kReplaced:
        LogEvent(job_event::kVmLost,
                 {{"vm", vm}, {"reason", "another life of it answered"}});
        scheduler_->OnReplaced(vm, now);
        Kick();
        return;
      case hold_outcome::kFailed:
      case hold_outcome::kUnanswered:
        if (!link->is_lost) {
          link->is_lost = true;
          LogEvent(job_event::kVmLost,
                   {{"vm", vm},
                    {"reason", "a hold had no answer"},
                    {"status", std::to_string(reply.status)}});
        }
        scheduler_->OnHoldUnanswered(vm);
        HoldLater(vm, settings_.hold_retry);
        return;
    }
  }

  void LogNewEnds(const vm_id& vm,
                  const std::shared_ptr<vm_link>& link,
                  const core::jobs::vm_listing& listing) {
    for (const core::jobs::ended_task& end : listing.ended) {
      if (end.number <= link->logged_end ||
          end.how == core::jobs::end_kind::kDone) {
        continue;
      }
      observe::log_fields fields = FieldsOf({vm, end.task, end.run});
      fields.emplace_back("how", core::NameOf(end.how));
      LogEvent(job_event::kTaskEnded, fields);
    }
    if (!listing.ended.empty()) {
      link->logged_end =
          std::max(link->logged_end, listing.ended.back().number);
    }
  }

  void Send(const core::jobs::start_order& order) {
    const auto link = FindLink(order.target.vm);
    if (!link) {
      scheduler_->OnStartAnswer(order.target, start_result::kNotSent,
                                BootTime());
      return;
    }
    const run_ref target = order.target;
    link->client.Start(
        order, epoch_, settings_.order_timeout,
        [self = weak_from_this(), target](start_result result) {
          const auto owner = self.lock();
          if (!owner || owner->is_closed_ || !owner->scheduler_) {
            return;
          }
          const bool is_started = result == start_result::kStarted;
          observe::log_fields fields = FieldsOf(target);
          fields.emplace_back("result", core::NameOf(result));
          LogEvent(
              is_started ? job_event::kTaskStarted : job_event::kTaskNotStarted,
              fields);
          owner->scheduler_->OnStartAnswer(target, result, BootTime());
          if (!is_started) {
            owner->Kick();
          }
        });
  }

  void Send(const core::jobs::stop_order& order) {
    const auto link = FindLink(order.target.vm);
    if (!link) {
      scheduler_->OnStopAnswer(order.target, false, BootTime());
      return;
    }
    const run_ref target = order.target;
    link->client.Stop(
        order, epoch_, settings_.order_timeout,
        [self = weak_from_this(), target](bool is_confirmed) {
          const auto owner = self.lock();
          if (!owner || owner->is_closed_ || !owner->scheduler_) {
            return;
          }
          observe::log_fields fields = FieldsOf(target);
          fields.emplace_back("confirmed", is_confirmed ? "yes" : "no");
          LogEvent(job_event::kTaskStopped, fields);
          owner->scheduler_->OnStopAnswer(target, is_confirmed, BootTime());
          owner->Kick();
        });
  }

  void Send(const core::jobs::pace_order& order) {
    if (const auto link = FindLink(order.target.vm)) {
      link->client.Pace(order, epoch_, settings_.order_timeout);
    }
  }

  void StoreProgress() {
    if (writer_->IsBusy()) {
      return;
    }
    auto batch = scheduler_->TakeBatch();
    if (!batch) {
      return;
    }
    std::vector<adapter::keyed_record> records;
    records.reserve(batch->jobs.size());
    for (const auto& [id, progress] : batch->jobs) {
      records.push_back(Encode(progress_record{id, progress}));
    }
    // In this order: a VM that is used again was dropped before.
    for (const vm_id& vm : batch->dropped_vms) {
      records.push_back(Encode(vm_record{vm, "", true}));
    }
    for (const core::jobs::known_vm& vm : batch->used_vms) {
      records.push_back(Encode(vm_record{vm.id, vm.address, false}));
    }
    const auto stored =
        std::make_shared<core::jobs::progress_batch>(std::move(*batch));
    writer_->Write(std::move(records), [self = weak_from_this(), stored](
                                           progress_writer::result result) {
      const auto owner = self.lock();
      if (owner && !owner->is_closed_ && owner->scheduler_) {
        owner->TakeStored(*stored, result);
      }
    });
  }

  void TakeStored(const core::jobs::progress_batch& batch,
                  progress_writer::result result) {
    if (result != progress_writer::result::kStored) {
      Lose("the store has a newer owner");
      return;
    }
    for (const auto& [id, progress] : batch.jobs) {
      if (core::jobs::IsFinal(progress.phase)) {
        LogEvent(job_event::kJobEnded,
                 {{"job", id},
                  {"phase", std::string(core::NameOf(progress.phase))}});
      }
      deps_.world->NoteProgress(id, progress);
    }
    scheduler_->OnBatchStored(batch);
    Kick();
  }

  // Tells the owner of the fleet how many VMs each pool wants, and gives away
  // those that it can do without.
  void SizePools() {
    if (!scheduler_) {
      return;
    }
    const core::time_point now = BootTime();
    for (const core::jobs::pool_settings& pool :
         deps_.world->routes().configuration().pools) {
      if (pool.is_spare || PoolPartitionOf(pool.id) != partition_) {
        continue;
      }
      const core::jobs::pool_load load = scheduler_->Load(pool.id, now);
      if (load.usable_vms == 0) {
        continue;
      }
      auto [size, is_new] = sizes_.try_emplace(pool.id, settings_.sizer, now);
      const std::uint32_t wanted =
          size->second.sizer.Update(load, IsScarce(pool.id), now);
      TellWanted(pool.id, &size->second, load, wanted, now);
      const bool is_known = now - size->second.since > settings_.sizer.memory;
      if (is_known && load.usable_vms > wanted) {
        for (const vm_id& vm :
             scheduler_->LeastUsed(pool.id, load.usable_vms - wanted)) {
          scheduler_->CloseVm(vm, now);
          released_.insert(vm);
        }
      }
    }
  }

  bool IsScarce(const core::jobs::pool_id& except) const {
    const auto& records = deps_.world->fleet_records();
    return std::any_of(records.begin(), records.end(), [&](const auto& record) {
      const auto pool = WantingPoolOf(record.first);
      return pool && *pool != except && DecodeWantedVms(record.second).is_short;
    });
  }

  struct pool_size {
    pool_size(const core::jobs::sizer_settings& settings, core::time_point now)
        : sizer(settings), since(now) {}
    core::jobs::pool_sizer sizer;
    core::time_point since;
    wanted_vms told;
    core::time_point told_at;
  };

  void TellWanted(const core::jobs::pool_id& pool,
                  pool_size* size,
                  const core::jobs::pool_load& load,
                  std::uint32_t count,
                  core::time_point now) {
    const wanted_vms wanted{count, load.usable_vms < count};
    if (wanted == size->told || now - size->told_at < settings_.wanted_gap) {
      return;
    }
    size->told = wanted;
    size->told_at = now;
    LogEvent(job_event::kPoolSized,
             {{"pool", pool},
              {"wanted", std::to_string(count)},
              {"usable", std::to_string(load.usable_vms)},
              {"used_millis", std::to_string(load.used.cpu_millis)},
              {"waiting_millis", std::to_string(load.waiting.cpu_millis)}});
    adapter::append_call call;
    call.partition = {kFleetTopic, 0};
    call.records = {EncodeWantedVms(pool, wanted)};
    deps_.store->Append(
        call, settings_.writer.timeout,
        [self = weak_from_this(), pool](const adapter::append_reply& reply) {
          const auto owner = self.lock();
          if (owner && reply.outcome != adapter::append_outcome::kStored) {
            const auto found = owner->sizes_.find(pool);
            if (found != owner->sizes_.end()) {
              found->second.told = {};
            }
          }
        });
  }

  void OfferEmptyVms() {
    for (auto it = released_.begin(); it != released_.end();) {
      const vm_id vm = *it;
      if (links_.count(vm) == 0) {
        it = released_.erase(it);
        continue;
      }
      ++it;
      if (!scheduler_->IsEmpty(vm) || !offered_.insert(vm).second) {
        continue;
      }
      adapter::append_call call;
      call.partition = {kFleetTopic, 0};
      call.records = {EncodeOfferedVm(vm)};
      deps_.store->Append(
          call, settings_.writer.timeout,
          [self = weak_from_this(), vm](const adapter::append_reply& reply) {
            const auto owner = self.lock();
            if (owner && reply.outcome != adapter::append_outcome::kStored) {
              owner->offered_.erase(vm);
            }
          });
    }
  }

  // Tells the owner of the fleet which VMs may be serviced.
  void ReportEmptyVms() {
    for (const auto& [key, value] : deps_.world->fleet_records()) {
      const auto vm = ClosedVmOf(key);
      if (!vm || !scheduler_->IsEmpty(*vm) ||
          !reported_empty_.emplace(*vm, true).second) {
        continue;
      }
      adapter::append_call call;
      call.partition = {kFleetTopic, 0};
      call.records = {EncodeEmptyVm(*vm)};
      deps_.store->Append(
          call, settings_.writer.timeout,
          [self = weak_from_this(), vm](const adapter::append_reply& reply) {
            const auto owner = self.lock();
            if (owner && reply.outcome != adapter::append_outcome::kStored) {
              owner->reported_empty_.erase(*vm);
            }
          });
    }
  }

  dependencies deps_;
  std::uint32_t partition_;
  owner_settings settings_;
  asio::steady_timer tick_timer_;
  asio::steady_timer plan_timer_;
  asio::steady_timer claim_timer_;
  std::uint64_t generation_ = 0;
  std::uint64_t epoch_ = 0;
  /// Who owned before, and how it left.
  owner_record predecessor_;
  bool may_predecessor_act_ = false;
  std::string group_ = member_settings().group;
  bool is_closed_ = false;
  bool is_kicked_ = false;
  std::uint64_t synced_version_ = 0;
  core::time_point claimed_at_;
  std::unique_ptr<progress_writer> writer_;
  std::unique_ptr<pool_scheduler> scheduler_;
  std::map<vm_id, core::time_point> lease_ends_;
  core::time_point release_until_;
  std::map<vm_id, std::shared_ptr<vm_link>> links_;
  bool has_closed_vms_ = false;
  std::map<vm_id, bool> reported_empty_;
  std::map<core::jobs::pool_id, pool_size> sizes_;
  /// VMs that are emptied to be given away, and those that were offered.
  std::set<vm_id> released_;
  std::set<vm_id> offered_;
};

pool_owner::pool_owner(dependencies dependencies,
                       std::uint32_t partition,
                       const owner_settings& settings)
    : impl_(std::make_shared<impl>(std::move(dependencies),
                                   partition,
                                   settings)) {}

pool_owner::~pool_owner() {
  impl_->Close();
}

void pool_owner::Start(std::uint64_t generation) {
  impl_->Start(generation);
}

void pool_owner::Release(std::function<void()> on_released) {
  impl_->Release(std::move(on_released));
}

bool pool_owner::IsActive() const {
  return impl_->is_active();
}

std::uint64_t pool_owner::epoch() const {
  return impl_->epoch();
}

core::jobs::scheduler_counts pool_owner::Counts() const {
  return impl_->Counts();
}

void pool_owner::OnJob(const std::shared_ptr<const core::jobs::job_spec>& job) {
  impl_->OnJob(job);
}

void pool_owner::OnCancel(const core::jobs::job_id& job) {
  impl_->OnCancel(job);
}

void pool_owner::OnRegistry() {
  impl_->OnRegistry();
}

void pool_owner::OnConfiguration() {
  impl_->OnConfiguration();
}

void pool_owner::OnFleetRecords() {
  impl_->OnFleetRecords();
}

}  // namespace plantainhead::jobs
