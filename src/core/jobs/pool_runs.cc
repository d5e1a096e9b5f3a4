#include <algorithm>
#include <set>
#include <utility>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {
namespace {

// A serving task's tail is acted on from this share of its target on, before it
// is over, and leaves room to come back below this one.
constexpr double kThrottleFrom = 0.85;
constexpr double kSpeedUpBelow = 0.6;
constexpr std::uint32_t kFullPace = 100;
constexpr std::uint32_t kPaceStep = 20;
// More runs of one task than an earlier owner can have started without any of
// them being recorded: each failed run is recorded within some 50 ms.
constexpr std::uint32_t kMaxUnreportedRuns = 100;

// A stop whose answer is awaited for this long will have none.
constexpr duration kStopTimeout = std::chrono::seconds(3);

loss_kind LossKindOf(const run_state& run, bool has_incarnation_ended) {
  if (has_incarnation_ended && !run.confirmed_at) {
    return loss_kind::kCrashUnanswered;
  }
  if (has_incarnation_ended) {
    return run.is_newly_started ? loss_kind::kCrashAtStart
                                : loss_kind::kCrashLater;
  }
  return run.is_newly_started ? loss_kind::kSilenceAtStart
                              : loss_kind::kSilenceLater;
}

}  // namespace

job_state* pool_scheduler::impl::EndRun(vm_state* vm, const task_name& name) {
  const auto held = vm->runs().find(name);
  if (held == vm->runs().end()) {
    return nullptr;
  }
  const std::uint32_t run = held->second.run;
  vm->Erase(name);
  job_state* job = jobs_.Find(name.job);
  if (job == nullptr) {
    NoteUnknownRun(name, run);
    return nullptr;
  }
  if (!job->PresumeEnd(name, run)) {
    return nullptr;
  }
  jobs_.NoteChange(job);
  return job;
}

// No VM tells how a run ended that was lost with its VM. If only ends that are
// told counted, a task that crashes its VMs would start without limit.
void pool_scheduler::impl::CountLoss(job_state* job,
                                     const task_name& task,
                                     const run_loss& loss) {
  if (!job->CountLoss(task, loss)) {
    return;
  }
  jobs_.NoteChange(job);
  jobs_.NoteLosses(job);
  if (IsFinal(job->phase())) {
    StopRunsOf(task.job);
  }
}

// The VM may come back and tell the end of the run again, after its job has
// been read. If a new run had got the same number, the end would pass for its
// own.
void pool_scheduler::impl::NoteUnknownRun(const task_name& task,
                                          std::uint32_t run) {
  const bool is_unknown =
      jobs_.Find(task.job) == nullptr && !jobs_.IsEnded(task.job);
  if (is_unknown) {
    std::uint32_t& highest = highest_unknown_runs_[task.job][task];
    highest = std::max(highest, run);
  }
}

// A VM that leaves, or is emptied, ends without any task's doing.
bool pool_scheduler::impl::IsEndPlanned(const vm_state& vm) {
  return vm.description().draining || vm.is_closed;
}

// A suspected task starts apart so that it is plain which task crashes the VM.
// Where several such tasks crash one VM after the other, those that run beside
// them would be given up with them.
bool pool_scheduler::impl::IsClearedBySuspect(const vm_state& vm,
                                              const run_state& run) {
  return vm.HasNewlyStartedSuspect() &&
         !(run.is_newly_started && run.is_suspected);
}

// Whether the VM crashed shows seconds later. If this owner is replaced by then
// the next one has no other way to learn what was started there.
void pool_scheduler::impl::SuspectNewlyStartedRuns(vm_state* vm) {
  if (IsEndPlanned(*vm)) {
    return;
  }
  for (const auto& [task, run] : vm->runs()) {
    job_state* job = jobs_.Find(task.job);
    if (run.is_newly_started && job != nullptr) {
      CountLoss(job, task,
                {run.run, loss_kind::kSilenceAtStart, vm->description().id,
                 vm->incarnation});
    }
  }
}

// A newer owner may have heard from the VM what this one hasn't, and may have
// acknowledged the end of a task that would start again here. Such an owner has
// claimed the partition before, so that the store refuses the record of these
// ends; they start again only after it is stored.
void pool_scheduler::impl::EndAllRunsAsLost(vm_state* vm,
                                            bool has_incarnation_ended) {
  DropUnprocessedEnds(vm);
  std::vector<lost_run> lost;
  for (const auto& [task, run] : vm->runs()) {
    lost.push_back(LostRunOf(*vm, task, run, has_incarnation_ended));
  }
  EndLostRuns(vm, lost);
}

void pool_scheduler::impl::DropUnprocessedEnds(vm_state* vm) {
  for (const auto& [task, run] : vm->unprocessed_ends) {
    NoteUnknownRun(task, run);
  }
  vm->unprocessed_ends.clear();
}

