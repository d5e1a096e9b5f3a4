#include <vector>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {
namespace {

// A call without an answer may be carried out this much later.
constexpr duration kLatestCall = std::chrono::seconds(15);

}  // namespace

bool pool_scheduler::impl::TakeLife(vm_state* vm,
                                    std::optional<time_point> asked_at,
                                    const life_mark& born,
                                    time_point now) {
  if (!AreOtherLives(born, vm->born)) {
    vm->born = born ? born : vm->born;
    return true;
  }
  // The clock by which a life is marked may have been set back; but a hold that
  // was sent when the present life was known reaches no life before it.
  const bool is_next =
      *born > *vm->born || (asked_at && *asked_at >= vm->life_known_at());
  if (is_next) {
    BeginLife(vm, born, now);
  }
  return is_next;
}

// The VM has begun again under its id, and knows nothing of before. What its
// former life listed is over. Of other runs it isn't known which life took
// them, or will: those that were answered show in what the new life lists, and
// the others are stopped there first.
void pool_scheduler::impl::BeginLife(vm_state* vm,
                                     const life_mark& born,
                                     time_point now) {
  ForgetUntakenEnds(vm);
  // Past its lease the runs had ended before that life of the VM did.
  const bool is_over = !vm->IsLapsed(now);
  std::vector<lost_run> lost;
  for (auto& [task, run] : vm->runs()) {
    if (run.is_listed) {
      lost.push_back(LostRunOf(*vm, task, run, is_over));
    } else {
      DoubtRun(&run, vm->born);
    }
  }
  EndLostRuns(vm, lost);
  vm->BeginLife(born, now);
  vacant_.erase(vm->description().id);
  StopUnansweredStarts(vm, now);
  NoteVmChange(*vm);
}

void pool_scheduler::impl::DoubtRun(run_state* run,
                                    const life_mark& former_life) {
  run->former_life = former_life;
  run->is_start_in_flight = false;
  run->unsettled_since.reset();
  run->stop_answered_at.reset();
  run->is_stop_wanted = run->is_stop_wanted || !run->confirmed_at;
}

void pool_scheduler::impl::ForgetOldStarts(vm_state* vm, time_point now) {
  std::erase_if(vm->unanswered_starts, [now](const auto& start) {
    return now - start.second.given_up_at > kLatestCall;
  });
}

void pool_scheduler::impl::NoteUnansweredStart(vm_state* vm,
                                               const run_ref& target,
                                               time_point now) {
  ForgetOldStarts(vm, now);
  vm->unanswered_starts[target.task] = {target.run, now};
}

// The former life may have confirmed a stop of a start that is on its way yet.
void pool_scheduler::impl::StopUnansweredStarts(vm_state* vm, time_point now) {
  ForgetOldStarts(vm, now);
  for (const auto& [task, start] : vm->unanswered_starts) {
    const job_state* job = jobs_.Find(task.job);
    if (job == nullptr || vm->runs().count(task) != 0) {
      continue;
    }
    run_state run;
    run.run = start.run;
    run.step = &job->StepOf(task);
    run.room = RoomOf(*run.step);
    run.ordered_at = now;
    run.is_stop_wanted = true;
    vm->Add(task, run);
  }
}

// A run that was doubted, and that the present life has: it goes on.
void pool_scheduler::impl::NoteListed(vm_state* vm,
                                      const task_name& task,
                                      run_state* run) {
  run->is_listed = true;
  if (!run->former_life) {
    return;
  }
  run->former_life.reset();
  job_state* job = jobs_.Find(task.job);
  const task_state* state = job == nullptr ? nullptr : job->Find(task);
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
