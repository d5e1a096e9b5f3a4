#include "plantainhead/core/requests/request_core.h"

#include <algorithm>
#include <utility>

#include "core/requests/answers.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {
namespace {

/// An entry that waits for another one must receive its answer before its own
/// caller's deadline. So a request from another entry expires this much earlier
/// while it has not been dispatched: otherwise the first entry could only
/// answer unknown although the owner knows that the request was not run.
constexpr duration kHopMargin = std::chrono::milliseconds(60);
/// The margin is at most the remaining time divided by this number.
constexpr int kHopMarginDivisor = 8;
/// Ticks come every `kTickInterval`; if none comes for this long, the process
/// was paused.
constexpr duration kStallThreshold = std::chrono::milliseconds(500);
/// Time allowed for reading the messages that accumulated during a pause.
constexpr duration kHoldAfterStall = std::chrono::milliseconds(100);
/// Above this number of incarnations, those that are not members are removed.
constexpr std::size_t kMaxSeenPeers = 1024;

std::string KnownClasses(const service_routes& routes) {
  std::string names;
  for (const work_class& work : routes.classes) {
    names += names.empty() ? "" : ", ";
    names += work.name.value();
  }
  return names.empty() ? "none" : names;
}

}  // namespace

request_core::request_core(incarnation self,
                           std::uint64_t seed,
                           duration claim_window)
    : self_(self), random_(seed), claim_window_(claim_window) {}

request_core::request& request_core::AddRequest(origin from,
                                                request_envelope envelope,
                                                time_point now) {
  last_number_ += 1;
  request& item = requests_[last_number_];
  item.number = last_number_;
  item.from = from;
  item.envelope = std::move(envelope);
  item.arrival = now;
  std::visit(overloaded{[&](const caller_origin& caller) {
                          by_caller_[caller.sequence] = item.number;
                        },
                        [&](const peer_origin& peer) {
                          by_peer_[peer.id] = item.number;
                        }},
             item.from);
  item.expiry = ExpiryOf(item);
  expiries_.emplace(item.expiry, item.number);
  return item;
}

request_core::request* request_core::Find(std::uint64_t number) {
  const auto found = requests_.find(number);
  return found == requests_.end() ? nullptr : &found->second;
}

time_point request_core::ExpiryOf(const request& item) const {
  const time_point deadline = item.envelope.deadline;
  if (std::holds_alternative<caller_origin>(item.from) ||
      item.current_stage == stage::kDispatched) {
    return deadline;
  }
  const duration margin =
      std::min(kHopMargin, (deadline - item.arrival) / kHopMarginDivisor);
  return item.current_stage == stage::kForwarded ? deadline - margin / 2
                                                 : deadline - margin;
}

std::optional<response> request_core::Validate(request_envelope& envelope,
                                               const routing_context& context,
                                               time_point now) const {
  if (stopping_) {
    return NotRun(answer_reason::kStopping, "this entry is stopping");
  }
  if (!context.ready) {
    return NotRun(answer_reason::kNotReady, "this entry is not ready");
  }
  const service_routes* routes = context.endpoints.Find(envelope.service);
  if (routes == nullptr) {
    return NotRun(answer_reason::kUnknownService,
                  "no service '" + envelope.service.value() + "'");
  }
  if (envelope.work.empty() && routes->classes.size() == 1) {
    envelope.work = routes->classes.front().name;
  }
  if (routes->FindClass(envelope.work) == nullptr) {
    return NotRun(answer_reason::kUnknownClass,
                  "no class '" + envelope.work.value() + "' of service '" +
                      envelope.service.value() +
                      "'; it has: " + KnownClasses(*routes));
  }
  if (envelope.deadline <= now) {
    return NotRun(answer_reason::kDeadline, "the deadline has passed");
  }
  return std::nullopt;
}

void request_core::OnArrival(const request_arrived& event,
                             const routing_context& context,
                             time_point now,
                             effects& out) {
  request_envelope envelope = event.request;
  std::optional<response> refused = Validate(envelope, context, now);
  if (refused.has_value()) {
    out.Do(answer_caller{event.sequence, *std::move(refused)});
    return;
  }
  budget_.OnRequest();
  request& item =
      AddRequest(caller_origin{event.sequence}, std::move(envelope), now);
  if (!item.envelope.idempotent && item.envelope.key.has_value()) {
    AcquireClaim(item, context, now, out);
    return;
  }
  Route(item, context, now, out);
}

void request_core::OnCallerGone(const caller_disconnected& event,
                                const routing_context& context,
                                time_point now,
                                effects& out) {
  const auto found = by_caller_.find(event.sequence);
  if (found != by_caller_.end()) {
    Cancel(*Find(found->second), context, now, out);
  }
}

void request_core::Cancel(request& item,
                          const routing_context& context,
                          time_point now,
                          effects& out) {
  item.cancelled = true;
  switch (item.current_stage) {
    case stage::kClaiming:
    case stage::kQueued:
      Finish(item,
             NotRun(answer_reason::kNone, "the caller closed the connection"),
             context, now, out);
      return;
    case stage::kForwarded:
      SendTo(item.peer, cancel_forward{{self_, item.forward}}, context, out);
      return;
    case stage::kDispatched:
      return;
  }
}

