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

// Clocks that differ by 2% make a lease last longer; see `vm_state::Grant`.
constexpr double kSlowestClock = 0.975;

}  // namespace

void pool_owner::impl::Start(std::uint64_t generation) {
  generation_ = generation;
  dealt_at_ = BootTime();
  ReadBeforeClaim();
}

// The record of the end lets the next owner begin without waiting for this
// one's time to live, and tells it how long each lease runs. So a batch that
// is under way is waited for.
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
  release_until_ = BootTime() + settings_.release_limit;
  WriteRelease(on_released);
}

void pool_owner::impl::WriteRelease(const std::function<void()>& on_released) {
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
            {"dealt_ms_ago", MillisOf(BootTime() - dealt_at_)},
            {"reason", reason}});
}

void pool_owner::impl::RetryClaim() {
  claim_timer_.expires_after(settings_.takeover_retry);
  claim_timer_.async_wait(
      [self = weak_from_this()](const boost::system::error_code& error) {
        const auto owner = self.lock();
        if (owner && !error && !owner->is_closed_) {
          owner->ReadBeforeClaim();
        }
      });
}

void pool_owner::impl::ReadBeforeClaim() {
  deps_.world->RefreshProgress(
      partition_, [self = weak_from_this()](bool is_read) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_) {
          return;
        }
        if (is_read) {
          owner->Claim();
        } else {
          owner->LogTakeoverFailed("the partition couldn't be read");
          owner->RetryClaim();
        }
      });
}

// A member whose time to live has passed, and that hasn't noticed, would take
// the pool from its new owner, who works.
void pool_owner::impl::Claim() {
  if (!deps_.is_sure()) {
    LogTakeoverFailed("the membership has run out");
    RetryClaim();
    return;
  }
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

void pool_owner::impl::TakeClaim(progress_writer::result result) {
  if (result != progress_writer::result::kStored) {
    LogTakeoverFailed(result == progress_writer::result::kFenced
                          ? "a newer owner has written"
                          : "the partition was written to meanwhile");
    RetryClaim();
    return;
  }
  claimed_at_ = BootTime();
  ReadClaim();
}

// Two processes that read the partition at the same time claim it under one
// epoch. The store takes the second claim for the first one, repeated, and
// answers it alike: only the record tells whose it was.
void pool_owner::impl::ReadClaim() {
  deps_.world->RefreshProgress(
      partition_, [self = weak_from_this()](bool is_read) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_) {
          return;
        }
        const owner_record newest =
            owner->deps_.world->OwnerOf(owner->partition_);
        owner->is_claimed_ = is_read && newest.epoch == owner->epoch_ &&
                             newest.member == owner->deps_.member;
        if (owner->is_claimed_) {
          owner->ReadAfterClaim();
        } else {
          owner->LogTakeoverFailed("the claim wasn't read back");
          owner->RetryClaim();
        }
      });
}

// What an earlier owner may have acted on, it has read from the store. So all
// that is in the store now must be known before the first order.
void pool_owner::impl::ReadAfterClaim() {
  const auto left = std::make_shared<int>(4);
  const auto done = [self = weak_from_this(), left] {
    const auto owner = self.lock();
    if (--*left == 0 && owner && !owner->is_closed_) {
      owner->Begin();
    }
  };
  deps_.world->RefreshAllJobs(done);
  deps_.world->RefreshRegistry(done);
  deps_.world->RefreshFleetRecords(done);
  AskForPredecessor(done);
}

// A member that has given up, or an earlier life of this process, gives no
// more orders; neither does one that the group doesn't know any more, since
// its time to live has passed. What it started runs on.
void pool_owner::impl::AskForPredecessor(const std::function<void()>& done) {
  const std::string& member = predecessor_.member;
  // Of an owner that nobody can name it can't be known whether it is gone.
  may_predecessor_act_ = predecessor_.is_unreadable;
  if (predecessor_.is_unreadable || predecessor_.epoch == 0 || member.empty() ||
      member == deps_.member) {
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
        // one that holds none has left or has expired. A partition without a
        // member may still be on its way from one to another.
        const bool is_gone =
            reply.is_read && reply.unowned == 0 &&
            reply.members.size() < kPoolPartitions &&
            ProcessesOf(reply.members).count(owner->predecessor_.member) == 0;
        owner->may_predecessor_act_ = !is_gone;
        done();
      });
}

// In a rolling restart owners follow one another before any has begun to work.
// Each hands on what it knows of the leases; if the wait for silent VMs began
// anew with each of them, the pool would start nothing until the last one.
std::map<core::jobs::vm_id, core::time_point>
pool_owner::impl::InheritedLeaseEnds() const {
  const core::jobs::takeover_bounds bounds = MakeBounds();
  std::map<core::jobs::vm_id, core::time_point> ends;
  for (const auto& [vm, address] : deps_.world->UsedVms(partition_)) {
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
      static_cast<double>(settings_.scheduler.lease.count()) / kSlowestClock));
  const milliseconds acting =
      may_predecessor_act_ ? settings_.time_to_live : milliseconds(0);
  bounds.exclusive_from = claimed_at_ + acting + milliseconds(1);
  bounds.default_lease_end = claimed_at_ + acting + longest_lease;
  for (const auto& [vm, left] : predecessor_.leases) {
    bounds.lease_ends[vm] = claimed_at_ + left;
  }
  return bounds;
}

void pool_owner::impl::Begin() {
  if (is_released_) {
    return;
  }
  const core::jobs::takeover_bounds bounds = MakeBounds();
  scheduler_ = std::make_unique<pool_scheduler>(settings_.scheduler, bounds);
  std::size_t open = 0;
  const core::time_point wall_claimed_at =
      WallTime() - (BootTime() - claimed_at_);
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
                       claimed_at_,
                       core::jobs::AgeOf(*entry.spec, wall_claimed_at));
    scheduler_->RestoreJob(id, entry.progress);
    if (entry.is_cancelled) {
      scheduler_->CancelJob(id);
    }
  }
  LogEvent(job_event::kOwnershipGained,
           {{"partition", std::to_string(partition_)},
            {"epoch", std::to_string(epoch_)},
            {"open_jobs", std::to_string(open)},
            {"dealt_ms_ago", MillisOf(BootTime() - dealt_at_)},
            {"claimed_ms_ago", MillisOf(BootTime() - claimed_at_)},
            {"predecessor", predecessor_.member},
            {"predecessor_acts", may_predecessor_act_ ? "maybe" : "no"}});
  const std::set<core::jobs::vm_id>& vacant =
      deps_.world->VacantVms(partition_);
  scheduler_->RestoreVacantVms(vacant);
  for (const auto& [id, address] : deps_.world->UsedVms(partition_)) {
    scheduler_->AddKnownVm({id, address});
  }
  vacancies_.Restore(vacant);
  TakeRegistry();
  for (const auto& [key, value] : deps_.world->fleet_records()) {
    TakeFleetRecord(key);
  }
  SyncLinks();
  deps_.meters->NoteTakeover(BootTime() - dealt_at_);
  deps_.on_active(epoch_);
  Tick();
}

}  // namespace plantainhead::jobs
