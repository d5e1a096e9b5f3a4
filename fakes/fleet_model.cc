#include "fleet_model.h"

#include <utility>
#include <variant>

#include "plantainhead/core/visit.h"
#include "platform/platform_json.h"

namespace plantainhead::fakes {
namespace {

using core::vm_listing_state;

// So many operations are known by their ids.
constexpr std::size_t kKnownOperations = 100'000;
constexpr char kNoSuchVm[] = "no such VM";

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
  tasks_.EndAllOn(name, "the VM is gone", now);
  feed_.Set(now, name, std::nullopt);
  return true;
}

void fleet_model::SetBehaviour(const core::vm_id& name,
                               const vm_behaviour& behaviour) {
  if (vm* item = FindVm(name)) {
    item->behaviour = behaviour;
  }
}

operation_step fleet_model::Run(const core::operation_id& id,
                                const core::platform_operation& operation,
                                core::time_point now) {
  Advance(now);
  const auto seen = known_.find(id);
  if (seen == known_.end()) {
    ++operations_[platform::TypeOf(operation)];
    operation_step step = Start(id, operation, now);
    Remember(id, {operation, step.answer});
    return step;
  }
  if (platform::WriteOperation(seen->second.what) !=
      platform::WriteOperation(operation)) {
    return {Refused("the id names another operation"), std::nullopt};
  }
  return Continue(seen->second);
}

operation_step fleet_model::Start(const core::operation_id& id,
                                  const core::platform_operation& operation,
                                  core::time_point now) {
  const auto visitor = core::overloaded{
      [&](const core::drain_vm& what) { return StartDrain(what); },
      [&](const core::reboot_vm& what) { return StartReboot(what, now); },
      [&](const core::move_vm& what) { return Move(what, now); },
      [&](const core::start_task& what) {
        return operation_step{StartTask(id, what, now), std::nullopt};
      },
      [&](const auto& what) {
        return operation_step{tasks_.Run(what, now), std::nullopt};
      },
  };
  return std::visit(visitor, operation);
}

// An operation that was refused or done stays so; one that runs is looked at.
operation_step fleet_model::Continue(const known_operation& known) {
  if (known.answer.progress != operation_progress::kRunning) {
    return {known.answer, std::nullopt};
  }
  if (const auto* drain = std::get_if<core::drain_vm>(&known.what)) {
    return StartDrain(*drain);
  }
  const auto* reboot = std::get_if<core::reboot_vm>(&known.what);
  const vm* item = reboot == nullptr ? nullptr : FindVm(reboot->vm);
  if (item != nullptr && item->live_again.has_value()) {
    return {known.answer, std::nullopt};
  }
  return {Done(), std::nullopt};
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

operation_step fleet_model::StartDrain(const core::drain_vm& what) {
  const vm* item = FindVm(what.vm);
  if (item == nullptr) {
    return {Refused(kNoSuchVm), std::nullopt};
  }
  const core::vm_listing& listing = item->listing;
  if (listing.port == 0) {
    return {Done("the VM serves no endpoint"), std::nullopt};
  }
  operation_step step;
  step.answer.progress = operation_progress::kRunning;
  step.call = {listing.host, listing.port, "/control/drain", true};
  return step;
}

operation_step fleet_model::StartReboot(const core::reboot_vm& what,
                                        core::time_point now) {
  vm* item = FindVm(what.vm);
  if (item == nullptr) {
    return {Refused(kNoSuchVm), std::nullopt};
  }
  ++reboots_[what.vm];
  tasks_.EndAllOn(what.vm, "the VM was rebooted", now);
  item->listing.state = vm_listing_state::kLeaving;
  item->live_again = now + item->behaviour.reboot_time.value_or(reboot_time_);
  Publish(*item, now);
  operation_step step;
  step.answer = {operation_progress::kRunning, "rebooting", std::nullopt};
  if (item->listing.port != 0) {
    step.call = {item->listing.host, item->listing.port, "/control/reboot",
                 false};
  }
  return step;
}

operation_step fleet_model::Move(const core::move_vm& what,
                                 core::time_point now) {
  vm* item = FindVm(what.vm);
  if (item == nullptr) {
    return {Refused(kNoSuchVm), std::nullopt};
  }
  item->listing.pool = what.pool;
  Publish(*item, now);
  operation_step step;
  step.answer = Done();
  // A VM that was drained takes work again in the pool that it is put into.
  if (item->listing.port != 0) {
    step.call = {item->listing.host, item->listing.port, "/control/undrain",
                 false};
  }
  return step;
}

operation_answer fleet_model::StartTask(const core::operation_id& id,
                                        const core::start_task& what,
                                        core::time_point now) {
  const vm* item = FindVm(what.vm);
  if (item == nullptr || item->listing.state != vm_listing_state::kLive) {
    return Refused("the VM is not live");
  }
  return tasks_.Start(id, what, item->listing, item->behaviour.fails_tasks,
                      now);
}

fleet_model::vm_view fleet_model::ReadVms(std::uint64_t since,
                                          core::time_point now) {
  Advance(now);
  return feed_.Read(since, now - list_lag_);
}

void fleet_model::Advance(core::time_point now) {
  for (auto& [name, item] : vms_) {
    if (item.live_again.has_value() && *item.live_again <= now) {
      item.listing.state = vm_listing_state::kLive;
      Publish(item, *item.live_again);
      item.live_again.reset();
    }
  }
}

void fleet_model::Publish(const vm& item, core::time_point at) {
  feed_.Set(at, item.listing.vm, item.listing);
}

fleet_model::vm* fleet_model::FindVm(const core::vm_id& name) {
  const auto found = vms_.find(name);
  return found == vms_.end() ? nullptr : &found->second;
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
