#include <algorithm>
#include <set>
#include <utility>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {
namespace {

// Best-effort tasks are throttled when the tail latency of a latency-sensitive
// task reaches the first share of its target, before it exceeds the target, and
// are sped up again when it is below the second share.
constexpr double kThrottleFrom = 0.85;
constexpr double kSpeedUpBelow = 0.6;
constexpr std::uint32_t kFullPace = 100;
constexpr std::uint32_t kPaceStep = 20;
// More runs of one task than an earlier owner can have started without any of
// them being recorded: each failed run is recorded within about 50 ms.
constexpr std::uint32_t kMaxUnreportedRuns = 100;

// A percent may take this many times as long as those before it, and the first
// one as long as by the estimate of the whole task.
constexpr int kMaxProgressDeviation = 3;
constexpr int kMaxEstimateError = 20;
// The limit doubles each time that a task is considered hung after these times.
constexpr std::uint32_t kHungRunsAtLimit = 1;
constexpr std::uint32_t kMaxDoublings = 10;

// A stop that was not answered within this time will not be answered.
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

// No VM reports how a run ended that was lost with its VM. If only reported
// ends counted, a task that crashes its VMs would start without limit.
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

// The VM may return and list the end of the run again after its job has been
// read. If a new run had the same number, the end would be mistaken for that of
// the new run.
void pool_scheduler::impl::NoteUnknownRun(const task_name& task,
                                          std::uint32_t run) {
  const bool is_unknown =
      jobs_.Find(task.job) == nullptr && !jobs_.IsEnded(task.job);
  if (is_unknown) {
    std::uint32_t& highest = highest_unknown_runs_[task.job][task];
    highest = std::max(highest, run);
  }
}

// A VM that is draining or closed does not end because of a task.
bool pool_scheduler::impl::IsEndPlanned(const vm_state& vm) {
  return vm.description().draining || vm.is_closed;
}

// A suspected task starts in isolation so that a crash can be attributed. If
// several such tasks crash a VM one after the other, the tasks that run beside
// them would otherwise be given up as well.
bool pool_scheduler::impl::IsClearedBySuspect(const vm_state& vm,
                                              const run_state& run) {
  return vm.HasNewlyStartedSuspect() &&
         !(run.is_newly_started && run.is_suspected);
}

// It takes seconds to find out whether the VM crashed. If this owner is
// replaced in the meantime, the next one has no other way to learn what was
// started there.
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

// A newer owner may have received listings from the VM that this one has not,
// and may have acknowledged the end of a task that this owner would start
// again. Such an owner has claimed the partition before, so that the store
// rejects the record of these ends. The tasks start again only after the record
// is stored.
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
    job_task_state* task = job == nullptr ? nullptr : job->Track(run.task);
    if (task != nullptr) {
      task->starts_after_batch = jobs_.next_batch();
    }
  }
}

void pool_scheduler::impl::Replace(const vm_id& id, time_point now) {
  vm_state* vm = FindVm(id);
  vm_incarnation& replaced = replaced_[id];
  if (vm != nullptr) {
    replaced = vm->incarnation;
    // If the lease has expired, the runs ended before the incarnation did.
    EndAllRunsAsLost(vm, !vm->IsLeaseExpired(now));
    dropped_vms_.push_back(id);
    NoteVmChange(*vm);
    index_.Remove(vm);
    vms_.Erase(vm);
  }
}

void pool_scheduler::impl::StopRunsOf(const job_id& id) {
  for (vm_state* vm : vms_.WithRunsOf(id)) {
    vms_.MarkChanged(vm);
    for (auto it = vm->runs().lower_bound({id, 0, 0, 0});
         it != vm->runs().end() && it->first.job == id; ++it) {
      it->second.WantStop(stop_reason::kUnwanted);
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
      if (is_done) {
        run->WantStop(stop_reason::kUnwanted);
      }
    });
  }
}

