#include "jobs/pool_owner_impl.h"

#include <algorithm>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "plantainhead/core/jobs/job_age.h"

namespace plantainhead::jobs {

using core::jobs::pool_scheduler;
using std::chrono::milliseconds;

namespace {

// A clock that runs 2% slower makes a lease last longer; see `vm_state::Grant`.
constexpr double kMinClockRate = 0.975;

}  // namespace

void pool_owner::impl::Start(std::uint64_t generation) {
  generation_ = generation;
  assigned_at_ = BootTime();
  ReadBeforeClaim();
}

// Waits for a batch that is being written, then records the release. The record
// lets the next owner start without waiting for this member's time to live, and
// states the remaining time of each lease.
void pool_owner::impl::Release(const std::function<void()>& on_released) {
  if (!is_claimed_ || is_closed_) {
    Close();
    on_released();
    return;
  }
  lease_ends_ = scheduler_ ? scheduler_->LeaseEnds() : InheritedLeaseEnds();
  is_released_ = true;
  LogLines(lines_.TakeAll());
  scheduler_.reset();
  links_.clear();
  tick_timer_.cancel();
  plan_timer_.cancel();
  release_deadline_ = BootTime() + settings_.release_timeout;
  WriteRelease(on_released);
}

void pool_owner::impl::WriteRelease(const std::function<void()>& on_released) {
  if (writer_->IsWriting()) {
    if (BootTime() >= release_deadline_) {
      Close();
      on_released();
      return;
    }
    claim_timer_.expires_after(settings_.release_poll_interval);
    claim_timer_.async_wait([self = shared_from_this(), on_released](
                                const boost::system::error_code& error) {
      if (!error) {
        self->WriteRelease(on_released);
      }
    });
    return;
  }
  owner_record end{std::max(epoch_, tokens_.highest()), "", {}};
  for (const auto& [vm, lease_expires_at] : lease_ends_) {
    end.leases[vm] =
        std::max(core::duration::zero(), lease_expires_at - BootTime());
  }
  writer_->Write({Encode(end)}, [self = shared_from_this(), on_released](
                                    progress_writer::result /*result*/) {
    self->Close();
    on_released();
  });
}

void pool_owner::impl::LogTakeoverFailed(const std::string& reason) const {
  LogEvent(job_event::kTakeoverFailed,
           {{"partition", std::to_string(partition_)},
            {"epoch", std::to_string(epoch_)},
            {"dealt_ms_ago", MillisOf(BootTime() - assigned_at_)},
            {"reason", reason}});
}

void pool_owner::impl::RetryClaim() {
  claim_timer_.expires_after(settings_.takeover_retry_delay);
  claim_timer_.async_wait(
      [self = weak_from_this()](const boost::system::error_code& error) {
        const auto owner = self.lock();
        if (owner && !error && !owner->is_closed_) {
          owner->ReadBeforeClaim();
        }
      });
}

void pool_owner::impl::ReadBeforeClaim() {
  deps_.view->RefreshProgress(
      partition_, [self = weak_from_this()](bool is_read) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_) {
          return;
        }
        if (is_read) {
          owner->Claim();
        } else {
          owner->LogTakeoverFailed("the partition could not be read");
          owner->RetryClaim();
        }
      });
}

// A claim whose answer was lost may have been stored. The owner before it may
// still be active, and its record tells how long its leases last.
bool pool_owner::impl::IsOwnClaim(const owner_record& record) const {
  return first_epoch_ != 0 && record.epoch >= first_epoch_ &&
         record.member == deps_.member;
}

// A member whose time to live has passed without its noticing would otherwise
// take the pool from its new, working owner.
void pool_owner::impl::Claim() {
  if (!deps_.is_ownership_confirmed()) {
    LogTakeoverFailed("the group membership has expired");
    RetryClaim();
    return;
  }
  const owner_record newest = deps_.view->OwnerOf(partition_);
  if (!IsOwnClaim(newest)) {
    predecessor_ = newest;
  }
  epoch_ = std::max({generation_, newest.epoch + 1, epoch_ + 1});
  first_epoch_ = first_epoch_ == 0 ? epoch_ : first_epoch_;
  writer_ = std::make_unique<progress_writer>(
      deps_.context, deps_.store,
      adapter::store_partition{kProgressTopic, partition_}, settings_.writer);
  writer_->Claim(epoch_, deps_.member, deps_.view->CursorOf(partition_),
                 [self = weak_from_this()](progress_writer::result result) {
                   const auto owner = self.lock();
                   if (owner && !owner->is_closed_) {
                     owner->OnClaimAnswer(result);
                   }
                 });
}

