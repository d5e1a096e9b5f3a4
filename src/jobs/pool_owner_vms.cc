#include "jobs/pool_owner_impl.h"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"

namespace plantainhead::jobs {

using adapter::hold_outcome;
using core::jobs::run_ref;
using core::jobs::start_result;
using core::jobs::vm_description;
using core::jobs::vm_id;
using std::chrono::milliseconds;

namespace {

// How metrics and logs call what VMs answer.
constexpr const char* kVmListing = "vm listing";

}  // namespace

void pool_owner::impl::SyncLinks() {
  for (const vm_id& id : scheduler_->TakeVmChanges()) {
    if (const vm_description* vm = scheduler_->FindVm(id)) {
      SyncLink(*vm);
    } else {
      links_.erase(id);
    }
    SyncClosed(id);
  }
  CloseVms();
}

void pool_owner::impl::SyncLink(const vm_description& vm) {
  const auto found = links_.find(vm.id);
  if (found != links_.end() && found->second->address == vm.address) {
    return;
  }
  try {
    const auto link =
        std::make_shared<vm_link>(deps_.context, vm.id, vm.address);
    link->known_at = BootTime();
    links_[vm.id] = link;
  } catch (const std::invalid_argument& error) {
    // The place of its record in the partition, too, was unreadable.
    deps_.world->faults().Note(
        adapter::kRegistryTopic, vm.id,
        {core::jobs::fault_kind::kOutOfRange, error.what()});
    return;
  }
  Hold(vm.id);
}

std::shared_ptr<vm_link> pool_owner::impl::FindLink(const vm_id& vm) {
  const auto found = links_.find(vm);
  return found == links_.end() ? nullptr : found->second;
}

void pool_owner::impl::HoldLater(const vm_id& vm, milliseconds pause) {
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

void pool_owner::impl::Hold(const vm_id& vm) {
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
  const auto take = [self = weak_from_this(), link, vm,
                     sent_at](const adapter::hold_reply& reply) {
    const auto owner = self.lock();
    if (owner && !owner->is_closed_ && owner->scheduler_) {
      owner->TakeHold(vm, link, sent_at, reply);
    }
  };
  const auto is_late = std::make_shared<bool>(false);
  net::late_answer late;
  late.patience = settings_.hold_patience;
  late.on_late = [link, take, is_late] {
    *is_late = true;
    link->is_holding = false;
    take(adapter::hold_reply());
  };
  link->client.Hold(
      scheduler_->NextHold(vm, sent_at), epoch_, settings_.hold_timeout, late,
      [link, take, is_late](const adapter::hold_reply& reply) {
        // Another hold may be under way by now.
        link->is_holding = link->is_holding && *is_late;
        if (!*is_late || reply.outcome != hold_outcome::kUnanswered) {
          take(reply);
        }
      });
}

// A VM tells of a job that hasn't been read. Until all jobs of that time have
// been, neither the task's end can be acknowledged nor the run be stopped, and
// partitions that aren't watched are read up to 10 s late.
void pool_owner::impl::ReadUnknownJobs() {
  if (is_reading_jobs_) {
    return;
  }
  const auto unknown = scheduler_->FindUnknownJob();
  if (!unknown) {
    return;
  }
  is_reading_jobs_ = true;
  deps_.world->RefreshAllJobs(
      [self = weak_from_this(), unknown = *unknown, began = BootTime()] {
        if (const auto owner = self.lock()) {
          owner->is_reading_jobs_ = false;
          LogEvent(job_event::kJobsReread,
                   {{"partition", std::to_string(owner->partition_)},
                    {"vm", unknown.vm},
                    {"listed", unknown.is_registered ? "yes" : "no"},
                    {"reachable", unknown.is_reachable ? "yes" : "no"},
                    {"ms", MillisOf(BootTime() - began)}});
        }
      });
}

void pool_owner::impl::TakeHold(const vm_id& vm,
                                const std::shared_ptr<vm_link>& link,
                                core::time_point sent_at,
                                const adapter::hold_reply& reply) {
  const auto holds = Meter(loop_work::kHolds);
  const core::time_point now = BootTime();
  switch (reply.outcome) {
    case hold_outcome::kListed:
      NoteHeard(vm, link.get(), reply.listing.incarnation);
      LogNewEnds(vm, link, reply.listing);
      scheduler_->NoteJobsRead(deps_.world->AllJobsReadAt());
      scheduler_->OnListing(vm, sent_at, reply.listing, now);
      ReadUnknownJobs();
      Kick();
      HoldLater(vm, GapAfter(reply.listing));
      return;
    case hold_outcome::kFenced:
      scheduler_->OnFenced();
      Kick();
      return;
    case hold_outcome::kReplaced:
      lines_.AddVm(job_event::kVmLost, vm,
                   {{"reason", "another life of it answered"}}, now);
      scheduler_->OnReplaced(vm, now);
      Kick();
      return;
    case hold_outcome::kFailed:
    case hold_outcome::kUnanswered:
      if (reply.fault) {
        deps_.world->faults().Note(kVmListing, vm, *reply.fault);
      }
      if (!link->is_lost) {
        link->is_lost = true;
        lines_.AddVm(job_event::kVmLost, vm,
                     {{"reason", "a hold had no answer"},
                      {"status", std::to_string(reply.status)}},
                     now);
      }
      scheduler_->OnHoldUnanswered(vm);
      HoldLater(vm, settings_.hold_retry);
      return;
  }
}

void pool_owner::impl::NoteHeard(
    const vm_id& vm,
    vm_link* link,
    const core::jobs::vm_incarnation& incarnation) {
  if (!link->heard_at) {
    link->heard_at = BootTime();
    observe::log_fields fields = {{"vm", vm},
                                  {"partition", std::to_string(partition_)}};
    AppendAge("known_ms_ago", link->known_at, &fields);
    LogEvent(job_event::kVmGained, fields);
  }
  const bool begins_again =
      core::jobs::AreDifferentIncarnations(incarnation, link->incarnation);
  if (link->is_lost || begins_again) {
    // Not before the line on its loss.
    LogLines(lines_.TakeAll());
    observe::log_fields fields = {{"vm", vm}};
    if (incarnation) {
      fields.emplace_back("born", std::to_string(*incarnation));
    }
    if (begins_again) {
      fields.emplace_back("born_before", std::to_string(*link->incarnation));
      fields.emplace_back("ends_logged_before",
                          std::to_string(link->logged_end));
    }
    LogEvent(job_event::kVmHeard, fields);
  }
  link->logged_end = begins_again ? 0 : link->logged_end;
  link->is_lost = false;
  link->incarnation = incarnation ? incarnation : link->incarnation;
}

// Ends that aren't acknowledged would be listed again at once, so the next hold
// waits for their record to be stored.
milliseconds pool_owner::impl::GapAfter(
    const core::jobs::run_listing& listing) const {
  const milliseconds gap =
      listing.ended.empty() ? settings_.hold_gap : settings_.ack_gap;
  const auto delay =
      std::chrono::duration_cast<milliseconds>(scheduler_->AnswerDelay());
  return std::max(gap, delay);
}

// Which tasks a lost VM had, and which of them it had never listed, is what
// tells a task that crashes its VMs from those beside it.
void pool_owner::impl::LogLosses() {
  for (const core::jobs::lost_run& lost : scheduler_->TakeLosses()) {
    lines_.AddTask(job_event::kTaskLost, lost.run,
                   {{"how", std::string(core::NameOf(lost.kind))}}, BootTime());
  }
}

void pool_owner::impl::LogNewEnds(const vm_id& vm,
                                  const std::shared_ptr<vm_link>& link,
                                  const core::jobs::run_listing& listing) {
  for (const core::jobs::ended_task& end : listing.ended) {
    if (end.number <= link->logged_end ||
        end.how == core::jobs::end_kind::kDone) {
      continue;
    }
    lines_.AddTask(job_event::kTaskEnded, {vm, end.task, end.run},
                   {{"how", std::string(core::NameOf(end.how))}}, BootTime());
  }
  if (!listing.ended.empty()) {
    link->logged_end = std::max(link->logged_end, listing.ended.back().number);
  }
}

void pool_owner::impl::Send(const core::jobs::start_order& order) {
  const auto link = FindLink(order.target.vm);
  if (!link) {
    scheduler_->OnStartAnswer(order.target, start_result::kNotSent, BootTime());
    return;
  }
  const run_ref target = order.target;
  const core::time_point sent_at = BootTime();
  link->client.Start(
      order, epoch_, settings_.order_timeout, StartGate(target.task.job),
      [self = weak_from_this(), target, sent_at](start_result result) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_ || !owner->scheduler_) {
          return;
        }
        const auto starts = owner->Meter(loop_work::kStarts);
        owner->deps_.meters->NoteStart(BootTime() - sent_at);
        const bool is_started = result == start_result::kStarted;
        owner->NoteStart(target, result);
        owner->scheduler_->OnStartAnswer(target, result, BootTime());
        if (!is_started || owner->scheduler_->IsStartWindowFull()) {
          owner->Kick();
        }
      });
}