void pool_scheduler::impl::ExpireIfSilent(vm_state* vm, time_point now) {
  // A listing that arrived after the end of the last lease is up to date.
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
  // The VM is used again only after it has listed all its tasks and after a new
  // record is stored, since the next owner does not query a VM without a
  // record. A VM that was vacant before has no tasks to list.
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

// A VM that never listed what an earlier owner had started there may do so
// later. If a newer run of the task had the same number, the end of the old run
// would be mistaken for the end of the new one, and the task would be started
// again while it runs. The skipped numbers are recorded in the batch that
// deletes the record of the VM, so that a later owner finds both or queries the
// VM itself.
void pool_scheduler::impl::SkipUnreportedRuns(time_point now) {
  if (!has_unreported_vm_) {
    return;
  }
  for (const auto& [id, job] : jobs_.open()) {
    const bool may_have_run = job->arrived_at() < takeover_.exclusive_from;
    if (may_have_run && job->SkipUnreportedRuns(kMaxUnreportedRuns)) {
      // The next owner, which skips as many numbers, would assign the same
      // number to a run that is started before the batch is stored.
      job->HoldUntilStored(jobs_.next_batch());
      jobs_.NoteChange(job);
    }
  }
  // After that time no job is added that an earlier owner may have started.
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

// VMs report progress in whole percent, so that a task that works for minutes
// appears to stand still for seconds.
duration pool_scheduler::impl::HangLimit(const run_state& run,
                                         const job_task_state& task) const {
  duration limit = settings_.hang_limit;
  if (run.percent > run.first_percent && run.first_listed_at) {
    const duration mean = (run.progressed_at - *run.first_listed_at) /
                          (run.percent - run.first_percent);
    limit = std::max(limit, kMaxProgressDeviation * mean);
  } else {
    limit =
        std::max(limit, kMaxEstimateError * run.step->estimate / kReadyPercent);
  }
  const std::uint32_t repeated =
      task.hung_runs - std::min(task.hung_runs, kHungRunsAtLimit);
  return limit * (1 << std::min(repeated, kMaxDoublings));
}

void pool_scheduler::impl::StopHungRuns(vm_state* vm, time_point now) {
  for (auto& [task, run] : vm->runs()) {
    if (!run.confirmed_at || run.is_stop_wanted || run.IsOfUnknownJob() ||
        run.pace == 0 || run.percent >= kReadyPercent || run.step->gang ||
        vm->last_answer_at() - run.progressed_at < settings_.hang_limit) {
      continue;
    }
    job_state* job = jobs_.Find(task.job);
    const job_task_state* known = job == nullptr ? nullptr : job->Find(task);
    if (known == nullptr ||
        vm->last_answer_at() - run.progressed_at < HangLimit(run, *known)) {
      continue;
    }
    run.WantStop(stop_reason::kUnwanted);
    if (job_task_state* state = job->Track(task)) {
      ++state->hung_runs;
      state->failed_on = vm->description().id;
      state->failed_until = now + settings_.failed_vm_avoidance;
    }
    vm->avoid_until = std::max(vm->avoid_until, now + settings_.quarantine);
    ++counts_.hung_runs;
  }
}

// The number of tasks of a long-running step that are down for planned reasons
// must never exceed `max_unavailable`. Every task that is not ready counts as
// unavailable, whatever the reason. A VM lists a run that an earlier owner has
// stopped as running until it ends.
bool pool_scheduler::impl::MayInterrupt(const task_name& name, time_point now) {
  job_state* job = jobs_.Find(name.job);
  if (job == nullptr || job->Find(name) == nullptr) {
    return true;
  }
  const step_spec& step = job->StepOf(name);
  std::uint32_t at_work = 0;
  for (vm_state* vm : vms_.WithRunsOf(name.job)) {
    const bool is_reachable = vm->IsReachable();
    const bool is_closed = vm->is_closed;
    ForRunsOfStep(vm, name, [&](const task_name& task, const run_state* run) {
      const bool is_other = task.index != name.index;
      const bool may_be_stopped = is_closed && run->is_adopted &&
                                  now - run->ordered_at < settings_.stop_time;
      const bool is_at_work = run->percent >= kReadyPercent &&
                              !run->is_stop_wanted && is_reachable &&
                              !may_be_stopped;
      at_work += is_other && is_at_work ? 1 : 0;
    });
  }
  const std::uint32_t missing = step.task_count - 1 - at_work;
  return missing < std::max(step.max_unavailable, 1U);
}

// Requests stops of tasks that will not end in time on a VM that is draining or
// closed.
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
    const bool may_stop = step.long_running
                              ? leaves || MayInterrupt(task, now)
                              : is_overdue || (step.checkpoints && !step.gang);
    if (may_stop) {
      run.WantStop(step.long_running && !leaves ? stop_reason::kDrain
                                                : stop_reason::kUnwanted);
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
    // The stop that was sent may not have been carried out, and other tasks may
    // have become unavailable since.
    const bool is_repeat = run.stop_sent_at != time_point();
    if (is_due && is_repeat && run.wanted_stop == stop_reason::kDrain &&
        !MayInterrupt(task, now)) {
      run.is_stop_wanted = false;
    } else if (is_due) {
      run.is_stop_in_flight = true;
      run.stop_sent_at = now;
      orders->emplace_back(
          stop_order{{vm->description().id, task, run.run}, vm->incarnation});
    }
  }
}

// Throttles best-effort tasks while a latency-sensitive task on the same VM is
// near its latency target, and speeds them up again step by step.
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
      orders->emplace_back(pace_order{
          {vm->description().id, task, run.run}, vm->incarnation, pace});
    }
  }
}

}  // namespace plantainhead::core::jobs
