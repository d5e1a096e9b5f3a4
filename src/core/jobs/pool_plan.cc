#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "core/jobs/pool_scheduler_impl.h"
#include "plantainhead/core/jobs/job_memory.h"

// The steps of a plan: which VMs and jobs it visits, and in which order.

namespace plantainhead::core::jobs {
namespace {

constexpr duration kEndedJobRetention = std::chrono::seconds(30);
// Beyond this memory the jobs that ended first are forgotten earlier.
constexpr std::size_t kMaxEndedBytes = std::size_t{16} << 20U;

}  // namespace

std::vector<vm_order> pool_scheduler::impl::Plan(time_point now,
                                                 time_point wall_now) {
  std::vector<vm_order> orders;
  vms_.MarkDueChecks(now);
  for (vm_state* vm : vms_.TakeDue()) {
    ExpireIfSilent(vm, now);
    vms_.MarkChanged(vm);
  }
  SkipUnreportedRuns(now);
  // This includes the VMs that changed when leases of others expired.
  const std::vector<vm_state*> due = vms_.TakeDue();
  for (vm_state* vm : due) {
    PlanVm(vm, now, &orders);
    vms_.MarkChanged(vm);
  }
  OpenOccurrences(wall_now);
  ForgetEndedJobs(now);
  IndexChanged(now);
  CountStarts();
  if (MayStart(now)) {
    unmet_demands_.clear();
    for (const candidate& next : Candidates(now)) {
      PlaceJob(next.job, now, &orders);
      NoteWait(next.job,
               starts_left_ == 0 ? wait_cause::kAnswers : wait_cause::kCapacity,
               now);
    }
  } else {
    for (const auto& [id, job] : jobs_.waiting()) {
      NoteWait(job, wait_cause::kReading, now);
    }
  }
  for (vm_state* vm : vms_.TakeDue()) {
    ScheduleNextCheck(vm, now);
    RemoveIfGone(vm, now);
  }
  return orders;
}

void pool_scheduler::impl::OpenOccurrences(time_point wall_now) {
  for (const auto& [id, job] : jobs_.scheduled()) {
    if (job->OpenDue(wall_now)) {
      jobs_.NoteTasks(job);
    }
  }
}

// Orders of the job that are carried out late find it until then.
void pool_scheduler::impl::ForgetEndedJobs(time_point now) {
  for (job_id& id : newly_ended_) {
    if (const job_state* job = jobs_.Find(id)) {
      ended_.push_back({now, std::move(id), MemoryOf(job->spec())});
      ended_bytes_ += ended_.back().bytes;
    }
  }
  newly_ended_.clear();
  for (std::size_t left = ended_.size(); left > 0; --left) {
    const bool is_due = now - ended_.front().at > kEndedJobRetention ||
                        ended_bytes_ > kMaxEndedBytes;
    if (!is_due) {
      return;
    }
    ended_job job = std::move(ended_.front());
    ended_.pop_front();
    if (vms_.WithRunsOf(job.id).empty() && jobs_.Forget(job.id)) {
      ended_bytes_ -= job.bytes;
    } else {
      job.at = now;
      ended_.push_back(std::move(job));
    }
  }
}

void pool_scheduler::impl::PlanVm(vm_state* vm,
                                  time_point now,
                                  std::vector<vm_order>* orders) {
  // Each listing is evaluated only once.
  const bool is_new_listing =
      vm->IsReachable() && vm->last_answer_at() > vm->checked_at;
  if (is_new_listing) {
    vm->checked_at = vm->last_answer_at();
    StopHungRuns(vm, now);
    PlanPace(vm, orders);
  }
  if (vm->description().draining || vm->is_closed) {
    EmptyVm(vm, now);
  }
  PlanStops(vm, now, orders);
  if (vm->is_closed && vm->IsEmpty()) {
    emptied_.push_back(vm->description().id);
  }
}

void pool_scheduler::impl::IndexChanged(time_point now) {
  indexed_at_ = std::max(indexed_at_, now);
  for (vm_state* vm : vms_.TakeChanged()) {
    index_.Update(vm, indexed_at_);
  }
}

// All other changes that affect the plan for a VM are calls about it, which
// mark it as changed.
void pool_scheduler::impl::ScheduleNextCheck(vm_state* vm, time_point now) {
  const bool is_emptied = vm->is_closed || vm->description().draining;
  const bool is_at_work =
      (is_emptied && !vm->runs().empty()) ||
      std::any_of(vm->runs().begin(), vm->runs().end(),
                  [](const auto& run) { return run.second.is_stop_wanted; });
  if (is_at_work) {
    vms_.ScheduleCheck(vm, now);
    return;
  }
  std::optional<time_point> next;
  if (!vm->IsLeaseExpired(now)) {
    next = vm->lease_expires_at();
  }
  if (vm->trusted_until && vm->IsTrusted(now)) {
    const time_point untrusted_from = *vm->trusted_until + duration(1);
    next = next ? std::min(*next, untrusted_from) : untrusted_from;
  }
  if (next) {
    vms_.ScheduleCheck(vm, *next);
  }
}

void pool_scheduler::impl::NoteWait(job_state* job,
                                    wait_cause cause,
                                    time_point now) {
  job->NoteWait(job->HasWaiting() ? std::optional(cause) : std::nullopt, now);
}

void pool_scheduler::impl::CountStarts() {
  starts_in_flight_ = index_.starts_in_flight();
  const std::size_t runs_left =
      settings_.max_runs - std::min(settings_.max_runs, index_.runs());
  starts_left_ = std::min(
      runs_left, window_.size() - std::min(window_.size(), starts_in_flight_));
}

}  // namespace plantainhead::core::jobs