// The job may be cancelled while the order waits for a connection.
std::function<bool()> pool_owner::impl::StartGate(
    const core::jobs::job_id& job) {
  return [self = weak_from_this(), job] {
    const auto owner = self.lock();
    return owner && !owner->is_closed_ && owner->scheduler_ &&
           owner->deps_.is_sure() &&
           owner->scheduler_->MayStillStart(job, BootTime());
  };
}

void pool_owner::impl::NoteStart(const run_ref& target, start_result result) {
  if (result == start_result::kStarted) {
    lines_.AddTask(job_event::kTaskStarted, target, {}, BootTime());
  } else {
    lines_.AddTask(job_event::kTaskNotStarted, target,
                   {{"result", std::string(core::NameOf(result))}}, BootTime());
  }
}

void pool_owner::impl::Send(const core::jobs::stop_order& order) {
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
        owner->lines_.AddTask(job_event::kTaskStopped, target,
                              {{"confirmed", is_confirmed ? "yes" : "no"}},
                              BootTime());
        owner->scheduler_->OnStopAnswer(target, is_confirmed, BootTime());
        owner->Kick();
      });
}

void pool_owner::impl::Send(const core::jobs::pace_order& order) {
  if (const auto link = FindLink(order.target.vm)) {
    link->client.Pace(order, epoch_, settings_.order_timeout);
  }
}

}  // namespace plantainhead::jobs