void pool_owner::impl::OnClaimAnswer(progress_writer::result result) {
  if (result != progress_writer::result::kStored) {
    LogTakeoverFailed(
        result == progress_writer::result::kFenced
            ? "a newer owner has claimed the partition"
            : "another process has written to the partition since it was read");
    RetryClaim();
    return;
  }
  claimed_at_ = BootTime();
  VerifyClaim();
}

// Two processes that read the partition at the same time claim it under the
// same epoch. The store treats the second claim as a repetition of the first
// and answers both alike, so only the stored record shows whose claim was
// accepted.
void pool_owner::impl::VerifyClaim() {
  deps_.view->RefreshProgress(partition_, [self =
                                               weak_from_this()](bool is_read) {
    const auto owner = self.lock();
    if (!owner || owner->is_closed_) {
      return;
    }
    const owner_record newest = owner->deps_.view->OwnerOf(owner->partition_);
    owner->is_claimed_ = is_read && newest.epoch == owner->epoch_ &&
                         newest.member == owner->deps_.member;
    if (owner->is_claimed_) {
      owner->ReadAfterClaim();
    } else {
      owner->LogTakeoverFailed("the claim could not be read back");
      owner->RetryClaim();
    }
  });
}

// An earlier owner may have acted on anything that it read from the store.
// Everything that is in the store now must therefore be known before the first
// order.
void pool_owner::impl::ReadAfterClaim() {
  const auto left = std::make_shared<int>(5);
  const auto done = [self = weak_from_this(), left] {
    const auto owner = self.lock();
    if (--*left == 0 && owner && !owner->is_closed_) {
      owner->Activate();
    }
  };
  deps_.view->RefreshAllJobs(done);
  deps_.view->RefreshRegistry(done);
  deps_.view->RefreshFleetRecords(done);
  deps_.view->RefreshFormerProgress(partition_, done);
  CheckPredecessor(done);
}

// A member that has released the partition, or an earlier incarnation of this
// process, sends no more orders. Neither does a member that the group no longer
// lists, as its time to live has passed. Tasks that it started continue to run.
void pool_owner::impl::CheckPredecessor(const std::function<void()>& done) {
  const std::string& member = predecessor_.member;
  // It cannot be determined whether an unknown owner is gone.
  may_predecessor_be_active_ = predecessor_.is_unreadable;
  if (predecessor_.is_unreadable || predecessor_.epoch == 0 || member.empty() ||
      member == deps_.member) {
    done();
    return;
  }
  may_predecessor_be_active_ = true;
  deps_.store->ListMembers(
      group_, settings_.members_timeout,
      [self = weak_from_this(), done](const adapter::members_reply& reply) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_) {
          return;
        }
        // With fewer members than partitions each member has at least one
        // partition, so a member without one has left or expired. A partition
        // without a member may still be moving from one member to another.
        const bool is_gone =
            reply.is_read && reply.unowned_partitions == 0 &&
            reply.members.size() < kPoolPartitions &&
            ProcessesOf(reply.members).count(owner->predecessor_.member) == 0;
        owner->may_predecessor_be_active_ = !is_gone;
        done();
      });
}

// In a rolling restart several owners may follow one another before any of them
// has completed its takeover. Each passes on what it knows of the leases; if
// the wait for silent VMs restarted with each of them, the pool would start no
// tasks until the last one.
std::map<core::jobs::vm_id, core::time_point>
pool_owner::impl::InheritedLeaseEnds() const {
  const core::jobs::takeover_bounds bounds = MakeBounds();
  std::map<core::jobs::vm_id, core::time_point> ends;
  for (const auto& [vm, address] : deps_.view->UsedVms(partition_)) {
    const auto known = bounds.lease_ends.find(vm);
    ends[vm] = known == bounds.lease_ends.end() ? bounds.default_lease_end
                                                : known->second;
  }
  return ends;
}

