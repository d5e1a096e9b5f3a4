#include <algorithm>
#include <utility>

#include "core/jobs/crash_suspicion.h"
#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {
namespace {

// Long-running tasks are placed before all priorities, and jobs that will be
// late after them.
constexpr int kLongRunningRank = -1;
constexpr int kLateRank = 1000;
// The number of ready steps of a job that a plan visits.
constexpr std::size_t kMaxStepsOfPlan = 256;

bool HasLabel(const vm_description& vm, const std::string& label) {
  return std::find(vm.labels.begin(), vm.labels.end(), label) !=
         vm.labels.end();
}

// Returns how unsuitable VMs of the kind are for a task of the step.
int PenaltyOf(std::size_t kind, const step_spec& step) {
  int penalty = 0;
  if (step.best_effort) {
    penalty += available_vm_list::HasLatencySensitive(kind) ? 2 : 0;
  }
  if (step.long_running) {
    penalty += available_vm_list::HasLongRunning(kind) ? 0 : 1;
  }
  return penalty;
}

}  // namespace

// After a takeover, a task may be running or may have ended on any VM that has
// not listed all its tasks. It must not start elsewhere before that, or before
// the lease of the VM has expired.
bool pool_scheduler::impl::IsRecovered(time_point now) {
  if (is_recovered_) {
    return true;
  }
  // A VM whose lease has expired without a listing counts only once the record
  // of that is stored: a newer owner, which may have received a listing, would
  // have claimed the partition before.
  IndexChanged(now);
  is_recovered_ =
      expiry_batch_ <= stored_through_ && index_.unreconciled().empty();
  return is_recovered_;
}

takeover_wait pool_scheduler::impl::TakeoverWait(time_point now) {
  takeover_wait wait;
  wait.is_over = is_recovered_;
  if (is_recovered_) {
    return wait;
  }
  IndexChanged(now);
  vms_.NoteVisits(index_.unreconciled().size());
  for (const vm_state* vm : index_.unreconciled()) {
    ++(vm->is_registered ? wait.registered : wait.unregistered);
    wait.vm = vm->description().id;
  }
  return wait;
}

// A VM may have listed the end of a task before the job was read. Its next
// listing contains the end again; a start before that would repeat a task that
// is done.
std::set<job_id> pool_scheduler::impl::JobsWithUnprocessedEnds() const {
  std::set<job_id> jobs;
  vms_.NoteVisits(index_.with_unprocessed_ends().size());
  for (const vm_state* vm : index_.with_unprocessed_ends()) {
    for (const auto& [task, run] : vm->unprocessed_ends) {
      jobs.insert(task.job);
    }
  }
  return jobs;
}

std::vector<pool_scheduler::impl::candidate> pool_scheduler::impl::Candidates(
    time_point now) {
  const bool is_recovered = IsRecovered(now);
  const std::set<job_id> with_unprocessed_ends = JobsWithUnprocessedEnds();
  std::vector<candidate> candidates;
  std::vector<job_id> none_waits;
  for (const auto& [id, job] : jobs_.waiting()) {
    if (!job->HasWaiting()) {
      job->NoteWait(std::nullopt, now);
      none_waits.push_back(id);
      continue;
    }
    const bool may_be_running =
        !is_recovered && job->arrived_at() < takeover_.exclusive_from;
    const bool is_held = may_be_running ||
                         with_unprocessed_ends.count(id) != 0 ||
                         job->starts_after_batch() > stored_through_;
    if (is_held) {
      NoteWait(job, wait_cause::kRecovery, now);
      continue;
    }
    const bool is_late = now + job->RemainingChain() > job->deadline();
    int rank = job->policy().priority;
    if (job->HasReadyLongRunning()) {
      rank = kLongRunningRank;
    } else if (is_late) {
      rank += kLateRank;
    }
    candidates.push_back({job, rank, job->deadline()});
  }
  for (const job_id& id : none_waits) {
    jobs_.NoteNoneWaits(id);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) {
              return std::tie(a.rank, a.order, a.job->spec().id) <
                     std::tie(b.rank, b.order, b.job->spec().id);
            });
  return candidates;
}