void request_core::OnClaimDecision(const claim_decision& decision,
                                   const routing_context& context,
                                   time_point now,
                                   effects& out) {
  if (decision.request.entry != self_) {
    return;
  }
  const std::uint64_t number = decision.request.sequence;
  const auto ended = abandoned_claims_.find(number);
  if (ended != abandoned_claims_.end()) {
    // The caller was told that the request was not run. Without the release a
    // retry would be refused although no request with this key ran.
    if (decision.verdict == claim_verdict::kGranted) {
      AddClaimCommand(claim_operation::kRelease, ended->second, number);
    }
    abandoned_claims_.erase(ended);
    return;
  }
  request* item = Find(number);
  if (item == nullptr || item->current_stage != stage::kClaiming) {
    return;
  }
  if (decision.verdict != claim_verdict::kGranted) {
    item->is_claim_requested = false;
    Finish(*item, AnswerForRefusedClaim(decision), context, now, out);
    return;
  }
  item->current_stage = stage::kQueued;
  if (ExpiryOf(*item) <= now) {
    Expire(*item, context, now, out);
    return;
  }
  Route(*item, context, now, out);
}

// The remaining time of a forwarded request is sent as a duration, so after a
// pause of the process (for example of its VM) an old request looks new. Its
// caller was answered unknown long ago and may have retried: running it now
// would run it twice. The sender's `cancel_forward` follows the request on the
// same connection, so it is enough to wait until the accumulated messages have
// been read.
void request_core::DetectStall(time_point now) {
  const bool stalled =
      last_activity_ != time_point() && now - last_activity_ > kStallThreshold;
  if (stalled) {
    dispatch_hold_until_ = now + kHoldAfterStall;
  }
  last_activity_ = now;
}

void request_core::OnTick(const routing_context& context,
                          time_point now,
                          effects& out) {
  DetectStall(now);
  // Handles expired requests first, so that an entry that was paused starts
  // none whose caller has given up.
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const std::uint64_t number = expiries_.begin()->second;
    expiries_.erase(expiries_.begin());
    request& item = *Find(number);
    const time_point due = ExpiryOf(item);
    if (due > now) {
      item.expiry = due;
      expiries_.emplace(due, number);
      continue;
    }
    Expire(item, context, now, out);
  }
  for (auto& [name, queue] : queues_) {
    if (queue.size() > 0) {
      DispatchQueued(name, context, now, out);
    }
  }
}

void request_core::Expire(request& item,
                          const routing_context& context,
                          time_point now,
                          effects& out) {
  switch (item.current_stage) {
    case stage::kClaiming:
    case stage::kQueued:
      CountUnserved(item, context);
      Finish(item,
             NotRun(answer_reason::kDeadline,
                    "the deadline passed before the request could be started"),
             context, now, out);
      return;
    case stage::kForwarded:
      SendTo(item.peer, cancel_forward{{self_, item.forward}}, context, out);
      Finish(item,
             Unknown(answer_reason::kDeadline,
                     "no answer from the owner before the deadline"),
             context, now, out);
      return;
    case stage::kDispatched:
      CountUnserved(item, context);
      Finish(
          item,
          Unknown(answer_reason::kDeadline,
                  "no complete answer from the endpoint before the deadline"),
          context, now, out);
      return;
  }
}

void request_core::OnEndpointsChanged(const routing_context& context,
                                      time_point now,
                                      effects& out) {
  for (auto it = leaving_.begin(); it != leaving_.end();) {
    const endpoint_info* endpoint = context.endpoints.FindVm(it->first);
    const bool known = endpoint == nullptr || !endpoint->takes_new;
    it = known ? leaving_.erase(it) : std::next(it);
  }
  counts_.RemoveUnused();
  loads_.Prune(context.fleet);
  if (seen_forwards_.size() > kMaxSeenPeers) {
    std::erase_if(seen_forwards_, [&](const auto& seen) {
      return context.fleet.members.count(seen.first) == 0;
    });
  }
  std::vector<service_name> names;
  for (const auto& [name, queue] : queues_) {
    names.push_back(name);
  }
  for (const service_name& name : names) {
    const service_routes* routes = context.endpoints.Find(name);
    if (routes != nullptr) {
      queues_[name].RetainClasses(routes->classes);
    }
    if (routes != nullptr && OwnLoad(*routes, now).slots > 0) {
      DispatchQueued(name, context, now, out);
      continue;
    }
    for (const std::uint64_t number : queues_[name].Ids()) {
      queues_[name].Erase(number);
      TryElsewhere(*Find(number),
                   NotRun(answer_reason::kNoEndpoint,
                          "this entry no longer owns an endpoint"),
                   context, now, out);
    }
  }
}

void request_core::OnStop() {
  stopping_ = true;
}

std::vector<claim_command> request_core::TakeClaimCommands() {
  return std::exchange(claim_commands_, {});
}

}  // namespace plantainhead::core