lost_run pool_scheduler::impl::LostRunOf(const vm_state& vm,
                                         const task_name& task,
                                         const run_state& run,
                                         bool has_incarnation_ended) {
  return {{vm.description().id, task, run.run},
          LossKindOf(run, has_incarnation_ended),
          vm.incarnation};
}

void pool_scheduler::impl::EndLostRuns(vm_state* vm,
                                       const std::vector<lost_run>& lost) {
  losses_.insert(losses_.end(), lost.begin(), lost.end());
  counts_.lost_runs += lost.size();
  const bool is_planned = IsEndPlanned(*vm);
  std::set<task_name> cleared;
  for (const auto& [task, run] : vm->runs()) {
    if (IsClearedBySuspect(*vm, run)) {
      cleared.insert(task);
    }
  }
  for (const auto& [run, kind, incarnation] : lost) {
    job_state* job = EndRun(vm, run.task);
    if (job != nullptr && !is_planned && cleared.count(run.task) == 0) {
      CountLoss(job, run.task, {run.run, kind, run.vm, incarnation});
    }
    job = jobs_.Find(run.task.job);
    job_task_state* task = job == nullptr ? nullptr : job->Find(run.task);
    if (task != nullptr) {
      task->starts_after_batch = jobs_.next_batch();
    }
  }
}

void pool_scheduler::impl::Replace(const vm_id& id, time_point now) {
  vm_state* vm = FindVm(id);
  if (vm != nullptr) {
    // Past its lease the runs had ended before that life of the VM did.
    EndAllRunsAsLost(vm, !vm->IsLeaseExpired(now));
    dropped_vms_.push_back(id);
    NoteVmChange(*vm);
    index_.Remove(vm);
    vms_.Erase(vm);
  }
  replaced_.insert(id);
}

void pool_scheduler::impl::StopRunsOf(const job_id& id) {
  for (vm_state* vm : vms_.WithRunsOf(id)) {
    vms_.MarkChanged(vm);
    for (auto it = vm->runs().lower_bound({id, 0, 0, 0});
         it != vm->runs().end() && it->first.job == id; ++it) {
      it->second.is_stop_wanted = true;
    }
  }
}

void pool_scheduler::impl::StopRunsOfDone(const task_name& task) {
  job_state* job = jobs_.Find(task.job);
  for (vm_state* vm : vms_.WithRunsOf(task.job)) {
    vms_.MarkChanged(vm);
    ForRunsOfStep(vm, task, [job](const task_name& name, run_state* run) {
      const job_task_state* state = job->Find(name);
      const bool is_done =
          state != nullptr && state->phase == task_phase::kDone;
      run->is_stop_wanted = run->is_stop_wanted || is_done;
    });
  }
}

void pool_scheduler::impl::ExpireIfSilent(vm_state* vm, time_point now) {
  // What a VM has told since the last lease ended is no older than that.
  const bool has_listed_since =
      vm->HasAnswered() && vm->last_answer_at() >= vm->lease_expires_at();
  if (!vm->IsLeaseExpired(now) || has_listed_since) {
    return;
  }
  has_unreported_vm_ =
      has_unreported_vm_ || (!is_recovered_ && !vm->is_reconciled);
  counts_.lease_expired_runs += vm->runs().size();
  EndAllRunsAsLost(vm, false);
  vm->MarkLeaseExpired();
  // It is used again only after it has told all, and after a new record: the
  // next owner needn't ask a VM that has none. Of one that was vacant before
  // nothing is left to tell.
  const vm_id& id = vm->description().id;
  const bool was_vacant = vacant_.count(id) != 0;
  vm->is_reconciled = was_vacant;
  if (vm->is_recorded) {
    vm->is_recorded = false;
    vm->is_record_due = true;
    dropped_vms_.push_back(id);
    expiry_batch_ = was_vacant ? expiry_batch_ : jobs_.next_batch();
  }
}

// A VM that never told what an earlier owner had started there may tell it
// later. If the same number had been given to a newer run of the task, the end
// of the old one would pass for the end of the new one, and the task would be
// started again while it runs. The numbers that are left out are recorded in
// the batch that drops the VM's record: an owner that follows finds both, or
// asks the VM itself.
void pool_scheduler::impl::SkipUnreportedRuns(time_point now) {
  if (!has_unreported_vm_) {
    return;
  }
  for (const auto& [id, job] : jobs_.open()) {
    const bool may_have_run = job->arrived_at() < takeover_.exclusive_from;
    if (may_have_run && job->SkipUnreportedRuns(kMaxUnreportedRuns)) {
      // A run that is given before that would get the same number from the next
      // owner, who leaves out as many.
      job->HoldUntilStored(jobs_.next_batch());
      jobs_.NoteChange(job);
    }
  }
  // From then on no job is added that an earlier owner may have started.
  has_unreported_vm_ = now < takeover_.exclusive_from;
}