// A job with many ready steps continues with the next ones in the next plan.
void pool_scheduler::impl::PlaceJob(job_state* job,
                                    time_point now,
                                    std::vector<vm_order>* orders) {
  using step_ref = job_state::step_ref;
  std::vector<step_ref>& steps = steps_to_place_;
  steps.clear();
  const step_ref begin = job->next_step;
  job->WaitingSteps(begin, kMaxStepsOfPlan, &steps);
  const std::size_t before_wrap = steps.size();
  if (begin != step_ref()) {
    job->WaitingSteps(step_ref(), kMaxStepsOfPlan, &steps);
    while (steps.size() > before_wrap && !(steps.back() < begin)) {
      steps.pop_back();
    }
  }
  const bool is_full = steps.size() == kMaxStepsOfPlan;
  job->next_step =
      is_full ? step_ref{steps.back().occurrence, steps.back().step + 1}
              : step_ref();
  for (const step_ref& step : steps) {
    if (starts_left_ == 0) {
      job->next_step = is_full ? step : step_ref();
      return;
    }
    ++counts_.visited_steps;
    PlaceReadyStep(job, step, now, orders);
  }
}

void pool_scheduler::impl::PlaceReadyStep(job_state* job,
                                          const job_state::step_ref& step,
                                          time_point now,
                                          std::vector<vm_order>* orders) {
  if (job->spec().steps[step.step].gang) {
    PlaceGang(job, step, now, orders);
  } else {
    PlaceStep(job, step, now, orders);
  }
}

void pool_scheduler::impl::PlaceStep(job_state* job,
                                     const job_state::step_ref& step,
                                     time_point now,
                                     std::vector<vm_order>* orders) {
  const step_spec& spec = job->spec().steps[step.step];
  task_name name{job->spec().id, step.occurrence, step.step, 0};
  for (;; ++name.index) {
    const step_state* state = job->FindStep(step);
    const std::uint32_t untracked =
        state == nullptr ? name.index : state->NextUntracked(name.index);
    const std::uint32_t retry =
        state == nullptr ? spec.task_count : state->NextRetry(name.index);
    name.index = std::min(job->MayTrack(1) ? untracked : spec.task_count,
                          job->MayRetry() ? retry : spec.task_count);
    if (starts_left_ == 0 || name.index >= spec.task_count) {
      return;
    }
    const job_task_state& task = *job->Find(name);
    if (task.starts_after_batch > stored_through_) {
      continue;
    }
    vm_state* vm = ChooseVm(job, name, spec.preferred_rack, now);
    if (vm == nullptr && MustRunIsolated(*job, name)) {
      continue;
    }
    if (vm == nullptr) {
      // The other tasks of the step need as many resources.
      return;
    }
    Start(job, name, job->NextRun(task), vm, now, orders);
  }
}

// Returns the racks to try for a gang, in this order. The empty string stands
// for any rack.
std::vector<std::string> pool_scheduler::impl::RacksFor(
    const job_state& job,
    std::uint32_t step) const {
  std::vector<std::string> racks;
  const pool_vm_index* pool = index_.Find(job.spec().pool);
  if (job.spec().steps[step].same_rack && pool != nullptr) {
    for (const auto& [rack, available] : pool->available_by_rack) {
      if (available > 0) {
        racks.push_back(rack);
      }
    }
  }
  racks.emplace_back("");
  return racks;
}

bool pool_scheduler::impl::MayFitGang(const pool_id& pool,
                                      const step_spec& step) const {
  const pool_vm_index* index = index_.Find(pool);
  if (index == nullptr) {
    return false;
  }
  const resources demand = DemandOf(step);
  const resources free = index->capacity - index->used;
  const auto may_fit = [&step](std::int64_t need, std::int64_t room) {
    return need <= 0 || need <= room / std::int64_t{step.task_count};
  };
  return may_fit(demand.cpu_millis, free.cpu_millis) &&
         may_fit(demand.memory_mb, free.memory_mb) &&
         may_fit(demand.gpus, free.gpus);
}

bool pool_scheduler::impl::MayPlaceGang(const job_state& job,
                                        const job_state::step_ref& step) const {
  const step_spec& spec = job.spec().steps[step.step];
  const step_state* state = job.FindStep(step);
  // A gang that is larger than the window starts when no other start is in
  // flight.
  const bool is_held_back =
      spec.task_count > starts_left_ && starts_in_flight_ > 0;
  const std::size_t tracked = state == nullptr ? 0 : state->tracked().size();
  const bool is_placed = state != nullptr && state->placed() > 0;
  const bool has_record_room =
      job.MayRetry() &&
      job.MayTrack(spec.task_count - static_cast<std::uint32_t>(tracked));
  return !is_placed && !is_held_back && has_record_room &&
         MayFitGang(job.spec().pool, spec);
}

