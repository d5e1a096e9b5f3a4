#include <algorithm>
#include <set>
#include <utility>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {

void pool_scheduler::impl::AddKnownVm(const known_vm& known) {
  vm_description description;
  description.id = known.id;
  description.address = known.address;
  vm_state& vm = *vms_.Add(description).first;
  vm.is_registered = false;
  vm.is_recorded = true;
  vm.is_record_due = false;
  AssumeLeaseOf(known.id, &vm);
  vm.is_reconciled = vacant_.count(known.id) != 0;
  NoteVmChange(vm);
}

void pool_scheduler::impl::AssumeLeaseOf(const vm_id& id, vm_state* vm) {
  const auto known = takeover_.lease_ends.find(id);
  vm->AssumeLease(known == takeover_.lease_ends.end()
                      ? takeover_.default_lease_end
                      : known->second);
}

void pool_scheduler::impl::UpdateVms(const std::vector<vm_description>& listed,
                                     time_point now) {
  for (auto& [id, vm] : vms_.All()) {
    vm.is_registered = false;
    vms_.MarkChanged(&vm);
  }
  for (const vm_description& description : listed) {
    UpdateVm(description, now);
  }
  has_registry_ = true;
}

void pool_scheduler::impl::UpdateVm(const vm_description& description,
                                    time_point now) {
  const auto replaced = replaced_.find(description.id);
  if (replaced != replaced_.end()) {
    if (!AreDifferentIncarnations(description.incarnation, replaced->second)) {
      return;
    }
    replaced_.erase(replaced);
  }
  const auto [vm, is_new] = vms_.Add(description);
  UpdateIncarnation(vm, std::nullopt, description.incarnation, now);
  if (is_new || vm->description() != description) {
    vm->Describe(description);
    NoteVmChange(*vm);
  }
  vm->is_registered = true;
  // An owner that was paused may have been the first to see this VM and may
  // have started a task on it, which this owner would start a second time.
  const bool may_be_used =
      is_new && (!has_registry_ || now < takeover_.exclusive_from);
  if (may_be_used && vacant_.count(description.id) != 0) {
    vm->is_reconciled = true;
  } else if (may_be_used) {
    AssumeLeaseOf(description.id, vm);
    is_recovered_ = false;
  }
}

void pool_scheduler::impl::UnregisterVm(const vm_id& id) {
  if (vm_state* vm = FindVm(id)) {
    vm->is_registered = false;
  }
}

// Most reports only postpone the next check of the VM, so that they do not
// count as a change.
void pool_scheduler::impl::NoteReport(const vm_id& id,
                                      time_point trusted_until) {
  const vm_state* known = PeekVm(id);
  if (known == nullptr) {
    return;
  }
  const bool is_first = !known->trusted_until.has_value();
  const bool was_untrusted = known->indexed.stage == vm_stage::kUntrusted;
  if (is_first || was_untrusted || trusted_until < *known->trusted_until) {
    FindVm(id)->trusted_until = trusted_until;
  } else {
    vms_.FindUnmarked(id)->trusted_until = trusted_until;
  }
}

void pool_scheduler::impl::NoteVmChange(const vm_state& vm) {
  vm_changes_.push_back(vm.description().id);
}

void pool_scheduler::impl::ProcessListing(vm_state* vm,
                                          time_point sent_at,
                                          const run_listing& listing,
                                          time_point now) {
  if (!UpdateIncarnation(vm, sent_at, listing.incarnation, now) ||
      listing.vm_clock < vm->last_clock()) {
    // The listing is the answer to an earlier hold on another connection.
    return;
  }
  if (!vm->IsReachable()) {
    WithdrawLosses(*vm);
  }
  vm->RecordAnswer(listing.vm_clock, now);
  for (const running_task& row : listing.running) {
    ProcessRunning(vm, row, now);
  }
  vm->unprocessed_ends.clear();
  for (const ended_task& end : listing.ended) {
    const bool is_held_back = !vm->unprocessed_ends.empty();
    if (end.number > vm->processed_through &&
        (is_held_back || !ProcessEnd(vm, end, now))) {
      std::uint32_t& run = vm->unprocessed_ends[end.task];
      run = std::max(run, end.run);
    }
  }
  CheckAbsent(vm, sent_at, listing, now);
  index_.UpdateUnknown(vm);
  vm->is_reconciled =
      vm->is_reconciled || (!listing.is_partial && !vm->unknown_end_since);
}

