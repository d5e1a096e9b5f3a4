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

// Name of VM answers in metrics and logs.
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
    found->second->client.ExpectIncarnation(scheduler_->IncarnationOf(vm.id));
    return;
  }
  try {
    const auto link = std::make_shared<vm_connection>(
        deps_.context, vm.id, vm.address, MakeIntroductionListener(vm.id));
    link->known_at = BootTime();
    links_[vm.id] = link;
  } catch (const std::invalid_argument& error) {
    // The VM's record in the partition was unreadable, too.
    deps_.view->faults().Note(
        adapter::kRegistryTopic, vm.id,
        {core::jobs::fault_kind::kOutOfRange, error.what()});
    return;
  }
  Hold(vm.id);
}

std::shared_ptr<vm_connection> pool_owner::impl::FindLink(const vm_id& vm) {
  const auto found = links_.find(vm);
  return found == links_.end() ? nullptr : found->second;
}

void pool_owner::impl::ScheduleHold(const vm_id& vm, milliseconds pause) {
  const auto link = FindLink(vm);
  if (!link || link->is_hold_scheduled || link->is_hold_pending) {
    return;
  }
  link->is_hold_scheduled = true;
  link->timer.expires_after(pause);
  link->timer.async_wait([self = weak_from_this(), link,
                          vm](const boost::system::error_code& error) {
    link->is_hold_scheduled = false;
    const auto owner = self.lock();
    if (owner && !error && !owner->is_closed_) {
      owner->Hold(vm);
    }
  });
}

void pool_owner::impl::Hold(const vm_id& vm) {
  const auto link = FindLink(vm);
  if (!link || link->is_hold_pending || !scheduler_) {
    return;
  }
  if (!deps_.is_ownership_confirmed()) {
    ScheduleHold(vm, settings_.hold_retry_delay);
    return;
  }
  link->is_hold_pending = true;
  const core::time_point sent_at = BootTime();
  link->hold_sent_at = sent_at;
  const std::uint64_t token = tokens_.TokenOf(vm);
  const auto take = [self = weak_from_this(), link, vm, sent_at,
                     token](const adapter::hold_reply& reply) {
    const auto owner = self.lock();
    if (owner && !owner->is_closed_ && owner->scheduler_) {
      owner->OnHoldAnswer(vm, link, sent_at, token, reply);
    }
  };
  const auto is_late = std::make_shared<bool>(false);
  net::late_response_policy late;
  late.extra_wait = settings_.late_hold_timeout;
  late.on_late = [link, take, is_late] {
    *is_late = true;
    link->is_hold_pending = false;
    take(adapter::hold_reply());
  };
  core::jobs::hold_parameters hold = scheduler_->NextHold(vm, sent_at);
  if (tokens_.IsRising(vm)) {
    // The next hold carries the higher token, which must not wait.
    hold.wait = core::duration::zero();
  }
  link->client.Hold(
      hold, token, settings_.hold_timeout, late,
      [link, take, is_late](const adapter::hold_reply& reply) {
        // Another hold may be in flight by now.
        link->is_hold_pending = link->is_hold_pending && *is_late;
        if (!*is_late || reply.outcome != hold_outcome::kUnanswered) {
          take(reply);
        }
      });
}

