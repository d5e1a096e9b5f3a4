#include "plantainhead/core/entry/entry_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "plantainhead/core/visit.h"

namespace plantainhead::core {

namespace {

/// A log read that arrives within this time after the process resumed may have
/// been performed before the pause.
constexpr duration kMinReadDelayAfterPause = std::chrono::milliseconds(200);
/// Ticks arrive every `kTickInterval`; a gap between events longer than this
/// means that the process was paused.
constexpr duration kPauseThreshold = std::chrono::milliseconds(500);

control_log_settings ControlSettings(const entry_core_options& options) {
  control_log_settings settings = options.control;
  settings.name = options.self.name;
  settings.queue.self = options.self.who;
  return settings;
}

planner_lease_settings LeaseSettings(const entry_core_options& options) {
  planner_lease_settings settings = options.lease;
  settings.self = options.self.who;
  return settings;
}

}  // namespace

entry_core::entry_core(entry_core_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      control_(ControlSettings(options_), &append_ids_, &random_),
      lease_(LeaseSettings(options_), &random_),
      membership_(options_.self, options_.membership),
      requests_(options_.self.who, options_.seed),
      claims_(options_.claims, options_.self.who, &append_ids_),
      planner_(options_.planner) {}

action_list entry_core::Start(time_point now) {
  effects out;
  counted_at_ = now;
  handled_at_ = now;
  control_.Start(now, out);
  not_ready_reason_ = NotServingReason();
  out.Do(set_ready{false, not_ready_reason_});
  return std::move(out.actions);
}

action_list entry_core::Handle(const event& item, time_point now) {
  effects out;
  if (now - handled_at_ > kPauseThreshold) {
    lag_exceeded_ = true;
    serving_ = false;
    resumed_at_ = now;
  }
  handled_at_ = now;
  std::visit([&](const auto& content) { On(content, now, out); }, item);
  PropagateChanges(now, out);
  return std::move(out.actions);
}

std::vector<service_load> entry_core::Load(time_point now) const {
  return requests_.Load(Context(), now);
}

// --- Event handlers

void entry_core::On(const tick&, time_point now, effects& out) {
  control_.OnTick(now, out);
  membership_.OnTick(fleet(), HeartbeatContents(now), now, out);
  // A stopping entry does not plan; its leave record releases the lease.
  if (!stopping()) {
    lease_.OnTick(now, fleet(), control_.log_readable(), out);
  }
  claims_.OnTick(now, out, decisions_);
  requests_.OnTick(Context(), now, out);
  if (now - counted_at_ >= options_.count_interval) {
    AppendRequestCounts(now, out);
  }
  if (!stopping() && now - planned_at_ >= options_.planner.plan_interval) {
    planned_at_ = now;
    // Only the planner reads these counts, so they are not copied at each tick.
    fleet_meter_.Observe(options_.self.who, meter_.Classes(), meter_.Times(),
                         now);
    planner_.OnTick(PlannerInputs(now), now, out);
  }
}

void entry_core::On(const request_arrived& item, time_point now, effects& out) {
  if (const work_class* work = ClassOf(item.request)) {
    meter_.OnArrival(item.sequence, *work, now);
  }
  if (!item.request.key) {
    requests_.OnArrival(item, Context(), now, out);
    return;
  }
  // A claim blocks its key for the claim window. If the request could still be
  // dispatched after the window, when a retry with the same key is allowed
  // again, it would run twice. Limiting its deadline to at most half of the
  // window guarantees that it has ended by then.
  request_arrived bounded = item;
  bounded.request.deadline =
      std::min(item.request.deadline, now + claims_.MaxRequestTimeout());
  requests_.OnArrival(bounded, Context(), now, out);
}

void entry_core::On(const caller_disconnected& item,
                    time_point now,
                    effects& out) {
  requests_.OnCallerGone(item, Context(), now, out);
}

void entry_core::On(const frame_received& item, time_point now, effects& out) {
  // A frame of an incarnation that was removed from the view may carry a
  // request whose caller has already been answered, so it must not start any
  // work here.
  const bool is_member = fleet().members.contains(item.frame.from);
  membership_.OnFrame(item.frame, now);
  if (is_member || std::holds_alternative<heartbeat>(item.frame.message)) {
    OnPeerMessage(item.frame, now, out);
  }
}

void entry_core::OnPeerMessage(const peer_frame& frame,
                               time_point now,
                               effects& out) {
  const incarnation from = frame.from;
  if (disconnected_members_.erase(from) > 0) {
    UpdateClaimsView(now, out);
  }
  const overloaded take{
      [&](const forward_request& message) {
        requests_.OnForward(from, message, Context(), now, out);
      },
      [&](const forward_reply& message) {
        requests_.OnReply(from, message, Context(), now, out);
      },
      [&](const cancel_forward& message) {
        requests_.OnCancel(from, message, Context(), now, out);
      },
      [&](const heartbeat& message) {
        control_.OnPeerOffset(message.offset, message.digest, from, out);
        if (message.complete) {
          requests_.OnPeerLoad(from, message.load);
        }
        fleet_meter_.Observe(from, message.classes, message.times, now);
        const bool was_stopping = stopping_members_.contains(from);
        if (message.stopping && !was_stopping) {
          stopping_members_.insert(from);
          list_changed_ = true;
        }
      },
  };
  std::visit(take, frame.message);
}

void entry_core::On(const peer_disconnected& item,
                    time_point now,
                    effects& out) {
  if (known_members_.contains(item.peer) &&
      disconnected_members_.insert(item.peer).second) {
    UpdateClaimsView(now, out);
  }
  requests_.OnPeerDisconnected(item.peer, Context(), now, out);
}

void entry_core::On(const endpoint_replied& item,
                    time_point now,
                    effects& out) {
  meter_.OnCallEnded(item.call, now);
  requests_.OnEndpointReplied(item, Context(), now, out);
}

void entry_core::On(const endpoint_failed& item, time_point now, effects& out) {
  meter_.OnCallEnded(item.call, now);
  requests_.OnEndpointFailed(item, Context(), now, out);
}

void entry_core::On(const log_read& item, time_point now, effects& out) {
  if (claims_.OnLogRead(item, now, out, decisions_)) {
    return;
  }
  control_.OnLogRead(now, item, out);
  if (resumed_at_ && item.stream == kControlStream &&
      now - *resumed_at_ >= kMinReadDelayAfterPause) {
    resumed_at_.reset();
  }
}

void entry_core::On(const log_unavailable& item, time_point now, effects& out) {
  if (!claims_.OnLogUnavailable(item, now, out, decisions_)) {
    control_.OnLogUnavailable(now, item, out);
  }
}

void entry_core::On(const append_finished& item, time_point now, effects& out) {
  if (!claims_.OnAppendFinished(item, now, out)) {
    control_.OnAppendFinished(now, item, out);
  }
}

void entry_core::On(const vm_list_read& item, time_point now, effects&) {
  list_changed_ = list_changed_ || vms_ != item.vms;
  vms_ = item.vms;
  tasks_ = item.tasks;
  listed_at_ = now;
}

// The last list stays in use: calls detect an endpoint that is gone, and a new
// endpoint is not urgent.
void entry_core::On(const vm_list_unavailable&, time_point, effects&) {}

void entry_core::On(const operation_finished& item,
                    time_point now,
                    effects& out) {
  planner_.OnOperationFinished(item, now, out);
}

void entry_core::On(const operator_command& item,
                    time_point now,
                    effects& out) {
  control_.OnCommand(now, item, out);
}

void entry_core::On(const stop_requested&, time_point now, effects& out) {
  if (stopping()) {
    return;
  }
  stop_requested_at_ = now;
  out.Log(log_severity::kInfo, "stopping");
}

// --- Inputs of the modules

routing_context entry_core::Context() const {
  return {fleet(), endpoints_, suspects_, options_.self.who, serving_};
}

heartbeat_contents entry_core::HeartbeatContents(time_point now) {
  heartbeat_contents contents;
  contents.offset = fleet().offset;
  contents.digest = control_.digest();
  contents.ready = ready_;
  contents.stopping = stopping();
  // A member is responsible for keys and owns endpoints from the moment it
  // joins. Without the VM list it would answer that there is no endpoint, so it
  // joins only after reading the list.
  contents.caught_up =
      control_.caught_up() && listed_at_ != time_point() && !stopping();
  contents.log_unreachable = !control_.log_readable();
  contents.load = Load(now);
  contents.classes = meter_.Classes();
  contents.times = meter_.Times();
  for (const vm_in_flight& item : requests_.InFlight()) {
    const auto vm = fleet().vms.find(item.vm);
    if (vm != fleet().vms.end() && vm->second.phase != vm_phase::kServing) {
      contents.in_flight.push_back(item);
    }
  }
  return contents;
}

planner_inputs entry_core::PlannerInputs(time_point now) const {
  planner_inputs inputs(fleet(), vms_, tasks_);
  inputs.holds_lease = lease_.Holds(now);
  inputs.epoch = lease_.epoch();
  inputs.listed_at = listed_at_;
  inputs.demand = fleet_meter_.Demand(fleet().targets, now);
  inputs.budgets = fleet_meter_.Budgets(fleet(), now);
  inputs.reported_offset = fleet().offset;
  for (const vm_in_flight& item : requests_.InFlight()) {
    inputs.in_flight[item.vm] += item.requests;
  }
  for (const auto& [who, member] : fleet().members) {
    if (who == options_.self.who) {
      continue;
    }
    const peer_status* status = membership_.StatusOf(who);
    // A member from which nothing was received may have any number of requests
    // in flight.
    const log_offset offset = status == nullptr ? 0 : status->last.offset;
    inputs.reported_offset = std::min(inputs.reported_offset, offset);
    if (status == nullptr) {
      continue;
    }
    for (const vm_in_flight& item : status->last.in_flight) {
      inputs.in_flight[item.vm] += item.requests;
    }
  }
  return inputs;
}

}  // namespace plantainhead::core