void pool_scheduler::impl::ProcessRunning(vm_state* vm,
                                          const running_task& row,
                                          time_point now) {
  run_state* run = vm->Find(row.task, row.run);
  if (run == nullptr) {
    Adopt(vm, row, now);
    return;
  }
  NoteListed(vm, row.task, run);
  run->start_unknown_since.reset();
  // An order may be carried out late. Its stop, if it was not answered, has no
  // reason any more, and would interrupt a task that may be at work.
  if (run->wanted_stop == stop_reason::kNotListed && !run->stop_answered_at) {
    run->is_stop_wanted = false;
  }
  if (!run->confirmed_at) {
    run->confirmed_at = now;
    NoteRunning(jobs_.Find(row.task.job));
  }
  if (now - *run->confirmed_at >= settings_.crash_window) {
    vm->MarkSurvived(run);
  }
  run->reading = row.reading;
  if (!run->first_listed_at) {
    run->first_listed_at = now;
    run->first_percent = row.percent;
  }
  if (run->percent != row.percent) {
    run->percent = row.percent;
    run->progressed_at = now;
  }
  if (run->IsLongRunning() && row.percent >= kReadyPercent) {
    NoteReady(row.task);
  }
  if (run->IsOfUnknownJob()) {
    if (jobs_.Find(row.task.job) != nullptr) {
      vm->Erase(row.task);
      Adopt(vm, row, now);
    } else if (jobs_read_through_ > run->ordered_at &&
               !jobs_.IsUnopened(row.task.job)) {
      run->WantStop(stop_reason::kUnwanted);
    }
  }
}

// The VM was only disconnected, so that its tasks did not crash it.
void pool_scheduler::impl::WithdrawLosses(const vm_state& vm) {
  for (job_state* job : jobs_.TakeWithLosses()) {
    if (job->WithdrawLosses(vm.description().id, vm.incarnation)) {
      jobs_.NoteChange(job);
    }
    jobs_.NoteLosses(job);
  }
}

// A long-running task survives many VMs, so that only consecutive crashes count
// against it.
void pool_scheduler::impl::NoteReady(const task_name& task) {
  job_state* job = jobs_.Find(task.job);
  if (job != nullptr && job->ClearLosses(task)) {
    jobs_.NoteChange(job);
  }
}

// A plan opens the occurrences that are due by this process's clock. Listings
// arrive before the first plan, or from an earlier owner whose clock was ahead.
void pool_scheduler::impl::OpenListed(job_state* job, const task_name& task) {
  if (job->OpenListed(task)) {
    jobs_.NoteTasks(job);
  }
}

// Adopts a run that this owner did not order, or that it presumed ended: an
// earlier owner ordered it, or the order was carried out late.
void pool_scheduler::impl::Adopt(vm_state* vm,
                                 const running_task& row,
                                 time_point now) {
  run_state run;
  run.run = row.run;
  run.is_reported = true;
  run.is_adopted = true;
  run.ordered_at = now;
  run.confirmed_at = now;
  run.progressed_at = now;
  run.percent = row.percent;
  run.first_percent = row.percent;
  run.first_listed_at = now;
  run.reading = row.reading;
  job_state* job = jobs_.Find(row.task.job);
  if (job == nullptr) {
    // Its resources are unknown, so that the VM gets no other task until the
    // run has ended.
    run.is_stop_wanted = jobs_.IsEnded(row.task.job);
    vm->Add(row.task, run);
    return;
  }
  OpenListed(job, row.task);
  const job_task_state* task = job->Find(row.task);
  const bool is_wanted = task != nullptr &&
                         task->phase == task_phase::kWaiting &&
                         row.run > task->ended_run;
  run.is_stop_wanted = !is_wanted;
  if (row.task.step < job->spec().steps.size()) {
    const step_spec& step = job->spec().steps[row.task.step];
    run.demand = DemandOf(step);
    run.step = &step;
  }
  vm->Add(row.task, run);
  if (is_wanted) {
    job->MarkPlaced(row.task, row.run);
    NoteRunning(job);
  }
}