// A VM lists a task of a job that has not been read. Until all jobs stored by
// that time have been read, the end of the task cannot be acknowledged and its
// run cannot be stopped; partitions that are not watched are read up to 10 s
// late.
void pool_owner::impl::ReadUnknownJobs() {
  for (const core::jobs::job_id& id : scheduler_->ListedUnopenedJobs()) {
    deps_.view->OpenJob(id);
  }
  if (is_reading_jobs_) {
    return;
  }
  const auto unknown = scheduler_->FindUnknownJob();
  if (!unknown) {
    return;
  }
  is_reading_jobs_ = true;
  deps_.view->RefreshAllJobs(
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

void pool_owner::impl::OnHoldAnswer(const vm_id& vm,
                                    const std::shared_ptr<vm_connection>& link,
                                    core::time_point sent_at,
                                    std::uint64_t token,
                                    const adapter::hold_reply& reply) {
  const auto holds = Meter(loop_work::kHolds);
  const core::time_point now = BootTime();
  switch (reply.outcome) {
    case hold_outcome::kListed:
      ProcessListing(vm, link, sent_at, reply.listing);
      ScheduleHold(vm, NextHoldDelay(reply.listing));
      return;
    case hold_outcome::kFenced:
      OnTokenRejected(vm, token);
      ScheduleHold(vm, settings_.hold_retry_delay);
      return;
    case hold_outcome::kReplaced:
      if (scheduler_->OnReplaced(vm, now, sent_at)) {
        lines_.AddVm(job_event::kVmLost, vm,
                     {{"reason", "another incarnation of the VM answered"}},
                     now);
        SchedulePlan();
      } else {
        lines_.AddVm(job_event::kVmAnswerIgnored, vm,
                     {{"reason", "an earlier incarnation was replaced"}}, now);
        ScheduleHold(vm, settings_.hold_retry_delay);
      }
      return;
    case hold_outcome::kFailed:
    case hold_outcome::kUnanswered:
      if (reply.fault) {
        deps_.view->faults().Note(kVmListing, vm, *reply.fault);
      }
      if (!scheduler_->OnHoldUnanswered(vm, sent_at)) {
        lines_.AddVm(job_event::kVmAnswerIgnored, vm,
                     {{"reason", "an earlier incarnation may have failed"},
                      {"status", std::to_string(reply.status)}},
                     now);
      } else if (!link->is_lost) {
        link->is_lost = true;
        lines_.AddVm(job_event::kVmLost, vm,
                     {{"reason", "a hold received no valid answer"},
                      {"status", std::to_string(reply.status)}},
                     now);
      }
      ScheduleHold(vm, settings_.hold_retry_delay);
      return;
  }
}

void pool_owner::impl::ProcessListing(
    const vm_id& vm,
    const std::shared_ptr<vm_connection>& link,
    core::time_point sent_at,
    const core::jobs::run_listing& listing) {
  OnVmResponse(vm, link.get(), listing.incarnation);
  LogNewEnds(vm, link, listing);
  scheduler_->NoteJobsRead(deps_.view->AllJobsReadAt());
  scheduler_->OnListing(vm, sent_at, listing, BootTime());
  ReadUnknownJobs();
  SchedulePlan();
}

void pool_owner::impl::OnTokenRejected(const vm_id& vm, std::uint64_t token) {
  if (tokens_.IsFencedByOther(vm, token)) {
    scheduler_->OnFenced();
  }
  SchedulePlan();
}

adapter::introduction_listener pool_owner::impl::MakeIntroductionListener(
    const vm_id& vm) {
  return [self = weak_from_this(), vm](milliseconds age,
                                       const adapter::hold_reply& reply) {
    const auto owner = self.lock();
    if (owner && !owner->is_closed_ && owner->scheduler_) {
      owner->OnUnexpectedVm(vm, BootTime() - age, reply);
    }
  };
}

// A hold of the expected incarnation may still wait for its answer. It decides
// on its own about a VM that does not answer.
void pool_owner::impl::OnUnexpectedVm(const vm_id& vm,
                                      core::time_point sent_at,
                                      const adapter::hold_reply& reply) {
  const auto link = FindLink(vm);
  if (!link) {
    return;
  }
  switch (reply.outcome) {
    case hold_outcome::kListed:
      ProcessListing(vm, link, sent_at, reply.listing);
      return;
    case hold_outcome::kFenced:
    case hold_outcome::kReplaced:
      OnHoldAnswer(vm, link, sent_at, tokens_.TokenOf(vm), reply);
      return;
    case hold_outcome::kFailed:
    case hold_outcome::kUnanswered:
      return;
  }
}

void pool_owner::impl::OnVmResponse(
    const vm_id& vm,
    vm_connection* link,
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
    // The loss of the VM must be logged before its return.
    LogLines(lines_.TakeAll());
    observe::log_fields fields = {{"vm", vm}};
    if (incarnation) {
      fields.emplace_back("incarnation", std::to_string(*incarnation));
    }
    if (begins_again) {
      fields.emplace_back("incarnation_before",
                          std::to_string(*link->incarnation));
      fields.emplace_back("ends_logged_before",
                          std::to_string(link->last_logged_end));
    }
    LogEvent(job_event::kVmHeard, fields);
  }
  link->last_logged_end = begins_again ? 0 : link->last_logged_end;
  link->is_lost = false;
  link->incarnation = incarnation ? incarnation : link->incarnation;
}

// Ends that are not acknowledged would be listed again immediately, so the next
// hold waits until their record is stored.
milliseconds pool_owner::impl::NextHoldDelay(
    const core::jobs::run_listing& listing) const {
  const milliseconds gap = listing.ended.empty() ? settings_.min_hold_interval
                                                 : settings_.min_ack_interval;
  const auto delay =
      std::chrono::duration_cast<milliseconds>(scheduler_->AnswerDelay());
  return std::max(gap, delay);
}

// The registry may be the first to show a restart, before any call is answered.
void pool_owner::impl::ProcessRestarts() {
  for (const core::jobs::vm_restart& restart : scheduler_->TakeRestarts()) {
    tokens_.NoteRestart(restart.vm);
    observe::log_fields fields = {
        {"vm", restart.vm},
        {"incarnation", std::to_string(restart.incarnation.value_or(0))},
        {"incarnation_before",
         std::to_string(restart.former_incarnation.value_or(0))},
        {"uncertain_runs", std::to_string(restart.uncertain_runs)},
        {"acked_through", std::to_string(restart.acknowledged_through)}};
    AppendAge("granted_ms_ago", restart.granted_at, &fields);
    LogEvent(job_event::kVmRestarted, fields);
  }
}

// Which tasks a lost VM had, and which of them it had never listed,
// distinguishes a task that crashes its VMs from other tasks there.
void pool_owner::impl::LogLosses() {
  for (const core::jobs::lost_run& lost : scheduler_->TakeLosses()) {
    lines_.AddTask(job_event::kTaskLost, lost.run,
                   {{"how", std::string(core::NameOf(lost.kind))}}, BootTime());
  }
}

void pool_owner::impl::LogNewEnds(const vm_id& vm,
                                  const std::shared_ptr<vm_connection>& link,
                                  const core::jobs::run_listing& listing) {
  for (const core::jobs::ended_task& end : listing.ended) {
    if (end.number <= link->last_logged_end ||
        end.how == core::jobs::end_kind::kDone) {
      continue;
    }
    lines_.AddTask(job_event::kTaskEnded, {vm, end.task, end.run},
                   {{"how", std::string(core::NameOf(end.how))}}, BootTime());
  }
  if (!listing.ended.empty()) {
    link->last_logged_end =
        std::max(link->last_logged_end, listing.ended.back().number);
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
  const std::uint64_t token = tokens_.TokenOf(target.vm);
  link->client.Start(
      order, token, settings_.order_timeout, MakeStartCheck(target.task.job),
      [self = weak_from_this(), target, sent_at, token](start_result result) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_ || !owner->scheduler_) {
          return;
        }
        if (result == start_result::kFenced) {
          // The VM has not carried the order out.
          owner->OnTokenRejected(target.vm, token);
          result = start_result::kNotSent;
        }
        const auto starts = owner->Meter(loop_work::kStarts);
        owner->deps_.meters->NoteStart(BootTime() - sent_at);
        const bool is_started = result == start_result::kStarted;
        owner->NoteStart(target, result);
        owner->scheduler_->OnStartAnswer(target, result, BootTime());
        if (!is_started || owner->scheduler_->IsStartWindowFull()) {
          owner->SchedulePlan();
        }
      });
}

// The job may be cancelled while the order waits for a connection.
std::function<bool()> pool_owner::impl::MakeStartCheck(
    const core::jobs::job_id& job) {
  return [self = weak_from_this(), job] {
    const auto owner = self.lock();
    return owner && !owner->is_closed_ && owner->scheduler_ &&
           owner->deps_.is_ownership_confirmed() &&
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
      order, tokens_.TokenOf(target.vm), settings_.order_timeout,
      [self = weak_from_this(), target](bool is_confirmed) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_ || !owner->scheduler_) {
          return;
        }
        owner->lines_.AddTask(job_event::kTaskStopped, target,
                              {{"confirmed", is_confirmed ? "yes" : "no"}},
                              BootTime());
        owner->scheduler_->OnStopAnswer(target, is_confirmed, BootTime());
        owner->SchedulePlan();
      });
}

void pool_owner::impl::Send(const core::jobs::pace_order& order) {
  if (const auto link = FindLink(order.target.vm)) {
    link->client.Pace(order, tokens_.TokenOf(order.target.vm),
                      settings_.order_timeout);
  }
}

}  // namespace plantainhead::jobs
