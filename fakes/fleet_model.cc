#include "fleet_model.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "platform/platform_json.h"

namespace plantainhead::fakes {
namespace {

using core::task_state;
using core::vm_listing_state;

// Operations are known by their id at least this long after they came.
constexpr std::size_t kKnownOperations = 100'000;
// A task that is bound to fail runs this long.
constexpr core::duration kTimeToFail = std::chrono::milliseconds(100);
constexpr int kWholePercent = 100;

operation_step Done(std::string detail = "") {
  return {{operation_progress::kDone, std::move(detail), {}}, {}};
}

operation_step Refused(std::string detail) {
  return {{operation_progress::kRefused, std::move(detail), {}}, {}};
}

}  // namespace

void fleet_model::Register(const core::vm_listing& listing,
                           core::time_point now) {
  Advance(now);
  vm& item = vms_[listing.vm];
  item.listing = listing;
  item.live_again.reset();
  Publish(item, now);
}

bool fleet_model::SetState(const core::vm_id& name,
                           vm_listing_state state,
                           core::time_point now) {
  Advance(now);
  vm* item = FindVm(name);
  if (item == nullptr) {
    return false;
  }
  item->listing.state = state;
  item->live_again.reset();
  Publish(*item, now);
  return true;
}

bool fleet_model::Remove(const core::vm_id& name, core::time_point now) {
  Advance(now);
  if (vms_.erase(name) == 0) {
    return false;
  }
  EndAllOn(name, "the VM is gone", now);
  vm_feed_.Set(now, name, std::nullopt);
  return true;
}

bool fleet_model::EndTask(const core::job_id& job,
                          task_state state,
                          const std::string& detail,
                          core::time_point now) {
  Advance(now);
  const auto found = tasks_.find(job);
  if (found == tasks_.end() ||
      found->second.listing.state != task_state::kRunning) {
    return false;
  }
  End(&found->second, state, detail, now);
  return true;
}

void fleet_model::SetBehaviour(const core::vm_id& name,
                               const vm_behaviour& behaviour) {
  if (vm* item = FindVm(name)) {
    item->behaviour = behaviour;
  }
}

void fleet_model::SetBehaviour(const core::job_id& job,
                               const job_behaviour& behaviour) {
  behaviours_[job] = behaviour;
}

operation_step fleet_model::Run(const core::operation_id& id,
                                const core::platform_operation& operation,
                                core::time_point now) {
  Advance(now);
  const auto seen = known_.find(id);
  if (seen != known_.end()) {
    if (platform::WriteOperation(seen->second.what) !=
        platform::WriteOperation(operation)) {
      return Refused("the id names another operation");
    }
    return Continue(seen->second);
  }
  ++operations_[platform::TypeOf(operation)];
  operation_step step = std::visit(
      [&](const auto& what) { return Start(id, what, now); }, operation);
  Remember(id, {operation, step.answer});
  return step;
}

// An operation that was refused or done stays so; one that runs is looked at.
operation_step fleet_model::Continue(const known_operation& known) {
  if (known.answer.progress != operation_progress::kRunning) {
    return {known.answer, {}};
  }
  if (const auto* drain = std::get_if<core::drain_vm>(&known.what)) {
    return Start({}, *drain, {});
  }
  const auto* reboot = std::get_if<core::reboot_vm>(&known.what);
  const vm* item = reboot == nullptr ? nullptr : FindVm(reboot->vm);
  if (item != nullptr && item->live_again.has_value()) {
    return {known.answer, {}};
  }
  return Done();
}

operation_answer fleet_model::FinishDrain(
    const core::operation_id& id,
    std::optional<std::uint32_t> in_flight) {
  operation_answer answer{operation_progress::kRunning,
                          "the runner could not be asked", in_flight};
  if (in_flight.has_value()) {
    const bool is_empty = *in_flight == 0;
    answer.progress =
        is_empty ? operation_progress::kDone : operation_progress::kRunning;
    answer.detail = "in_flight=" + std::to_string(*in_flight);
  }
  const auto known = known_.find(id);
  if (known != known_.end()) {
    known->second.answer = answer;
  }
  return answer;
}

operation_step fleet_model::Start(const core::operation_id&,
                                  const core::drain_vm& what,
                                  core::time_point) {
  const vm* item = FindVm(what.vm);
  if (item == nullptr) {
    return Refused("no such VM");
  }
  const core::vm_listing& listing = item->listing;
  if (listing.port == 0) {
    return Done("the VM serves no endpoint");
  }
  operation_step step;
  step.answer.progress = operation_progress::kRunning;
  step.call = {listing.host, listing.port, "/control/drain", true};
  return step;
}

operation_step fleet_model::Start(const core::operation_id&,
                                  const core::reboot_vm& what,
                                  core::time_point now) {
  vm* item = FindVm(what.vm);
  if (item == nullptr) {
    return Refused("no such VM");
  }
  ++reboots_[what.vm];
  EndAllOn(what.vm, "the VM was rebooted", now);
  item->listing.state = vm_listing_state::kLeaving;
  item->live_again = now + item->behaviour.reboot_time.value_or(reboot_time_);
  Publish(*item, now);
  operation_step step;
  step.answer = {operation_progress::kRunning, "rebooting", {}};
  if (item->listing.port != 0) {
    step.call = {item->listing.host, item->listing.port, "/control/reboot",
                 false};
  }
  return step;
}

operation_step fleet_model::Start(const core::operation_id&,
                                  const core::move_vm& what,
                                  core::time_point now) {
  vm* item = FindVm(what.vm);
  if (item == nullptr) {
    return Refused("no such VM");
  }
  item->listing.pool = what.pool;
  Publish(*item, now);
  return Done();
}

operation_step fleet_model::Start(const core::operation_id& id,
                                  const core::start_task& what,
                                  core::time_point now) {
  const vm* item = FindVm(what.vm);
  if (item == nullptr || item->listing.state != vm_listing_state::kLive) {
    return Refused("the VM is not live");
  }
  const auto running = tasks_.find(what.job);
  if (running != tasks_.end() &&
      running->second.listing.state == task_state::kRunning) {
    return Refused("the job has a running task");
  }
  if (!HasRoom(what)) {
    return Refused("the VM has no room for the task");
  }
  task& started = tasks_[what.job];
  const bool was_checkpointed =
      started.listing.state == task_state::kCheckpointed;
  const core::duration done =
      was_checkpointed ? started.done : core::duration::zero();
  started = task();
  started.asked = what;
  started.done = done;
  started.since = now;
  started.lease_until = now + what.lease;
  started.listing.job = what.job;
  started.listing.vm = what.vm;
  started.listing.started_by = id;
  SetUsage(&started);
  Publish(started, now);
  return Done();
}

operation_step fleet_model::Start(const core::operation_id&,
                                  const core::renew_task& what,
                                  core::time_point now) {
  task* item = FindTask(what.job, what.vm);
  if (item == nullptr || item->listing.state != task_state::kRunning) {
    return Refused("no such task runs");
  }
  item->lease_until = now + what.lease;
  return Done();
}

operation_step fleet_model::Start(const core::operation_id&,
                                  const core::checkpoint_task& what,
                                  core::time_point now) {
  task* item = FindTask(what.job, what.vm);
  if (item == nullptr || (item->listing.state != task_state::kRunning &&
                          item->listing.state != task_state::kCheckpointed)) {
    return Refused("no such task runs");
  }
  if (item->listing.state == task_state::kRunning) {
    item->done = WorkDone(*item, now);
    End(item, task_state::kCheckpointed, "", now);
  }
  return Done();
}

operation_step fleet_model::Start(const core::operation_id&,
                                  const core::throttle_task& what,
                                  core::time_point now) {
  task* item = FindTask(what.job, what.vm);
  if (item == nullptr || item->listing.state != task_state::kRunning) {
    return Refused("no such task runs");
  }
  if (what.percent == 0 || what.percent > kWholePercent) {
    return Refused("a percentage from 1 to 100 is needed");
  }
  item->done = WorkDone(*item, now);
  item->since = now;
  item->percent = what.percent;
  SetUsage(item);
  Publish(*item, now);
  return Done();
}

operation_step fleet_model::Start(const core::operation_id&,
                                  const core::stop_task& what,
                                  core::time_point now) {
  if (FindTask(what.job, what.vm) != nullptr) {
    tasks_.erase(what.job);
    task_feed_.Set(now, what.job, std::nullopt);
  }
  return Done();
}

fleet_model::vm_view fleet_model::ReadVms(std::uint64_t since,
                                          core::time_point now) {
  Advance(now);
  return vm_feed_.Read(since, now - list_lag_);
}

fleet_model::task_view fleet_model::ReadTasks(std::uint64_t since,
                                              core::time_point now) {
  Advance(now);
  return task_feed_.Read(since, now - list_lag_);
}

void fleet_model::Advance(core::time_point now) {
  for (auto& [name, item] : vms_) {
    if (item.live_again.has_value() && *item.live_again <= now) {
      item.listing.state = vm_listing_state::kLive;
      Publish(item, *item.live_again);
      item.live_again.reset();
    }
  }
  for (auto& [job, item] : tasks_) {
    if (item.listing.state != task_state::kRunning) {
      continue;
    }
    const task_end end = NextEnd(item);
    if (end.at <= now) {
      End(&item, end.state, end.detail, end.at);
    }
  }
}

fleet_model::task_end fleet_model::NextEnd(const task& item) const {
  task_end next{item.lease_until, task_state::kLapsed, "the lease lapsed"};
  const job_behaviour behaviour = BehaviourOf(item.listing.job);
  const auto vm = vms_.find(item.listing.vm);
  const bool vm_fails = vm != vms_.end() && vm->second.behaviour.fails_tasks;
  if (vm_fails || behaviour.fails) {
    const core::time_point at = item.since + kTimeToFail;
    if (at < next.at) {
      next = {at, task_state::kFailed,
              vm_fails ? "the worker failed it" : "the job failed"};
    }
  } else if (behaviour.run_time.has_value()) {
    const core::duration left =
        std::max(*behaviour.run_time - item.done, core::duration::zero());
    const core::time_point at =
        item.since + left * kWholePercent / item.percent;
    if (at < next.at) {
      next = {at, task_state::kFinished, ""};
    }
  }
  return next;
}

void fleet_model::End(task* item,
                      task_state state,
                      const std::string& detail,
                      core::time_point at) {
  item->listing.state = state;
  item->listing.detail = detail;
  item->listing.processors_used = 0;
  item->listing.memory_used_mb = 0;
  Publish(*item, at);
}

void fleet_model::EndAllOn(const core::vm_id& name,
                           const std::string& detail,
                           core::time_point at) {
  for (auto& [job, item] : tasks_) {
    if (item.listing.vm == name && item.listing.state == task_state::kRunning) {
      End(&item, task_state::kFailed, detail, at);
    }
  }
}

void fleet_model::Publish(const vm& item, core::time_point at) {
  vm_feed_.Set(at, item.listing.vm, item.listing);
}

void fleet_model::Publish(const task& item, core::time_point at) {
  task_feed_.Set(at, item.listing.job, item.listing);
}

void fleet_model::SetUsage(task* item) const {
  const job_behaviour behaviour = BehaviourOf(item->listing.job);
  item->listing.processors_used =
      behaviour.processors_used * item->percent / kWholePercent;
  item->listing.memory_used_mb = behaviour.memory_used_mb;
}

core::duration fleet_model::WorkDone(const task& item, core::time_point now) {
  return item.done + (now - item.since) * item.percent / kWholePercent;
}

bool fleet_model::HasRoom(const core::start_task& asked) const {
  const core::vm_listing& all = vms_.at(asked.vm).listing;
  std::uint64_t processors = asked.processors;
  std::uint64_t memory_mb = asked.memory_mb;
  std::uint64_t accelerators = asked.accelerators;
  for (const auto& [job, item] : tasks_) {
    if (item.listing.vm == asked.vm &&
        item.listing.state == task_state::kRunning) {
      processors += item.asked.processors;
      memory_mb += item.asked.memory_mb;
      accelerators += item.asked.accelerators;
    }
  }
  return processors <= all.processors && memory_mb <= all.memory_mb &&
         accelerators <= all.accelerators;
}

fleet_model::vm* fleet_model::FindVm(const core::vm_id& name) {
  const auto found = vms_.find(name);
  return found == vms_.end() ? nullptr : &found->second;
}

fleet_model::task* fleet_model::FindTask(const core::job_id& job,
                                         const core::vm_id& name) {
  const auto found = tasks_.find(job);
  const bool is_there =
      found != tasks_.end() && found->second.listing.vm == name;
  return is_there ? &found->second : nullptr;
}

job_behaviour fleet_model::BehaviourOf(const core::job_id& job) const {
  const auto found = behaviours_.find(job);
  return found == behaviours_.end() ? job_behaviour() : found->second;
}

void fleet_model::Remember(const core::operation_id& id,
                           known_operation known) {
  known_[id] = std::move(known);
  known_order_.push_back(id);
  if (known_order_.size() > kKnownOperations) {
    known_.erase(known_order_.front());
    known_order_.pop_front();
  }
}

}  // namespace plantainhead::fakes
