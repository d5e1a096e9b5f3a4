#include "plantainhead/core/requests/request_core.h"

#include <algorithm>
#include <utility>

#include "core/requests/answers.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {
namespace {

/// An entry that waits for another must hear its answer before its own caller's
/// time is up. So a request that came from another entry is given up this much
/// earlier while it has not been dispatched: else the first entry could only
/// say unknown where the owner knows that it was not run.
constexpr duration kHopMargin = std::chrono::milliseconds(60);
/// The margin is at most this part of the time that is left.
constexpr int kHopMarginPart = 8;
/// Ticks come every `kTickInterval`; without one for this long the process
/// stood still.
constexpr duration kStoodStill = std::chrono::milliseconds(500);
/// How long what piled up meanwhile may take to be read.
constexpr duration kHoldAfterFreeze = std::chrono::milliseconds(100);
/// Above this many incarnations those that are no members are forgotten.
constexpr std::size_t kMostSeen = 1024;

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

request_core::request& request_core::Begin(origin from,
                                           request_envelope envelope,
                                           time_point now) {
  last_number_ += 1;
  request& item = requests_[last_number_];
  item.number = last_number_;
  item.from = from;
  item.envelope = std::move(envelope);
  item.arrival = now;
  std::visit(overloaded{[&](const from_caller& caller) {
                          by_caller_[caller.sequence] = item.number;
                        },
                        [&](const from_peer& peer) {
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
  if (std::holds_alternative<from_caller>(item.from) ||
      item.at == stage::kDispatched) {
    return deadline;
  }
  const duration margin =
      std::min(kHopMargin, (deadline - item.arrival) / kHopMarginPart);
  return item.at == stage::kForwarded ? deadline - margin / 2
                                      : deadline - margin;
}

std::optional<response> request_core::Check(request_envelope& envelope,
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
  std::optional<response> refused = Check(envelope, context, now);
  if (refused.has_value()) {
    out.Do(answer_caller{event.sequence, *std::move(refused)});
    return;
  }
  budget_.OnRequest();
  request& item = Begin(from_caller{event.sequence}, std::move(envelope), now);
  if (!item.envelope.idempotent && item.envelope.key.has_value()) {
    Claim(item, context, now, out);
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
  switch (item.at) {
    case stage::kClaiming:
    case stage::kQueued:
      Finish(item, NotRun(answer_reason::kNone, "the caller hung up"), context,
             now, out);
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
  const auto ended = undecided_.find(number);
  if (ended != undecided_.end()) {
    // Its caller was told that it was not run. Without the release a retry
    // would be refused although nobody ran the key.
    if (decision.verdict == claim_verdict::kGranted) {
      AddQuestion(claim_need::kRelease, ended->second, number);
    }
    undecided_.erase(ended);
    return;
  }
  request* item = Find(number);
  if (item == nullptr || item->at != stage::kClaiming) {
    return;
  }
  if (decision.verdict != claim_verdict::kGranted) {
    item->claim_asked = false;
    Finish(*item, AnswerTo(decision), context, now, out);
    return;
  }
  item->at = stage::kQueued;
  if (ExpiryOf(*item) <= now) {
    Expire(*item, context, now, out);
    return;
  }
  Route(*item, context, now, out);
}

// The time that a forwarded request has left travels as a duration, so for an
// entry that stood still (a VM that was paused) an old request looks new. Its
// caller was told unknown long ago and may have asked for it anew: running it
// now would do it twice. The sender's `cancel_forward` stands right behind it
// on the connection, so waiting until all that has piled up was read is enough.
void request_core::NoticeFreeze(time_point now) {
  const bool stood_still =
      last_seen_ != time_point() && now - last_seen_ > kStoodStill;
  if (stood_still) {
    hold_until_ = now + kHoldAfterFreeze;
  }
  last_seen_ = now;
}

void request_core::OnTick(const routing_context& context,
                          time_point now,
                          effects& out) {
  NoticeFreeze(now);
  // First what has expired, so that an entry that was frozen starts nothing
  // whose caller has given up.
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
      Pump(name, context, now, out);
    }
  }
}

void request_core::Expire(request& item,
                          const routing_context& context,
                          time_point now,
                          effects& out) {
  switch (item.at) {
    case stage::kClaiming:
    case stage::kQueued:
      CountUnserved(item, context);
      Finish(item,
             NotRun(answer_reason::kDeadline,
                    "the deadline passed before it could be started"),
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
      Finish(item,
             Unknown(answer_reason::kDeadline,
                     "no whole answer from the endpoint before the deadline"),
             context, now, out);
      return;
  }
}

void request_core::OnEndpointsChanged(const routing_context& context,
                                      time_point now,
                                      effects& out) {
  for (auto at = leaving_.begin(); at != leaving_.end();) {
    const endpoint_info* endpoint = context.endpoints.FindVm(at->first);
    const bool known = endpoint == nullptr || !endpoint->takes_new;
    at = known ? leaving_.erase(at) : std::next(at);
  }
  counts_.Tidy();
  loads_.Prune(context.fleet);
  if (seen_forwards_.size() > kMostSeen) {
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
      queues_[name].KeepClasses(routes->classes);
    }
    if (routes != nullptr && OwnLoad(*routes, now).slots > 0) {
      Pump(name, context, now, out);
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

std::vector<claim_question> request_core::TakeClaimQuestions() {
  return std::exchange(questions_, {});
}

}  // namespace plantainhead::core