std::optional<unknown_job_vm> pool_scheduler::impl::FindUnknownJob() {
  const auto is_unknown = [this](const auto& run) {
    return run.second.IsOfUnknownJob() && !jobs_.IsEnded(run.first.job);
  };
  const vm_set& vms = index_.with_unknown_jobs();
  vms_.NoteVisits(vms.size());
  const auto found = std::find_if(vms.begin(), vms.end(), [&](vm_state* vm) {
    return vm->unknown_end_since.has_value() ||
           std::any_of(vm->runs().begin(), vm->runs().end(), is_unknown);
  });
  if (found == vms.end()) {
    return std::nullopt;
  }
  const vm_state& vm = **found;
  return unknown_job_vm{vm.description().id, vm.is_registered,
                        vm.IsReachable()};
}

std::vector<job_id> pool_scheduler::impl::ListedUnopenedJobs() const {
  std::set<job_id> listed;
  const auto note = [&](const auto& entry) {
    if (jobs_.IsUnopened(entry.first.job)) {
      listed.insert(entry.first.job);
    }
  };
  const vm_set& vms = index_.with_unknown_jobs();
  vms_.NoteVisits(vms.size());
  for (const vm_state* vm : vms) {
    std::for_each(vm->runs().begin(), vm->runs().end(), note);
    std::for_each(vm->unprocessed_ends.begin(), vm->unprocessed_ends.end(),
                  note);
  }
  return {listed.begin(), listed.end()};
}

// An earlier owner may have read and started the job sooner, and the VM may
// have listed its runs before this owner read the job. If they were adopted
// only with the next listing of the VM, a plan before that would start the
// tasks a second time. Runs that no VM has listed yet are handled by
// `IsRecovered`.
void pool_scheduler::impl::AdoptRunsOf(const job_id& id, time_point now) {
  for (vm_state* vm : vms_.WithRunsOf(id)) {
    std::vector<running_task> listed_runs;
    for (const auto& [task, run] : vm->runs()) {
      if (run.IsOfUnknownJob() && task.job == id) {
        listed_runs.push_back({task, run.run, "", run.percent, run.reading});
      }
    }
    for (const running_task& row : listed_runs) {
      vm->Erase(row.task);
      Adopt(vm, row, now);
    }
    vms_.MarkChanged(vm);
  }
  const auto forgotten = highest_unknown_runs_.find(id);
  if (forgotten == highest_unknown_runs_.end()) {
    return;
  }
  job_state* job = jobs_.Find(id);
  for (const auto& [task, run] : forgotten->second) {
    OpenListed(job, task);
    job->NoteReportedRun(task, run);
  }
  highest_unknown_runs_.erase(forgotten);
}

// `job` is null if the job is unknown.
void pool_scheduler::impl::NoteRunning(job_state* job) {
  if (job != nullptr && job->MarkRunning()) {
    jobs_.NoteChange(job);
  }
}

// Returns false if this end and all later ones cannot be processed yet.
bool pool_scheduler::impl::ProcessEnd(vm_state* vm,
                                      const ended_task& end,
                                      time_point now) {
  job_state* job = jobs_.Find(end.task.job);
  if (job == nullptr && !jobs_.IsEnded(end.task.job)) {
    // The record of the job may not have been read yet, for as long as a read
    // hangs. If the end were acknowledged now, it would be lost, and the task
    // would run a second time.
    if (!vm->unknown_end_since) {
      vm->unknown_end_since = now;
    }
    if (jobs_read_through_ <= *vm->unknown_end_since ||
        jobs_.IsUnopened(end.task.job)) {
      return false;
    }
  }
  vm->unknown_end_since.reset();
  if (job != nullptr) {
    OpenListed(job, end.task);
  }
  if (job != nullptr && end.how == end_kind::kDone && StopLaterStarts(end)) {
    return false;
  }
  vm->processed_through = end.number;
  if (vm->unstored_ends.empty()) {
    unacknowledged_.push_back(vm->description().id);
  }
  vm->unstored_ends.emplace_back(end.number, jobs_.next_batch());
  const auto held = vm->runs().find(end.task);
  if (held != vm->runs().end() && held->second.run <= end.run) {
    vm->Erase(end.task);
  }
  if (job == nullptr) {
    return true;
  }
  NoteHealth(vm, end, now);
  NoteRunning(job);
  // A newer run may have been placed.
  const job_task_state* task = job->Find(end.task);
  const bool is_late = task != nullptr && end.run < task->last_run;
  const bool is_new = job->ApplyEnd(end.task, end.run, end.how, end.checkpoint,
                                    vm->description().id);
  if (is_new) {
    if (end.how == end_kind::kFailed) {
      ++counts_.failed_runs;
      if (job_task_state* task = job->Track(end.task)) {
        task->failed_until = now + settings_.failed_vm_avoidance;
      }
    }
    jobs_.NoteChange(job);
    if (IsFinal(job->phase())) {
      StopRunsOf(job->spec().id);
    } else if (is_late && end.how == end_kind::kDone) {
      StopRunsOfDone(end.task);
    }
  }
  return true;
}