void pool_scheduler::impl::RemoveIfGone(vm_state* vm, time_point now) {
  if (vm->is_registered || !vm->runs().empty() || !vm->IsLeaseExpired(now)) {
    return;
  }
  if (vm->is_recorded) {
    dropped_vms_.push_back(vm->description().id);
  }
  NoteVmChange(*vm);
  index_.Remove(vm);
  vms_.Erase(vm);
}

void pool_scheduler::impl::StopHungRuns(vm_state* vm, time_point now) {
  for (auto& [task, run] : vm->runs()) {
    if (!run.confirmed_at || run.is_stop_wanted || run.IsOfUnknownJob() ||
        run.pace == 0 || run.percent >= kReadyPercent || run.step->gang ||
        vm->last_answer_at() - run.progressed_at < settings_.hang_limit) {
      continue;
    }
    job_state* job = jobs_.Find(task.job);
    job_task_state* state = job == nullptr ? nullptr : job->Find(task);
    if (state == nullptr) {
      continue;
    }
    run.is_stop_wanted = true;
    state->failed_on = vm->description().id;
    state->failed_until = now + settings_.failed_vm_avoidance;
    vm->avoid_until = std::max(vm->avoid_until, now + settings_.quarantine);
    ++counts_.hung_runs;
  }
}

// A lasting step must never miss more tasks at once for planned reasons than it
// may. Every task that isn't at work counts as missing, whatever the reason.
bool pool_scheduler::impl::MayInterrupt(const task_name& name) {
  job_state* job = jobs_.Find(name.job);
  if (job == nullptr || job->Find(name) == nullptr) {
    return true;
  }
  const step_spec& step = job->StepOf(name);
  std::uint32_t at_work = 0;
  for (vm_state* vm : vms_.WithRunsOf(name.job)) {
    const bool is_reachable = vm->IsReachable();
    ForRunsOfStep(vm, name, [&](const task_name& task, const run_state* run) {
      const bool is_other = task.index != name.index;
      const bool is_at_work =
          run->percent >= kReadyPercent && !run->is_stop_wanted && is_reachable;
      at_work += is_other && is_at_work ? 1 : 0;
    });
  }
  const std::uint32_t missing = step.task_count - 1 - at_work;
  return missing < std::max(step.max_unavailable, 1U);
}

// Moves off a VM that leaves, or is to be serviced, what won't end in time.
void pool_scheduler::impl::EmptyVm(vm_state* vm, time_point now) {
  const bool leaves = vm->description().draining;
  const bool is_overdue =
      vm->is_closed && now - vm->closed_at > settings_.empty_limit;
  for (auto& [task, run] : vm->runs()) {
    job_state* job = jobs_.Find(task.job);
    if (run.is_stop_wanted || job == nullptr || job->Find(task) == nullptr) {
      continue;
    }
    const step_spec& step = job->StepOf(task);
    if (step.long_running) {
      run.is_stop_wanted = leaves || MayInterrupt(task);
    } else {
      run.is_stop_wanted = is_overdue || (step.checkpoints && !step.gang);
    }
  }
}

void pool_scheduler::impl::PlanStops(vm_state* vm,
                                     time_point now,
                                     std::vector<vm_order>* orders) {
  for (auto& [task, run] : vm->runs()) {
    const bool is_in_flight =
        run.is_stop_in_flight && now - run.stop_sent_at < kStopTimeout;
    const bool is_due = run.is_stop_wanted && !is_in_flight &&
                        !run.is_start_in_flight && !run.stop_answered_at &&
                        now >= run.next_stop_at;
    if (is_due) {
      run.is_stop_in_flight = true;
      run.stop_sent_at = now;
      orders->emplace_back(stop_order{{vm->description().id, task, run.run}});
    }
  }
}

// Slows the tasks that only use what is left over while a task that serves
// users beside them is near its latency target, and lets them go on by steps.
void pool_scheduler::impl::PlanPace(vm_state* vm,
                                    std::vector<vm_order>* orders) {
  double worst = -1.0;
  for (const auto& [task, run] : vm->runs()) {
    if (run.IsLatencySensitive()) {
      const duration tail = std::chrono::milliseconds(run.reading);
      worst = std::max(
          worst, static_cast<double>(tail.count()) /
                     static_cast<double>(run.step->latency_target.count()));
    }
  }
  for (auto& [task, run] : vm->runs()) {
    if (run.IsOfUnknownJob() || !run.step->best_effort || !run.confirmed_at ||
        run.is_stop_wanted) {
      continue;
    }
    std::uint32_t pace = run.pace;
    if (worst >= 1.0) {
      pace = 0;
    } else if (worst >= kThrottleFrom) {
      pace = run.pace / 2;
    } else if (worst < kSpeedUpBelow) {
      pace = std::min(kFullPace, run.pace + kPaceStep);
    }
    if (pace != run.pace) {
      run.pace = pace;
      orders->emplace_back(
          pace_order{{vm->description().id, task, run.run}, pace});
    }
  }
}

}  // namespace plantainhead::core::jobs