// If only some members of a gang could start, they would use capacity until
// they end as incomplete. So either all members are placed, or none.
void pool_scheduler::impl::PlaceGang(job_state* job,
                                     const job_state::step_ref& step,
                                     time_point now,
                                     std::vector<vm_order>* orders) {
  const step_spec& spec = job->spec().steps[step.step];
  const step_state* state = job->FindStep(step);
  if (!MayPlaceGang(*job, step)) {
    return;
  }
  std::uint32_t run = job->NextRun(job_task_state());
  std::string checkpoint;
  if (state != nullptr) {
    for (const auto& [index, task] : state->tracked()) {
      if (task.starts_after_batch > stored_through_) {
        return;
      }
      run = std::max(run, job->NextRun(task));
      checkpoint = std::max(checkpoint, task.checkpoint);
    }
  }
  for (const std::string& rack : RacksFor(*job, step.step)) {
    std::vector<std::pair<vm_state*, task_name>> placed;
    const std::size_t unplaced_before = unmet_demands_.size();
    for (std::uint32_t i = 0; i < spec.task_count; ++i) {
      const task_name name{job->spec().id, step.occurrence, step.step, i};
      vm_state* vm = ChooseVm(job, name, rack, now);
      const bool is_in_rack =
          vm != nullptr && (rack.empty() || HasLabel(vm->description(), rack));
      if (!is_in_rack) {
        break;
      }
      run_state reserved;
      reserved.step = &spec;
      reserved.demand = DemandOf(spec);
      vm->Add(name, reserved);
      index_.Update(vm, now);
      placed.emplace_back(vm, name);
    }
    const bool fits = placed.size() == spec.task_count;
    for (const auto& [vm, name] : placed) {
      vm->Erase(name);
      index_.Update(vm, now);
    }
    if (!fits) {
      // Demands that found no capacity beside the attempted gang may find some
      // without it.
      unmet_demands_.resize(unplaced_before);
      continue;
    }
    for (const auto& [vm, name] : placed) {
      job->Track(name)->checkpoint = checkpoint;
      Start(job, name, run, vm, now, orders);
    }
    return;
  }
}

bool pool_scheduler::impl::MayStart(time_point now) const {
  return !cancellations_read_through_ ||
         now - *cancellations_read_through_ <= settings_.max_cancellation_age;
}

std::uint32_t pool_scheduler::impl::RunsOfStep(const vm_state& vm,
                                               const task_name& task) const {
  std::uint32_t count = 0;
  ForRunsOfStep(&vm, task,
                [&count](const task_name& /*name*/, const run_state* /*run*/) {
                  ++count;
                });
  return count;
}

// Free capacity only decreases while a plan is made, so that a demand that
// found none before finds none now. Otherwise a plan in an overload would
// search all VMs for every waiting job, and would take longer the more jobs
// wait.
bool pool_scheduler::impl::IsKnownUnplaceable(const pool_id& pool,
                                              const step_spec& step) const {
  const resources demand = DemandOf(step);
  return std::any_of(unmet_demands_.begin(), unmet_demands_.end(),
                     [&](const unmet_demand& need) {
                       return Fits(need.demand, demand) && need.pool == pool &&
                              need.label == step.required_label;
                     });
}

// A gang needs all its VMs at once, so that its members cannot be isolated.
bool pool_scheduler::impl::MustRunIsolated(job_state& job,
                                           const task_name& task) {
  return !job.StepOf(task).gang &&
         SuspicionOf(job.Find(task)->losses) != suspicion::kNone;
}

bool pool_scheduler::impl::MayHold(const vm_state& vm,
                                   const task_name& task,
                                   const step_spec& step,
                                   bool is_isolated) const {
  // If the VM crashes, it must be possible to attribute the crash to a task.
  if (vm.HasNewlyStartedSuspect() || (is_isolated && vm.HasNewlyStarted())) {
    return false;
  }
  const bool is_full =
      step.max_per_vm > 0 && RunsOfStep(vm, task) >= step.max_per_vm;
  return !is_full && vm.runs().count(task) == 0;
}

/// The parameters and results of a search for a VM that can run a task.
struct pool_scheduler::impl::vm_search {
  const task_name& task;
  const step_spec& step;
  resources demand;
  bool is_isolated = false;
  /// The VM on which the last run of the task failed, if the task must avoid
  /// it.
  const vm_id* avoided = nullptr;
  time_point now;
  /// Intermediate results.
  bool has_capacity = false;
  vm_state* last_resort = nullptr;
};

bool pool_scheduler::impl::Suits(vm_state* vm, vm_search* search) const {
  const std::string& label = search->step.required_label;
  const bool has_capacity =
      Fits(search->demand, vm->Free()) && search->now >= vm->avoid_until &&
      (label.empty() || HasLabel(vm->description(), label));
  search->has_capacity = search->has_capacity || has_capacity;
  if (!has_capacity ||
      !MayHold(*vm, search->task, search->step, search->is_isolated)) {
    return false;
  }
  if (search->avoided != nullptr && vm->description().id == *search->avoided) {
    search->last_resort = vm;
    return false;
  }
  return true;
}