// Requests a stop of later runs of the task that may not have started yet. An
// end as done is processed only after that, since a task must not start after
// its job was reported as completed. Returns whether there are such runs.
bool pool_scheduler::impl::StopLaterStarts(const ended_task& end) {
  job_state* job = jobs_.Find(end.task.job);
  const job_task_state* ended = job->Find(end.task);
  if (ended == nullptr || end.run >= ended->last_run) {
    return false;
  }
  const bool is_gang = job->StepOf(end.task).gang;
  bool is_any = false;
  for (vm_state* vm : vms_.WithRunsOf(end.task.job)) {
    vms_.MarkChanged(vm);
    ForRunsOfStep(vm, end.task, [&](const task_name& task, run_state* run) {
      const bool may_start = run->run > end.run && !run->confirmed_at &&
                             (is_gang || task.index == end.task.index);
      if (may_start) {
        run->WantStop(stop_reason::kUnwanted);
      }
      is_any = is_any || may_start;
    });
  }
  return is_any;
}

// A VM that fails all its tasks appears idle. It would attract and fail every
// next task until jobs run out of attempts. Consecutive failures of several
// jobs distinguish such a VM from a job that cannot succeed. At most a third of
// the pool is quarantined, so that many faulty jobs cannot remove all VMs.
void pool_scheduler::impl::NoteHealth(vm_state* vm,
                                      const ended_task& end,
                                      time_point now) {
  if (end.how == end_kind::kDone) {
    vm->failures_in_row = 0;
    vm->failing_jobs.clear();
    return;
  }
  if (end.how != end_kind::kFailed) {
    return;
  }
  ++vm->failures_in_row;
  vm->failing_jobs.insert(end.task.job);
  if (vm->failures_in_row < settings_.quarantine_failures ||
      vm->failing_jobs.size() < 2) {
    return;
  }
  const auto& all = vms_.All();
  const auto set_aside = std::count_if(
      all.begin(), all.end(),
      [&](const auto& entry) { return entry.second.avoid_until > now; });
  if (3 * (static_cast<std::size_t>(set_aside) + 1) <= vms_.size() + 2) {
    vm->avoid_until = now + settings_.quarantine;
  }
}

// Ends runs that the VM does not have. The answer to a hold that was sent
// before the VM confirmed the run, or its stop, is no evidence: it may have
// been created before that.
void pool_scheduler::impl::CheckAbsent(vm_state* vm,
                                       time_point sent_at,
                                       const run_listing& listing,
                                       time_point now) {
  if (listing.is_partial || !vm->unprocessed_ends.empty()) {
    return;
  }
  std::set<std::pair<task_name, std::uint32_t>> running;
  for (const running_task& row : listing.running) {
    running.emplace(row.task, row.run);
  }
  std::vector<task_name> over;
  std::vector<lost_run> lost;
  for (auto& [task, run] : vm->runs()) {
    if (running.count({task, run.run}) != 0) {
      continue;
    }
    const bool is_stopped =
        run.stop_answered_at && *run.stop_answered_at <= sent_at;
    const bool was_started = run.confirmed_at && *run.confirmed_at <= sent_at;
    if (run.former_incarnation && (is_stopped || was_started)) {
      lost.push_back(LostRunOf(*vm, task, run, true));
      lost.back().incarnation = run.former_incarnation;
    } else if (is_stopped) {
      over.push_back(task);
    } else if (run.start_unknown_since && *run.start_unknown_since <= sent_at) {
      run.WantStop(stop_reason::kNotListed);
    } else if (was_started) {
      run.WantStop(stop_reason::kNotListed);
      run.next_stop_at = std::max(run.next_stop_at, now);
    }
  }
  for (const task_name& task : over) {
    EndRun(vm, task);
  }
  EndLostRuns(vm, lost);
}

}  // namespace plantainhead::core::jobs
