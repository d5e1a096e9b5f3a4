#include "plantainhead/core/entry_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "plantainhead/core/visit.h"

namespace plantainhead::core {

namespace {

/// How long an entry that serves may lack records that others have applied.
constexpr duration kLagPatience = std::chrono::seconds(1);
/// Time in which all have had a heartbeat that says that this entry stops.
constexpr duration kHandOverAfter = std::chrono::milliseconds(500);
/// A read of the log that arrives sooner than this after the process stood
/// still may have been made before.
constexpr duration kFreshReadAfter = std::chrono::milliseconds(200);
/// Ticks come every `kTickInterval`; without an event for this long the process
/// stood still.
constexpr duration kStoodStill = std::chrono::milliseconds(500);

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
  not_ready_reason_ = WhyNotServing();
  out.Do(set_ready{false, not_ready_reason_});
  return std::move(out.actions);
}

action_list entry_core::Handle(const event& item, time_point now) {
  effects out;
  if (now - handled_at_ > kStoodStill) {
    lags_too_far_ = true;
    serving_ = false;
    woke_at_ = now;
  }
  handled_at_ = now;
  std::visit([&](const auto& content) { On(content, now, out); }, item);
  Settle(now, out);
  return std::move(out.actions);
}

std::vector<service_load> entry_core::Load(time_point now) const {
  return requests_.Load(Context(), now);
}

// --- events
// --------------------------------------------------------------------

void entry_core::On(const tick&, time_point now, effects& out) {
  control_.OnTick(now, out);
  membership_.OnTick(fleet(), HeartbeatContents(now), now, out);
  // An entry that is to end plans nothing; its leave record frees the lease.
  if (!stopping()) {
    lease_.OnTick(now, fleet(), control_.log_readable(), out);
  }
  claims_.OnTick(now, out, decisions_);
  requests_.OnTick(Context(), now, out);
  fleet_meter_.Observe(options_.self.who, meter_.Classes(), meter_.Times(),
                       now);
  if (now - counted_at_ >= options_.count_interval) {
    RecordCounts(now, out);
  }
  if (!stopping() && now - planned_at_ >= options_.planner.plan_interval) {
    planned_at_ = now;
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
  // A claim bars its key for the claim window. A request that could still be
  // dispatched when a retry of its key is no longer barred would run twice;
  // with at most half of the window to its deadline it has ended by then.
  request_arrived bounded = item;
  bounded.request.deadline =
      std::min(item.request.deadline, now + claims_.LongestPatience());
  requests_.OnArrival(bounded, Context(), now, out);
}

void entry_core::On(const caller_gone& item, time_point now, effects& out) {
  requests_.OnCallerGone(item, Context(), now, out);
}

void entry_core::On(const frame_received& item, time_point now, effects& out) {
  // A frame of an incarnation that the fold has dropped may be a request that
  // its caller was already told about: it must start nothing here.
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
  if (unconnected_.erase(from) > 0) {
    TellClaimsTheirHomes(now, out);
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
      unconnected_.insert(item.peer).second) {
    TellClaimsTheirHomes(now, out);
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
  if (woke_at_ && item.stream == kControlStream &&
      now - *woke_at_ >= kFreshReadAfter) {
    woke_at_.reset();
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

// The last list stays in use: an endpoint that has gone is found out by its
// calls, and one that has come can wait.
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
  stop_asked_at_ = now;
  out.Note(note_level::kInfo, "stopping");
}

// --- what one module's change means for the others
// -----------------------------

routing_context entry_core::Context() const {
  return {fleet(), endpoints_, suspects_, options_.self.who, serving_};
}

heartbeat_contents entry_core::HeartbeatContents(time_point now) {
  heartbeat_contents contents;
  contents.offset = fleet().offset;
  contents.digest = control_.digest();
  contents.ready = ready_;
  contents.stopping = stopping();
  // A member is home of keys and owner of endpoints at once. Without the VM
  // list it would answer that there is no endpoint, so it joins after it.
  contents.caught_up =
      control_.caught_up() && listed_at_ != time_point() && !stopping();
  contents.log_out = !control_.log_readable();
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
    // A member that was never heard may have anything in flight.
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

void entry_core::Settle(time_point now, effects& out) {
  FollowFold(now, out);
  FollowSuspicion(now, out);
  ExchangeClaims(now, out);
  FollowReadiness(now, out);
  // Before the stop, whose last count must hold the answers of this event.
  Meter(out.actions, now);
  FollowStop(now, out);
  control_.Submit(now, std::exchange(out.records, {}), out);
}

void entry_core::FollowFold(time_point now, effects& out) {
  const bool folded = followed_offset_ != fleet().offset;
  if (!folded && !list_changed_) {
    return;
  }
  followed_offset_ = fleet().offset;
  list_changed_ = false;
  lease_.Observe(now, fleet());
  endpoints_.Rebuild(fleet(), vms_, options_.self.who, stopping_members_);
  FollowMembers(now, out);
  requests_.OnEndpointsChanged(Context(), now, out);
}

void entry_core::FollowMembers(time_point now, effects& out) {
  std::set<incarnation> members;
  for (const auto& [who, member] : fleet().members) {
    members.insert(who);
  }
  for (const incarnation who : known_members_) {
    if (!members.contains(who)) {
      stopping_members_.erase(who);
      suspects_.erase(who);
      unconnected_.erase(who);
      requests_.OnPeerDisconnected(who, Context(), now, out);
    }
  }
  known_members_ = std::move(members);
  followed_view_ = fleet().view;
  fleet_meter_.Retain(fleet().members);
  TellClaimsTheirHomes(now, out);
}

// A home that isn't heard, or whose connection broke, is passed over like one
// that is stopping: its keys would be refused until the fleet has expelled it.
// Should it live, both write claims, and the log's order decides.
void entry_core::TellClaimsTheirHomes(time_point now, effects& out) {
  std::set<incarnation> excluded = stopping_members_;
  excluded.insert(suspects_.begin(), suspects_.end());
  excluded.insert(unconnected_.begin(), unconnected_.end());
  // A stopping entry goes on as home until its notice is over: the others need
  // some heartbeats to hear of it, and their callers would be refused
  // meanwhile.
  if (!refusing_) {
    excluded.erase(options_.self.who);
  }
  claims_.OnViewChanged(fleet(), excluded, now, out);
}

void entry_core::FollowSuspicion(time_point now, effects& out) {
  const std::set<incarnation> before = suspects_;
  for (const incarnation who : known_members_) {
    const bool suspected = membership_.Suspects(who);
    if (suspected && suspects_.insert(who).second) {
      requests_.OnPeerSuspected(who, Context(), now, out);
    }
    if (!suspected) {
      suspects_.erase(who);
    }
  }
  if (suspects_ != before) {
    TellClaimsTheirHomes(now, out);
  }
}

const work_class* entry_core::ClassOf(const request_envelope& request) const {
  const service_routes* routes = endpoints_.Find(request.service);
  if (routes == nullptr) {
    return nullptr;
  }
  if (request.work.empty() && routes->classes.size() == 1) {
    return &routes->classes.front();
  }
  return routes->FindClass(request.work);
}

bool entry_core::IsInMaintenance(const service_name& service) const {
  const service_spec* spec = fleet().targets.FindService(service);
  if (spec == nullptr) {
    return false;
  }
  return std::any_of(fleet().vms.begin(), fleet().vms.end(),
                     [&](const auto& item) {
                       return item.second.phase != vm_phase::kServing &&
                              std::find(spec->pools.begin(), spec->pools.end(),
                                        item.second.pool) != spec->pools.end();
                     });
}

void entry_core::Meter(const action_list& actions, time_point now) {
  for (const action& item : actions) {
    if (const auto* call = std::get_if<call_endpoint>(&item)) {
      meter_.OnCall(*call, now);
    }
    if (const auto* answer = std::get_if<answer_caller>(&item)) {
      const bool is_done = answer->answer.result == outcome::kDone;
      const service_name* service = meter_.ServiceOf(answer->sequence);
      // Only looked up for the few that may have missed their target.
      const bool in_maintenance =
          service != nullptr && !is_done && IsInMaintenance(*service);
      meter_.OnAnswer(*answer, in_maintenance, now);
    }
  }
}

void entry_core::RecordCounts(time_point now, effects& out) {
  counted_at_ = now;
  std::map<class_name, request_counts> counts = meter_.TakeUnrecorded();
  if (!counts.empty()) {
    out.Append(count_requests{options_.self.who, now, std::move(counts)});
  }
}

void entry_core::ExchangeClaims(time_point now, effects& out) {
  // A decision may make the requests ask again (another key, a release), so
  // this goes on until both are silent.
  while (true) {
    for (const claim_question& question : requests_.TakeClaimQuestions()) {
      switch (question.need) {
        case claim_need::kAsk:
          claims_.Ask(question.key, question.request, question.deadline, now,
                      out, decisions_);
          break;
        case claim_need::kRelease:
          claims_.Release(question.key, question.request, now, out);
          break;
        case claim_need::kFinished:
          claims_.Finished(question.key, question.request, *question.answer,
                           now);
          break;
      }
    }
    if (decisions_.empty()) {
      return;
    }
    for (const claim_decision& decision : std::exchange(decisions_, {})) {
      requests_.OnClaimDecision(decision, Context(), now, out);
    }
  }
}

// Peers often tell of a record some milliseconds before it is read here; to
// refuse requests then would cost callers something at each record. The drain
// of a VM waits for each member's own word, so what is missing here meanwhile
// harms nobody. An entry that has just started or stood still may lack much,
// also its own expulsion, and has no such time.
void entry_core::FollowLag(time_point now) {
  // What an entry knew before it stood still says nothing of what it lacks: a
  // VM may drain, or reboot, since. Until it has read the log anew it would
  // send requests there.
  if (woke_at_) {
    return;
  }
  if (control_.caught_up()) {
    behind_since_.reset();
    lags_too_far_ = false;
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  lags_too_far_ = lags_too_far_ || now - *behind_since_ >= kLagPatience;
}

// A log that lost its end looks whole to an entry that starts on it. Members
// that know more don't read its join there, so it hears none of them; an entry
// that has heard more than half of the others since its start shares their log.
// Members that are dead don't hold it up for long: the others expel them.
void entry_core::FollowWelcome() {
  if (welcomed_) {
    return;
  }
  std::size_t others = 0;
  std::size_t heard = 0;
  for (const auto& [who, member] : fleet().members) {
    if (who == options_.self.who) {
      continue;
    }
    ++others;
    heard += membership_.StatusOf(who) != nullptr ? 1 : 0;
  }
  const bool is_member = fleet().members.contains(options_.self.who);
  welcomed_ = is_member && (2 * heard > others || others == 0);
}

std::string entry_core::WhyNotServing() const {
  if (membership_.expelled()) {
    return "expelled from the view";
  }
  if (lags_too_far_) {
    return "not caught up with the log";
  }
  if (!fleet().members.contains(options_.self.who)) {
    return "not yet a member of the view";
  }
  if (!welcomed_) {
    return "too few other members have been heard";
  }
  if (listed_at_ == time_point()) {
    return "the platform's VM list has not been read";
  }
  return "";
}

void entry_core::FollowReadiness(time_point now, effects& out) {
  FollowLag(now);
  FollowWelcome();
  std::string reason = WhyNotServing();
  // The balancer takes some time to see that this entry is to end; what it
  // sends until then is served.
  serving_ = reason.empty();
  if (stopping()) {
    reason = "stopping";
  }
  const bool ready = reason.empty();
  if (ready == ready_ && reason == not_ready_reason_) {
    return;
  }
  ready_ = ready;
  not_ready_reason_ = std::move(reason);
  out.Do(set_ready{ready_, not_ready_reason_});
}

// The others must hear that this entry stops before it sends them what was its
// own: a key's next home refuses the key until it takes itself for the home.
void entry_core::HandOver(time_point now) {
  const bool is_due = stopping() && now >= *stop_asked_at_ + kHandOverAfter;
  if (is_due && stopping_members_.insert(options_.self.who).second) {
    list_changed_ = true;
  }
}

void entry_core::FollowStop(time_point now, effects& out) {
  if (exited_) {
    return;
  }
  HandOver(now);
  // An entry that the others expelled while it was frozen owns nothing any
  // more; it ends what it has and starts anew, since its incarnation is void.
  const bool expelled = membership_.expelled();
  const bool notice_over =
      stopping() && now >= *stop_asked_at_ + options_.stop_notice;
  if (!refusing_ && (expelled || notice_over)) {
    refusing_ = true;
    requests_.OnStop();
    TellClaimsTheirHomes(now, out);
  }
  if (!refusing_ || !requests_.Idle()) {
    return;
  }
  if (!left_at_) {
    left_at_ = now;
    RecordCounts(now, out);
    membership_.Leave(fleet(), out);
  }
  const bool left = !fleet().members.contains(options_.self.who);
  if (left || now >= *left_at_ + options_.leave_patience) {
    exited_ = true;
    out.Do(exit_process{expelled && !stopping()});
  }
}

}  // namespace plantainhead::core
