#include <functional>

#include "plantainhead/core/fleet/job_planner.h"
#include "plantainhead/core/fleet/vm_lifecycle.h"

namespace plantainhead::core {
namespace {

constexpr const char* kCheckpoint = "checkpoint";
constexpr const char* kRenew = "renew";

/// Number of renewals per lease period, so that one lost renewal does not end
/// the task.
constexpr int kRenewalsPerLease = 3;
/// Spreads the renewals of many tasks over the period. The offset may differ
/// between two planners: an additional renewal is harmless.
duration OffsetOf(const job_id& id, duration period) {
  return duration(static_cast<duration::rep>(
      std::hash<job_id>()(id) % static_cast<std::size_t>(period.count())));
}

}  // namespace

void job_planner::AdvanceJobs(const planner_context& context) {
  for (const auto& [id, job] : context.inputs.state.jobs) {
    if (!HoldsTask(job) ||
        context.gate.IsPending(ObjectOf(id), job.version, context.now)) {
      continue;
    }
    if (job.state == job_status::kPlaced) {
      AdvancePlaced(context, id, job);
    } else {
      AdvanceCheckpointing(context, id, job);
    }
  }
}

void job_planner::AdvancePlaced(const planner_context& context,
                                const job_id& id,
                                const fleet_job& job) {
  if (RecordTaskEnd(context, id, job)) {
    return;
  }
  // A listed task has already started. A planner that takes over does not have
  // to send the starts of all jobs again.
  const bool is_running = FindTask(id, job) != nullptr;
  if (!is_running && IsWorkerGone(context, job)) {
    ReleaseLostTask(context, id, job);
    return;
  }
  if (!is_running && !AdvanceStart(context, id, job)) {
    return;
  }
  if (ReleaseLostTask(context, id, job)) {
    return;
  }
  if (MustVacateWorker(context, job)) {
    SetState(context, id, job, job_status::kCheckpointing, job.vm, kCheckpoint,
             "worker " + job.vm.value() + " is leaving or in maintenance");
    return;
  }
  Renew(context, id, job);
}

bool job_planner::AdvanceStart(const planner_context& context,
                               const job_id& id,
                               const fleet_job& job) {
  const job_size size =
      ParseSize(job.operation).value_or(history_.SizeOf(job.spec));
  const std::optional<operation_result> end = context.operations.EnsureSent(
      job.operation,
      start_task{id, job.vm, size.processors, size.memory_mb, size.accelerators,
                 context.options.task_lease},
      context.now, context.out);
  if (end == operation_result::kDone) {
    return true;
  }
  if (end == operation_result::kRefused) {
    history_.CountRefusal(id, job.vm, context.now);
    SetState(context, id, job, job_status::kWaiting, job.vm, "",
             "worker " + job.vm.value() + " refused the task: " +
                 context.operations.DetailOf(job.operation));
    return false;
  }
  // A start that is still in progress may begin a lease at any time.
  const auto seen = observations_.find(id);
  if (seen != observations_.end()) {
    seen->second.lease_end =
        context.now + context.options.task_lease + context.options.lease_margin;
  }
  return false;
}

void job_planner::AdvanceCheckpointing(const planner_context& context,
                                       const job_id& id,
                                       const fleet_job& job) {
  const std::optional<operation_result> end = context.operations.EnsureSent(
      job.operation, checkpoint_task{id, job.vm}, context.now, context.out);
  if (end == operation_result::kDone) {
    SetState(context, id, job, job_status::kWaiting, vm_id(), "",
             "checkpointed; " + job.reason);
    return;
  }
  if (RecordTaskEnd(context, id, job) || ReleaseLostTask(context, id, job)) {
    return;
  }
  // The lease of the task must not expire before its checkpoint is saved or the
  // task has ended.
  Renew(context, id, job);
  if (end == operation_result::kRefused) {
    context.Report(
        log_severity::kWarning, ObjectOf(id),
        "the checkpoint was refused; the task continues until it finishes: " +
            context.operations.DetailOf(job.operation));
  }
}

bool job_planner::RecordTaskEnd(const planner_context& context,
                                const job_id& id,
                                const fleet_job& job) {
  const task_listing* task = FindTask(id, job);
  if (task == nullptr) {
    return false;
  }
  switch (task->state) {
    case task_state::kRunning:
      return false;
    case task_state::kFinished:
      SetState(context, id, job, job_status::kFinished, vm_id(), "",
               "finished on " + job.vm.value());
      return true;
    case task_state::kFailed:
      SetState(context, id, job, job_status::kWaiting, job.vm, "",
               "failed on " + job.vm.value() + ": " + task->detail);
      return true;
    case task_state::kLeaseExpired:
      SetState(context, id, job, job_status::kWaiting, job.vm, "",
               "the task lease expired on " + job.vm.value());
      return true;
    case task_state::kCheckpointed:
      SetState(context, id, job, job_status::kWaiting, vm_id(), "",
               "checkpointed on " + job.vm.value());
      return true;
  }
  return false;
}

bool job_planner::ReleaseLostTask(const planner_context& context,
                                  const job_id& id,
                                  const fleet_job& job) {
  const auto seen = observations_.find(id);
  if (!context.list_is_fresh() || seen == observations_.end()) {
    return false;
  }
  const bool is_vm_gone = IsWorkerGone(context, job);
  const duration list_settle_time = context.options.list_lag * 2;
  const bool is_task_gone =
      FindTask(id, job) == nullptr &&
      context.now - seen->second.since >= list_settle_time;
  if (!is_vm_gone && !is_task_gone) {
    return false;
  }
  // The list may be wrong, and the task may still be running on a worker that
  // is unreachable; a second start now would run the job twice. Without
  // renewals the worker ends the task when its lease expires.
  if (context.now >= seen->second.lease_end) {
    SetState(context, id, job, job_status::kWaiting, job.vm, "",
             (is_vm_gone ? "its worker was lost: " : "its task was lost on ") +
                 job.vm.value());
  }
  return is_vm_gone || is_task_gone;
}

bool job_planner::IsWorkerGone(const planner_context& context,
                               const fleet_job& job) {
  const vm_view* vm = context.view.FindVm(job.vm);
  return vm == nullptr || vm->listing == nullptr;
}

void job_planner::Renew(const planner_context& context,
                        const job_id& id,
                        const fleet_job& job) {
  const auto seen = observations_.find(id);
  if (seen == observations_.end()) {
    return;
  }
  const duration period = context.options.task_lease / kRenewalsPerLease;
  const duration shifted =
      context.now.time_since_epoch() + OffsetOf(id, period);
  const auto number = static_cast<generation>(shifted / period);
  context.operations.EnsureSent(
      MakeOperationId(kRenew, id.value() + ":" + std::to_string(job.version),
                      number),
      renew_task{id, job.vm, context.options.task_lease}, context.now,
      context.out);
  seen->second.lease_end =
      context.now + context.options.task_lease + context.options.lease_margin;
}

const task_listing* job_planner::FindTask(const job_id& id,
                                          const fleet_job& job) const {
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) {
    return nullptr;
  }
  const task_listing* task = found->second;
  // The list is delayed and may still show an earlier task of the job on this
  // worker.
  const bool is_this = job.state == job_status::kCheckpointing ||
                       task->started_by == job.operation;
  return is_this ? task : nullptr;
}

bool job_planner::MustVacateWorker(const planner_context& context,
                                   const fleet_job& job) {
  const vm_view* vm = context.view.FindVm(job.vm);
  if (vm == nullptr || vm->state == nullptr) {
    return false;
  }
  const bool is_leaving = vm->listing != nullptr &&
                          vm->listing->state == vm_listing_state::kLeaving;
  return is_leaving || vm->state->phase == vm_phase::kDraining ||
         vm->state->pool != job.spec.pool;
}

}  // namespace plantainhead::core
