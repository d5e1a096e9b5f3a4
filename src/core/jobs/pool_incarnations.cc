#include <vector>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {
namespace {

// A call that was not answered may be carried out up to this much later.
constexpr duration kMaxCallDelay = std::chrono::seconds(15);

}  // namespace

bool pool_scheduler::impl::UpdateIncarnation(vm_state* vm,
                                             std::optional<time_point> asked_at,
                                             const vm_incarnation& incarnation,
                                             time_point now) {
  if (!AreDifferentIncarnations(incarnation, vm->incarnation)) {
    vm->incarnation = incarnation ? incarnation : vm->incarnation;
    return true;
  }
  // The VM's clock, whose time identifies the incarnation, may have been set
  // back. However, a hold that was sent when the current incarnation was known
  // cannot reach an earlier one.
  const bool is_next = *incarnation > *vm->incarnation ||
                       (asked_at && *asked_at >= vm->incarnation_known_at());
  if (is_next) {
    BeginIncarnation(vm, incarnation, now);
  }
  return is_next;
}

// The VM has restarted under its id and has no state from before. Runs that the
// previous incarnation listed have ended. For the others it is unknown which
// incarnation accepted them or will accept them: those whose start was answered
// are resolved by the listings of the new incarnation, and the others are
// stopped there first.
void pool_scheduler::impl::BeginIncarnation(vm_state* vm,
                                            const vm_incarnation& incarnation,
                                            time_point now) {
  DropUnprocessedEnds(vm);
  // If the lease has expired, the runs ended before the incarnation did.
  const bool has_incarnation_ended = !vm->IsLeaseExpired(now);
  std::vector<lost_run> lost;
  for (auto& [task, run] : vm->runs()) {
    if (run.is_reported) {
      lost.push_back(LostRunOf(*vm, task, run, has_incarnation_ended));
    } else {
      MarkUncertain(&run, vm->incarnation);
    }
  }
  EndLostRuns(vm, lost);
  restarts_.push_back({vm->description().id, incarnation, vm->incarnation,
                       vm->runs().size(), vm->granted_at(),
                       vm->acknowledged_through});
  vm->BeginIncarnation(incarnation, now);
  vacant_.erase(vm->description().id);
  StopUnansweredStarts(vm, now);
  NoteVmChange(*vm);
}

void pool_scheduler::impl::MarkUncertain(
    run_state* run,
    const vm_incarnation& former_incarnation) {
  run->former_incarnation = former_incarnation;
  run->is_start_in_flight = false;
  run->start_unknown_since.reset();
  run->stop_answered_at.reset();
  if (!run->confirmed_at) {
    run->WantStop(stop_reason::kUnwanted);
  }
}

void pool_scheduler::impl::DropOldStarts(vm_state* vm, time_point now) {
  std::erase_if(vm->unanswered_starts, [now](const auto& start) {
    return now - start.second.given_up_at > kMaxCallDelay;
  });
}

void pool_scheduler::impl::NoteUnansweredStart(vm_state* vm,
                                               const run_ref& target,
                                               time_point now) {
  DropOldStarts(vm, now);
  vm->unanswered_starts[target.task] = {target.run, now};
}

// The previous incarnation may have confirmed the stop of a start that has not
// arrived yet.
void pool_scheduler::impl::StopUnansweredStarts(vm_state* vm, time_point now) {
  DropOldStarts(vm, now);
  for (const auto& [task, start] : vm->unanswered_starts) {
    const job_state* job = jobs_.Find(task.job);
    if (job == nullptr || vm->runs().count(task) != 0) {
      continue;
    }
    run_state run;
    run.run = start.run;
    run.step = &job->StepOf(task);
    run.demand = DemandOf(*run.step);
    run.ordered_at = now;
    run.WantStop(stop_reason::kUnwanted);
    vm->Add(task, run);
  }
}

// An uncertain run that the current incarnation lists continues.
void pool_scheduler::impl::NoteListed(vm_state* vm,
                                      const task_name& task,
                                      run_state* run) {
  run->is_reported = true;
  if (!run->former_incarnation) {
    return;
  }
  run->former_incarnation.reset();
  job_state* job = jobs_.Find(task.job);
  const job_task_state* state = job == nullptr ? nullptr : job->Find(task);
  const bool is_wanted = state != nullptr &&
                         state->phase == task_phase::kPlaced &&
                         state->last_run == run->run;
  const bool was_asked_to_stop =
      run->is_stop_in_flight || run->stop_answered_at;
  if (is_wanted && !was_asked_to_stop && !vm->description().draining) {
    run->is_stop_wanted = false;
  }
}

}  // namespace plantainhead::core::jobs
