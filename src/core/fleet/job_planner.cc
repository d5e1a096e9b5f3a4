#include "plantainhead/core/fleet/job_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "plantainhead/core/fleet/vm_lifecycle.h"

namespace plantainhead::core {
namespace {

constexpr const char* kStart = "start";
constexpr const char* kCheckpoint = "checkpoint";
constexpr const char* kStop = "stop";

constexpr const char* kNoCapacity =
    "no worker of the pool has enough free capacity";

/// Maximum number of placement records appended in one plan; the log handles
/// several hundred appends per second.
constexpr std::size_t kPlacementsPerPlan = 100;

}  // namespace

void job_planner::Observe(const planner_inputs& inputs,
                          const planner_options& options,
                          time_point now) {
  std::erase_if(observations_, [&](const auto& item) {
    const auto job = inputs.state.jobs.find(item.first);
    return job == inputs.state.jobs.end() || !HoldsTask(job->second);
  });
  for (const auto& [id, job] : inputs.state.jobs) {
    if (job.state == job_status::kParked) {
      // An operator who releases the job expects it to be tried on all workers
      // again.
      history_.ClearFailures(id);
    }
    if (!HoldsTask(job)) {
      continue;
    }
    const auto [found, is_new] = observations_.try_emplace(id);
    job_observation& seen = found->second;
    if (is_new || seen.version != job.version) {
      // The planner of another entry may have renewed the lease until now.
      seen.lease_end = now + options.task_lease + options.lease_margin;
      seen.version = job.version;
      seen.since = now;
    }
  }
  if (inputs.listed_at != observed_list_) {
    observed_list_ = inputs.listed_at;
    history_.Observe(inputs.tasks, inputs.state);
  }
}

void job_planner::IndexTasks(const planner_inputs& inputs) {
  tasks_.clear();
  for (const task_listing& task : inputs.tasks) {
    const auto job = inputs.state.jobs.find(task.job);
    if (job != inputs.state.jobs.end() && job->second.vm == task.vm) {
      tasks_[task.job] = &task;
    }
  }
}

void job_planner::Plan(const planner_context& context) {
  IndexTasks(context.inputs);
  AdvanceJobs(context);
  if (!context.list_is_fresh()) {
    return;
  }
  StopOrphanedTasks(context);
  Quarantine(context);
  PlaceWaiting(context);
}

void job_planner::StopOrphanedTasks(const planner_context& context) {
  for (const task_listing& task : context.inputs.tasks) {
    if (task.state != task_state::kRunning) {
      continue;
    }
    const auto found = context.inputs.state.jobs.find(task.job);
    // A job that is missing from this fold may be newer than the fold. If it is
    // not, its task ends with its lease.
    if (found == context.inputs.state.jobs.end()) {
      continue;
    }
    const fleet_job& job = found->second;
    if (HoldsTask(job) && job.vm == task.vm) {
      continue;
    }
    const bool has_ended = job.state == job_status::kCancelled ||
                           job.state == job_status::kFinished ||
                           job.state == job_status::kParked;
    const bool is_elsewhere = HoldsTask(job) && job.vm != task.vm;
    if (has_ended || is_elsewhere) {
      context.operations.EnsureSent(
          operation_id(std::string(kStop) + ":" + task.started_by.value()),
          stop_task{task.job, task.vm}, context.now, context.out);
    }
  }
}

void job_planner::Quarantine(const planner_context& context) {
  std::size_t quarantined = 0;
  for (const auto& [id, vm] : context.view.vms()) {
    quarantined += vm.state != nullptr && vm.state->quarantined ? 1 : 0;
  }
  const std::size_t most = std::max<std::size_t>(
      1,
      static_cast<std::size_t>(context.options.max_quarantine_share *
                               static_cast<double>(context.view.vms().size())));
  for (const auto& [id, vm] : context.view.vms()) {
    if (vm.state == nullptr || vm.is_pending) {
      continue;
    }
    if (vm.state->quarantined) {
      const bool is_over = vm.seen != nullptr && vm.seen->quarantined &&
                           context.now - vm.seen->quarantined_since >=
                               context.options.quarantine_duration;
      if (is_over) {
        history_.ClearFailures(id);
        context.gate.Append(
            ObjectOf(id), vm.state->version,
            set_quarantine{context.inputs.epoch, id, vm.state->version, false,
                           "its quarantine is over; it is tried again"},
            context.now, context.out);
      }
      continue;
    }
    if (!history_.FailsAllTasks(id, context.options.quarantine_failures)) {
      continue;
    }
    if (quarantined >= most) {
      context.Report(log_severity::kError, ObjectOf(id),
                     "the worker fails every task, but is not quarantined: the "
                     "limit of quarantined workers is reached");
      continue;
    }
    ++quarantined;
    context.gate.Append(
        ObjectOf(id), vm.state->version,
        set_quarantine{context.inputs.epoch, id, vm.state->version, true,
                       "the last tasks of " +
                           std::to_string(context.options.quarantine_failures) +
                           " different jobs failed on the worker"},
        context.now, context.out);
  }
}

void job_planner::PlaceWaiting(const planner_context& context) {
  // Without a new record of a job or VM and without a new list, the result
  // would be the same as that of the last pass.
  if (placed_version_ == context.view.work_version() &&
      placed_list_ == context.inputs.listed_at) {
    return;
  }
  placed_version_ = context.view.work_version();
  placed_list_ = context.inputs.listed_at;
  using order = std::tuple<bool, time_point, generation>;
  std::vector<std::pair<order, const fleet_job*>> waiting;
  for (const fleet_job* job : context.view.waiting()) {
    if (context.gate.IsPending(ObjectOf(job->spec.name), job->version,
                               context.now)) {
      continue;
    }
    const job_requirements& spec = job->spec;
    const time_point by = spec.finish_by == time_point()
                              ? time_point::max()
                              : spec.finish_by - spec.declared_run_time;
    waiting.emplace_back(order{!spec.urgent, by, job->version}, job);
  }
  if (waiting.empty()) {
    return;
  }
  std::sort(waiting.begin(), waiting.end());
  job_placement placement(context, history_);
  std::size_t placed = 0;
  for (const auto& [key, job] : waiting) {
    if (placed >= kPlacementsPerPlan) {
      break;
    }
    const job_id& id = job->spec.name;
    if (!job->spec.urgent && placement.IsKnownFull(job->spec)) {
      context.reasons.try_emplace(ObjectOf(id), kNoCapacity);
      continue;
    }
    placed += PlaceWaitingJob(context, placement, id, *job) ? 1 : 0;
  }
}

bool job_planner::PlaceWaitingJob(const planner_context& context,
                                  job_placement& placement,
                                  const job_id& id,
                                  const fleet_job& job) {
  const std::string park = ParkReason(context, placement, id, job);
  if (!park.empty()) {
    context.Report(log_severity::kWarning, ObjectOf(id), park);
    SetState(context, id, job, job_status::kParked, vm_id(), "", park);
    return true;
  }
  const std::string quota = placement.QuotaExceededReason(job.spec);
  if (!quota.empty()) {
    context.reasons[ObjectOf(id)] = quota;
    return false;
  }
  const std::optional<job_placement::choice> found = placement.Find(job.spec);
  if (found) {
    placement.Place(job.spec, found->vm->id);
    SetState(context, id, job, job_status::kPlaced, found->vm->id, kStart,
             "worker " + found->vm->id.value() + " has enough free capacity");
    return true;
  }
  if (job.spec.urgent && PlaceUrgent(context, placement, id, job)) {
    return true;
  }
  context.reasons[ObjectOf(id)] = kNoCapacity;
  return false;
}

bool job_planner::PlaceUrgent(const planner_context& context,
                              job_placement& placement,
                              const job_id& id,
                              const fleet_job& job) {
  const std::optional<job_placement::choice> found =
      placement.FindByPreemption(job.spec);
  if (!found) {
    return false;
  }
  for (const job_id& other : found->preempted) {
    const fleet_job& progress = context.inputs.state.jobs.at(other);
    if (context.gate.IsPending(ObjectOf(other), progress.version,
                               context.now)) {
      continue;
    }
    SetState(context, other, progress, job_status::kCheckpointing, progress.vm,
             kCheckpoint, "preempted by urgent job " + id.value());
  }
  // Reserves the capacity for the rest of this plan, so that no other job takes
  // it.
  placement.Place(job.spec, found->vm->id);
  if (!found->can_start_now) {
    context.reasons[ObjectOf(id)] =
        "waiting for preempted jobs to leave worker " + found->vm->id.value();
    return false;
  }
  SetState(context, id, job, job_status::kPlaced, found->vm->id, kStart,
           "urgent; shares worker " + found->vm->id.value() +
               " until the preempted jobs have left");
  return true;
}

std::string job_planner::ParkReason(const planner_context& context,
                                    const job_placement& placement,
                                    const job_id& id,
                                    const fleet_job& job) {
  std::string workers;
  std::size_t failed = 0;
  for (const vm_id& vm : history_.FailedOn(id)) {
    const vm_view* view = context.view.FindVm(vm);
    const bool is_to_blame =
        view != nullptr && view->state != nullptr && view->state->quarantined;
    if (!is_to_blame) {
      ++failed;
      workers += (workers.empty() ? "" : ", ") + vm.value();
    }
  }
  if (failed >= context.options.park_failures) {
    return "it failed on " + std::to_string(failed) + " workers: " + workers +
           "; " + job.reason;
  }
  // The fold counts every placement without a finished task, including
  // refusals. A refusal is no evidence against the job and is therefore allowed
  // for in the limit.
  if (job.failures >= context.options.park_starts + history_.RefusalCount(id)) {
    return "the job was started " + std::to_string(job.failures) +
           " times without finishing; " + job.reason;
  }
  std::string never = placement.UnplaceableReason(job.spec);
  if (never.empty()) {
    unplaceable_since_.erase(id);
    return "";
  }
  const time_point since =
      unplaceable_since_.try_emplace(id, context.now).first->second;
  if (context.now - since < context.options.unplaceable_delay) {
    return "";
  }
  unplaceable_since_.erase(id);
  return never;
}

void job_planner::SetState(const planner_context& context,
                           const job_id& id,
                           const fleet_job& job,
                           job_status state,
                           const vm_id& vm,
                           const std::string& operation_kind,
                           const std::string& reason) const {
  set_job_state record;
  record.epoch = context.inputs.epoch;
  record.job = id;
  record.expected = job.version;
  record.state = state;
  record.vm = vm;
  if (!operation_kind.empty()) {
    record.operation = MakeOperationId(operation_kind, id.value(), job.version);
  }
  if (state == job_status::kPlaced) {
    record.operation = WithSize(record.operation, history_.SizeOf(job.spec));
  }
  record.reason = reason;
  context.reasons[ObjectOf(id)] = reason;
  context.gate.Append(ObjectOf(id), job.version, std::move(record), context.now,
                      context.out);
}

}  // namespace plantainhead::core