// Chooses the VM with the least remaining processor time, so that VMs with much
// free capacity stay available for large tasks. Long-running tasks are placed
// on VMs that already have some, as far as their steps permit, so that VMs
// without any can be released when the demand falls. Best-effort tasks avoid
// VMs with latency-sensitive tasks.
vm_state* pool_scheduler::impl::FindBest(const available_vm_list& available,
                                         vm_search* search) const {
  vm_state* best = nullptr;
  std::tuple<int, ranked_vm> best_cost;
  for (std::size_t kind = 0; kind < available_vm_list::kKinds; ++kind) {
    const ranked_vms& list = available.OfKind(kind);
    const int penalty = PenaltyOf(kind, search->step);
    for (auto it = list.lower_bound(search->demand.cpu_millis);
         it != list.end(); ++it) {
      vms_.NoteVisits(1);
      if (Suits(it->vm, search)) {
        const std::tuple<int, ranked_vm> cost = {penalty, *it};
        if (best == nullptr || cost < best_cost) {
          best = it->vm;
          best_cost = cost;
        }
        break;
      }
    }
  }
  return best;
}

// Chooses the VM with the fewest runs, so that as little as possible is lost if
// it crashes.
vm_state* pool_scheduler::impl::FindLeastBusy(
    const available_vm_list& available,
    vm_search* search) const {
  vm_state* best = nullptr;
  std::tuple<std::size_t, ranked_vm> best_cost;
  for (std::size_t kind = 0; kind < available_vm_list::kKinds; ++kind) {
    for (const ranked_vm& available_vm : available.OfKind(kind)) {
      vms_.NoteVisits(1);
      const std::tuple<std::size_t, ranked_vm> cost = {
          available_vm.vm->runs().size(), available_vm};
      if (Suits(available_vm.vm, search) &&
          (best == nullptr || cost < best_cost)) {
        best = available_vm.vm;
        best_cost = cost;
      }
    }
  }
  return best;
}

vm_state* pool_scheduler::impl::ChooseVm(job_state* job,
                                         const task_name& task,
                                         const std::string& rack,
                                         time_point now) {
  const step_spec& step = job->spec().steps[task.step];
  const pool_id& pool = job->spec().pool;
  const available_vm_list* eligible =
      index_.AvailableWith(pool, step.required_label);
  if (eligible == nullptr || IsKnownUnplaceable(pool, step)) {
    return nullptr;
  }
  const job_task_state& state = *job->Find(task);
  vm_search search{task,
                   step,
                   DemandOf(step),
                   MustRunIsolated(*job, task),
                   now < state.failed_until ? &state.failed_on : nullptr,
                   now,
                   false,
                   nullptr};
  vm_state* best = nullptr;
  if (search.is_isolated) {
    best = FindLeastBusy(*eligible, &search);
  } else {
    if (!rack.empty()) {
      best = FindBest(*index_.AvailableWith(pool, rack), &search);
    }
    best = best == nullptr ? FindBest(*eligible, &search) : best;
  }
  if (!search.has_capacity) {
    unmet_demands_.push_back({pool, step.required_label, search.demand});
  }
  if (best == nullptr && eligible->size() <= 1) {
    return search.last_resort;
  }
  return best;
}

void pool_scheduler::impl::Start(job_state* job,
                                 const task_name& task,
                                 std::uint32_t run,
                                 vm_state* vm,
                                 time_point now,
                                 std::vector<vm_order>* orders) {
  const auto lease_until = vm->Grant(settings_.lease, now);
  if (!lease_until) {
    return;
  }
  run_state state;
  state.run = run;
  state.step = &job->StepOf(task);
  state.demand = DemandOf(*state.step);
  state.ordered_at = now;
  state.progressed_at = now;
  state.is_start_in_flight = true;
  state.is_suspected = MustRunIsolated(*job, task);
  vm->Add(task, state);
  job->MarkPlaced(task, run);
  job->MarkStarted(now);
  index_.Update(vm, now);
  vms_.MarkChanged(vm);
  ++counts_.starts;
  ++starts_in_flight_;
  starts_left_ -= std::min<std::size_t>(starts_left_, 1);
  orders->emplace_back(start_order{{vm->description().id, task, run},
                                   vm->incarnation,
                                   job->shared_spec(),
                                   job->Find(task)->checkpoint,
                                   *lease_until});
}

}  // namespace plantainhead::core::jobs