core::jobs::takeover_bounds pool_owner::impl::MakeBounds() const {
  core::jobs::takeover_bounds bounds;
  if (predecessor_.epoch == 0 && !predecessor_.is_unreadable) {
    return bounds;
  }
  const auto longest_lease = core::duration(static_cast<std::int64_t>(
      static_cast<double>(settings_.scheduler.lease.count()) / kMinClockRate));
  const milliseconds predecessor_time_to_live =
      may_predecessor_be_active_ ? settings_.time_to_live : milliseconds(0);
  bounds.exclusive_from =
      claimed_at_ + predecessor_time_to_live + milliseconds(1);
  bounds.default_lease_end =
      claimed_at_ + predecessor_time_to_live + longest_lease;
  for (const auto& [vm, left] : predecessor_.leases) {
    bounds.lease_ends[vm] = claimed_at_ + left;
  }
  return bounds;
}

// A repeated submission of a job may have replaced its record after its queue
// was moved, and then names the other pool. The job stays in the pool whose
// owner has recorded progress of it.
std::shared_ptr<const core::jobs::job_spec> pool_owner::impl::OwnSpecOf(
    const core::jobs::directory_entry& entry) const {
  if (!entry.spec ||
      (entry.HasProgress() && !entry.HasProgressIn(partition_))) {
    return nullptr;
  }
  if (PoolPartitionOf(entry.pool) == partition_) {
    return entry.spec;
  }
  const auto& pools = deps_.view->history().pools();
  const auto found = pools.find(entry.queue);
  if (!entry.HasProgress() || found == pools.end()) {
    return nullptr;
  }
  for (const core::jobs::pool_id& pool : found->second) {
    if (PoolPartitionOf(pool) == partition_) {
      auto spec = std::make_shared<core::jobs::job_spec>(*entry.spec);
      spec->pool = pool;
      return spec;
    }
  }
  return nullptr;
}

void pool_owner::impl::Activate() {
  if (is_released_) {
    return;
  }
  const core::jobs::takeover_bounds bounds = MakeBounds();
  scheduler_ = std::make_unique<pool_scheduler>(settings_.scheduler, bounds);
  tokens_ = fencing_tokens(epoch_);
  std::size_t open = 0;
  const core::time_point wall_claimed_at =
      WallTime() - (BootTime() - claimed_at_);
  for (const auto& [id, entry] : deps_.view->directory().entries()) {
    if (core::jobs::IsFinal(entry.progress.phase)) {
      scheduler_->AddEndedJob(id);
    }
    const bool is_own_unopened =
        entry.is_unopened && (PoolPartitionOf(entry.pool) == partition_ ||
                              entry.HasProgressIn(partition_));
    if (is_own_unopened) {
      scheduler_->AddUnopenedJob(id);
    }
    const auto spec = OwnSpecOf(entry);
    if (!spec) {
      continue;
    }
    ++open;
    // An earlier owner may have read everything that was stored before the
    // claim, so none of these jobs is treated as fresh.
    scheduler_->AddJob(spec, deps_.view->PolicyOf(entry.queue), claimed_at_,
                       core::jobs::AgeOf(*spec, wall_claimed_at));
    scheduler_->RestoreJob(id, entry.progress);
    if (entry.is_cancelled) {
      scheduler_->CancelJob(id);
    }
  }
  LogEvent(job_event::kOwnershipGained,
           {{"partition", std::to_string(partition_)},
            {"epoch", std::to_string(epoch_)},
            {"open_jobs", std::to_string(open)},
            {"dealt_ms_ago", MillisOf(BootTime() - assigned_at_)},
            {"claimed_ms_ago", MillisOf(BootTime() - claimed_at_)},
            {"predecessor", predecessor_.member},
            {"predecessor_acts", may_predecessor_be_active_ ? "maybe" : "no"}});
  const std::set<core::jobs::vm_id>& vacant = deps_.view->VacantVms(partition_);
  scheduler_->RestoreVacantVms(vacant);
  for (const auto& [id, address] : deps_.view->UsedVms(partition_)) {
    scheduler_->AddKnownVm({id, address});
  }
  vacancy_manager_.Restore(vacant);
  LoadRegistry();
  for (const auto& [key, value] : deps_.view->fleet_records()) {
    ApplyFleetRecord(key);
  }
  SyncLinks();
  deps_.meters->NoteTakeover(BootTime() - assigned_at_);
  deps_.on_active(epoch_);
  Tick();
}

}  // namespace plantainhead::jobs
