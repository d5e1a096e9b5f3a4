#include <algorithm>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {

void pool_scheduler::impl::NoteStartTime(vm_state* vm,
                                         const run_ref& target,
                                         time_point now) {
  const run_state* run =
      vm == nullptr ? nullptr : vm->Find(target.task, target.run);
  if (run != nullptr) {
    window_.NoteResult(now - run->ordered_at, now);
  }
}

void pool_scheduler::impl::ProcessStartAnswer(vm_state* vm,
                                              const run_ref& target,
                                              start_result result,
                                              time_point now) {
  run_state* run = vm->Find(target.task, target.run);
  if (run == nullptr) {
    return;
  }
  run->is_start_in_flight = false;
  switch (result) {
    case start_result::kStarted:
      if (!run->confirmed_at) {
        run->confirmed_at = now;
        run->progressed_at = now;
        NoteRunning(jobs_.Find(target.task.job));
      }
      return;
    case start_result::kUnknown:
      NoteUnansweredStart(vm, target, now);
      NoteStartUnknown(run, now);
      return;
    case start_result::kNoCapacity:
    case start_result::kUnhealthy:
    case start_result::kNotSent:
    case start_result::kOrderExpired:
      vm->avoid_until =
          std::max(vm->avoid_until, now + settings_.refusal_pause);
      EndRun(vm, target.task);
      return;
    case start_result::kStaleRun:
      EndRun(vm, target.task);
      return;
    case start_result::kInvalid: {
      vm->Erase(target.task);
      job_state* job = jobs_.Find(target.task.job);
      if (job != nullptr && job->ApplyEnd(target.task, target.run,
                                          end_kind::kFailed, "", target.vm)) {
        jobs_.NoteChange(job);
      }
      return;
    }
    case start_result::kReplaced:
      // That incarnation of the VM never received the order, so that it did not
      // end because of it.
      EndRun(vm, target.task);
      return;
    case start_result::kFenced:
      return;
  }
}

// The VM may still carry out the order seconds from now. Until it confirms a
// stop, the task must not start elsewhere. A long-running task may already be
// serving, and a stop would interrupt its users, so that the next listing has
// to show first whether it runs. Other tasks are stopped at once, since they
// would only wait.
void pool_scheduler::impl::NoteStartUnknown(run_state* run, time_point now) {
  if (run->confirmed_at) {
    return;
  }
  if (run->IsLongRunning()) {
    run->start_unknown_since = now;
  } else {
    run->WantStop(stop_reason::kUnwanted);
  }
}

void pool_scheduler::impl::ProcessStopAnswer(vm_state* vm,
                                             const run_ref& target,
                                             bool is_answered,
                                             time_point now) {
  run_state* run = vm->Find(target.task, target.run);
  if (run == nullptr) {
    return;
  }
  run->is_stop_in_flight = false;
  // The previous incarnation may have answered the stop, and the current one
  // may still start the run.
  const bool may_be_former = run->stop_sent_at < vm->incarnation_known_at();
  if (may_be_former) {
    run->next_stop_at = now;
  } else if (is_answered) {
    run->stop_answered_at = now;
  } else {
    run->next_stop_at = now + settings_.stop_retry;
    if (run->wanted_stop == stop_reason::kNotListed) {
      // The start may have been carried out since the listing without the run,
      // so that only a listing that is requested now can call for another stop.
      run->is_stop_wanted = false;
      run->start_unknown_since = now;
    }
  }
}

hold_parameters pool_scheduler::impl::NextHold(vm_state* vm, time_point now) {
  hold_parameters hold;
  hold.incarnation = vm->incarnation;
  const bool has_unacked = vm->acknowledged_through < vm->processed_through;
  if (!vm->IsReachable()) {
    // The lease of a VM that does not answer is not extended: what may be
    // running there can start elsewhere only after the last lease has expired.
    // No end is acknowledged either, since the VM may restart and number its
    // ends from 1 again.
    return hold;
  }
  hold.acknowledged_through = vm->acknowledged_through;
  hold.lease_until = vm->Grant(settings_.lease, now);
  const bool has_stops =
      std::any_of(vm->runs().begin(), vm->runs().end(), [](const auto& entry) {
        return entry.second.is_stop_wanted || entry.second.start_unknown_since;
      });
  if (has_unacked || has_stops) {
    hold.wait = settings_.watch_wait / 10;
  } else {
    hold.wait =
        vm->HasLatencySensitive() ? settings_.watch_wait : settings_.hold_wait;
  }
  if (vm->HasNewlyStartedSuspect()) {
    hold.wait = std::min(hold.wait, settings_.suspect_wait);
  }
  return hold;
}

}  // namespace plantainhead::core::jobs
