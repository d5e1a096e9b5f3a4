#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "core/jobs/pool_scheduler_impl.h"

// One plan: which VMs and jobs it looks at, and in which order.

namespace plantainhead::core::jobs {

std::vector<vm_order> pool_scheduler::impl::Plan(time_point now,
                                                 time_point wall_now) {
  std::vector<vm_order> orders;
  vms_.WakeDue(now);
  for (vm_state* vm : vms_.TakeDue()) {
    LapseIfSilent(vm, now);
    vms_.Touch(vm);
  }
  SkipUntoldRuns(now);
  // With those that a lapse of others has changed.
  const std::vector<vm_state*> due = vms_.TakeDue();
  for (vm_state* vm : due) {
    PlanVm(vm, now, &orders);
    vms_.Touch(vm);
  }
  OpenOccurrences(wall_now);
  IndexChanged(now);
  CountStarts();
  if (MayStart(now)) {
    unplaced_.clear();
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
    PlanNextLook(vm, now);
    ForgetIfGone(vm, now);
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

void pool_scheduler::impl::PlanVm(vm_state* vm,
                                  time_point now,
                                  std::vector<vm_order>* orders) {
  // A listing is acted on once.
  const bool is_news = vm->IsReachable() && vm->last_heard() > vm->checked_at;
  if (is_news) {
    vm->checked_at = vm->last_heard();
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

// What else may change the plan for a VM is a call about it.
void pool_scheduler::impl::PlanNextLook(vm_state* vm, time_point now) {
  const bool is_emptied = vm->is_closed || vm->description().draining;
  const bool is_at_work =
      (is_emptied && !vm->runs().empty()) ||
      std::any_of(vm->runs().begin(), vm->runs().end(),
                  [](const auto& run) { return run.second.is_stop_wanted; });
  if (is_at_work) {
    vms_.WakeAt(vm, now);
    return;
  }
  std::optional<time_point> next;
  if (!vm->IsLapsed(now)) {
    next = vm->lapse_at();
  }
  if (vm->trusted_until && vm->IsTrusted(now)) {
    const time_point doubted_from = *vm->trusted_until + duration(1);
    next = next ? std::min(*next, doubted_from) : doubted_from;
  }
  if (next) {
    vms_.WakeAt(vm, *next);
  }
}

void pool_scheduler::impl::NoteWait(job_state* job,
                                    wait_cause cause,
                                    time_point now) {
  job->NoteWait(job->HasWaiting() ? std::optional(cause) : std::nullopt, now);
}

void pool_scheduler::impl::CountStarts() {
  starts_under_way_ = index_.starts_under_way();
  starts_left_ = window_.size() - std::min(window_.size(), starts_under_way_);
}

}  // namespace plantainhead::core::jobs
