#include <algorithm>

#include "core/answers.h"
#include "plantainhead/core/request_core.h"

/// The part of `request_core` that chooses owners and endpoints.
namespace plantainhead::core {
namespace {

/// Owners and endpoints that one request is offered to at most.
constexpr std::uint32_t kMostAttempts = 3;
/// How long an endpoint that is full is left alone.
constexpr duration kFullPause = std::chrono::milliseconds(50);
/// How long an endpoint's own word that it leaves holds if neither the list nor
/// the fold ever shows it, e.g. since only its process was restarted.
constexpr duration kLeavingHolds = std::chrono::minutes(5);

template <typename Range, typename Value>
bool Contains(const Range& range, const Value& value) {
  return std::find(range.begin(), range.end(), value) != range.end();
}

}  // namespace

void request_core::AskClaim(request& item, time_point now) {
  item.at = stage::kClaiming;
  item.claim_asked = true;
  item.envelope.deadline =
      std::min(item.envelope.deadline, now + claim_window_);
  AddQuestion(claim_need::kAsk, *item.envelope.key, item.number).deadline =
      item.envelope.deadline;
}

void request_core::Claim(request& item,
                         const routing_context& context,
                         time_point now,
                         effects& out) {
  if (item.cancelled || !MayRetry(item, now)) {
    Finish(item,
           item.refusal.value_or(Unknown(answer_reason::kPeerLost,
                                         "the claiming entries were lost")),
           context, now, out);
    return;
  }
  const std::uint32_t partition = PartitionOf(*item.envelope.key);
  for (const incarnation home : context.endpoints.HomesOf(partition)) {
    if (home == self_) {
      break;
    }
    if (!context.suspects.contains(home) && !loads_.IsLost(home) &&
        !Contains(item.avoid_owners, home)) {
      Forward(item, home, forward_stage::kClaim, context, out);
      return;
    }
  }
  // The log decides who is first, so any entry may claim; the home only saves
  // appends and holds the answers.
  AskClaim(item, now);
}

void request_core::Route(request& item,
                         const routing_context& context,
                         time_point now,
                         effects& out) {
  const service_routes* routes = context.endpoints.Find(item.envelope.service);
  if (routes == nullptr || item.cancelled || !MayRetry(item, now)) {
    Finish(item,
           item.refusal.value_or(
               NotRun(answer_reason::kNoEndpoint, "nobody could take it")),
           context, now, out);
    return;
  }
  const service_load own = OwnLoad(*routes, now);
  const std::optional<incarnation> owner =
      loads_.Choose(*routes, own, context, item.avoid_owners, random_);
  if (!owner.has_value()) {
    Finish(item,
           item.refusal.value_or(NotRun(answer_reason::kNoEndpoint,
                                        "no endpoint of the service is up")),
           context, now, out);
  } else if (*owner == self_) {
    Enqueue(item, own, context, now, out);
  } else {
    Forward(item, *owner, forward_stage::kDispatch, context, out);
  }
}

void request_core::Forward(request& item,
                           incarnation to,
                           forward_stage wanted,
                           const routing_context& context,
                           effects& out) {
  last_forward_ += 1;
  item.at = stage::kForwarded;
  item.attempts += 1;
  item.peer = to;
  item.forward = last_forward_;
  item.wanted = wanted;
  by_forward_[item.forward] = item.number;
  if (wanted == forward_stage::kDispatch) {
    loads_.OnForwarded(to, item.envelope.service);
  }
  SendTo(to, forward_request{{self_, item.forward}, wanted, item.envelope},
         context, out);
}

void request_core::Enqueue(request& item,
                           const service_load& own,
                           const routing_context& context,
                           time_point now,
                           effects& out) {
  item.at = stage::kQueued;
  const work_class* work = ClassOf(item.envelope, context);
  if (work == nullptr || own.slots == 0) {
    TryElsewhere(item,
                 NotRun(answer_reason::kNoEndpoint,
                        "the entry owns no endpoint of the service"),
                 context, now, out);
    return;
  }
  request_queue& queue = queues_[item.envelope.service];
  const endpoint_info* endpoint =
      queue.size() == 0
          ? PickEndpoint(*context.endpoints.Find(item.envelope.service),
                         item.avoid_vms, now)
          : nullptr;
  if (endpoint != nullptr) {
    queue.CountDirect(*work);
    Dispatch(item, *endpoint, now, out);
    return;
  }
  const std::uint32_t free = own.slots - std::min(own.slots, own.busy);
  const admission result = queue.Offer(
      {item.number, item.arrival, ExpiryOf(item)}, *work, own.slots, free, now);
  if (!result.admitted) {
    Finish(item,
           NotRun(answer_reason::kOverload, "it would wait too long",
                  result.retry_after),
           context, now, out);
    return;
  }
  Pump(item.envelope.service, context, now, out);
}

void request_core::Pump(const service_name& service,
                        const routing_context& context,
                        time_point now,
                        effects& out) {
  const service_routes* routes = context.endpoints.Find(service);
  const auto queue = queues_.find(service);
  if (routes == nullptr || queue == queues_.end()) {
    return;
  }
  std::vector<std::uint64_t> refused;
  while (queue->second.size() > 0) {
    const endpoint_info* endpoint = PickEndpoint(*routes, {}, now);
    if (endpoint == nullptr) {
      break;
    }
    const std::optional<std::uint64_t> next = queue->second.Pop(now, refused);
    if (!next.has_value()) {
      break;
    }
    request& item = *Find(*next);
    if (Contains(item.avoid_vms, endpoint->vm)) {
      endpoint = PickEndpoint(*routes, item.avoid_vms, now);
    }
    if (endpoint == nullptr) {
      TryElsewhere(item,
                   item.refusal.value_or(NotRun(answer_reason::kNoEndpoint,
                                                "no other endpoint is free")),
                   context, now, out);
      continue;
    }
    Dispatch(item, *endpoint, now, out);
  }
  for (const std::uint64_t number : refused) {
    request& item = *Find(number);
    CountUnserved(item, context);
    Finish(item,
           item.envelope.deadline <= now
               ? NotRun(answer_reason::kDeadline,
                        "the deadline passed before it could be started")
               : NotRun(answer_reason::kOverload, "it could not end in time"),
           context, now, out);
  }
}

void request_core::Dispatch(request& item,
                            const endpoint_info& endpoint,
                            time_point now,
                            effects& out) {
  last_call_ += 1;
  item.at = stage::kDispatched;
  item.attempts += 1;
  item.call = static_cast<call_id>(last_call_);
  in_flight_[endpoint.vm] += 1;
  calls_[item.call] = {endpoint.vm, endpoint.service, now, item.number};
  out.Do(call_endpoint{item.call,
                       endpoint.vm,
                       endpoint.host,
                       endpoint.port,
                       {self_, item.number},
                       item.envelope});
}

const endpoint_info* request_core::PickEndpoint(const service_routes& routes,
                                                const std::vector<vm_id>& avoid,
                                                time_point now) const {
  const endpoint_info* best = nullptr;
  std::uint32_t best_load = 0;
  for (const std::size_t index : routes.owned) {
    const endpoint_info& endpoint = routes.endpoints[index];
    if (!MayUse(endpoint, now) || health_.IsFull(endpoint.vm, now) ||
        Contains(avoid, endpoint.vm)) {
      continue;
    }
    const std::uint32_t load = InFlightAt(endpoint.vm);
    if (load < health_.Allowed(endpoint.vm, now, endpoint.slots) &&
        (best == nullptr || load < best_load)) {
      best = &endpoint;
      best_load = load;
    }
  }
  return best;
}

bool request_core::MayRetry(const request& item, time_point now) const {
  return item.attempts < kMostAttempts && now < item.envelope.deadline;
}

void request_core::TryElsewhere(request& item,
                                response refusal,
                                const routing_context& context,
                                time_point now,
                                effects& out) {
  if (!item.may_forward) {
    Finish(item, std::move(refusal), context, now, out);
    return;
  }
  item.refusal = std::move(refusal);
  item.avoid_owners.push_back(self_);
  Route(item, context, now, out);
}

bool request_core::ShouldAskAnother(const request& item,
                                    const response& answer,
                                    const routing_context& context,
                                    time_point now) {
  if (answer.result == outcome::kDone || item.cancelled ||
      !MayRetry(item, now)) {
    return false;
  }
  if (answer.result == outcome::kUnknown) {
    return item.envelope.idempotent &&
           answer.reason == answer_reason::kEndpointLost && budget_.Take();
  }
  switch (answer.reason) {
    case answer_reason::kNotReady:
    case answer_reason::kStopping:
      return true;
    case answer_reason::kNoEndpoint:
    case answer_reason::kEndpointRefused:
      return item.wanted == forward_stage::kDispatch;
    case answer_reason::kOverload:
      return item.wanted == forward_stage::kDispatch &&
             OtherHasFreeSlot(item, context) && budget_.Take();
    default:
      return false;
  }
}

bool request_core::OtherHasFreeSlot(const request& item,
                                    const routing_context& context) const {
  const service_routes* routes = context.endpoints.Find(item.envelope.service);
  if (routes == nullptr) {
    return false;
  }
  for (const owner_share& share : routes->owners) {
    if (share.owner != item.peer && share.owner != self_ &&
        !context.suspects.contains(share.owner) &&
        !loads_.IsLost(share.owner) &&
        !Contains(item.avoid_owners, share.owner) &&
        loads_.HasFreeSlot(share, routes->name)) {
      return true;
    }
  }
  return false;
}

void request_core::LoseForwarded(request& item,
                                 const routing_context& context,
                                 time_point now,
                                 effects& out) {
  by_forward_.erase(item.forward);
  const response lost =
      Unknown(answer_reason::kPeerLost, "the entry that had it was lost");
  item.maybe_run = true;
  item.refusal = lost;
  item.avoid_owners.push_back(item.peer);
  if (item.wanted == forward_stage::kClaim) {
    // The log lets only one claim of the key through, so asking the next home
    // can't run it twice.
    Claim(item, context, now, out);
    return;
  }
  if (item.envelope.idempotent && !item.cancelled && MayRetry(item, now) &&
      budget_.Take()) {
    Route(item, context, now, out);
    return;
  }
  Finish(item, lost, context, now, out);
}

std::optional<request_core::call> request_core::EndCall(call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  call ended = std::move(found->second);
  calls_.erase(found);
  const auto count = in_flight_.find(ended.vm);
  count->second -= 1;
  if (count->second == 0) {
    in_flight_.erase(count);
  }
  return ended;
}

void request_core::TellHealth(const call& ended,
                              bool success,
                              const routing_context& context,
                              time_point now) {
  if (success) {
    health_.OnSuccess(ended.vm);
    return;
  }
  const service_routes* routes = context.endpoints.Find(ended.service);
  const endpoint_info* endpoint = context.endpoints.FindVm(ended.vm);
  if (routes == nullptr || endpoint == nullptr) {
    return;
  }
  std::uint32_t own = 0;
  for (const owner_share& share : routes->owners) {
    own += share.owner == self_ ? share.slots : 0;
  }
  const std::uint32_t usable = OwnLoad(*routes, now).slots;
  const std::uint32_t lost =
      loads_.LostSlots(*routes) + (own - std::min(own, usable));
  health_.OnFailure(ended.vm, now, routes->slots, lost, endpoint->slots);
}

void request_core::OnEndpointReplied(const endpoint_replied& event,
                                     const routing_context& context,
                                     time_point now,
                                     effects& out) {
  const std::optional<call> ended = EndCall(event.call);
  if (!ended.has_value()) {
    return;
  }
  constexpr int kFirstServerError = 500;
  TellHealth(*ended, event.status < kFirstServerError, context, now);
  if (request* item = Find(ended->request)) {
    const work_class* work = ClassOf(item->envelope, context);
    if (work != nullptr) {
      queues_[ended->service].OnServed(*work, now - ended->started,
                                       now - item->arrival <= work->within);
    }
    item->maybe_run = false;
    response answer;
    answer.status = event.status;
    answer.headers = event.headers;
    answer.body = event.body;
    answer.result = outcome::kDone;
    Finish(*item, std::move(answer), context, now, out);
  }
  Pump(ended->service, context, now, out);
}

void request_core::OnEndpointFailed(const endpoint_failed& event,
                                    const routing_context& context,
                                    time_point now,
                                    effects& out) {
  const std::optional<call> ended = EndCall(event.call);
  if (!ended.has_value()) {
    return;
  }
  const bool full = event.failure == endpoint_failure::kRefused;
  if (event.leaving) {
    leaving_[ended->vm] = now + kLeavingHolds;
  } else if (full) {
    health_.OnFull(ended->vm, now + kFullPause);
  }
  // An endpoint that refuses although nothing runs there isn't full but broken.
  if (!full || (!event.leaving && InFlightAt(ended->vm) == 0)) {
    TellHealth(*ended, false, context, now);
  }
  if (request* item = Find(ended->request)) {
    OnAttemptFailed(*item, event, ended->vm, context, now, out);
  }
  Pump(ended->service, context, now, out);
}

void request_core::OnAttemptFailed(request& item,
                                   const endpoint_failed& event,
                                   const vm_id& vm,
                                   const routing_context& context,
                                   time_point now,
                                   effects& out) {
  const bool unsent = event.failure != endpoint_failure::kMaybeSent;
  const bool again = !item.cancelled && MayRetry(item, now) &&
                     (unsent || (item.envelope.idempotent && budget_.Take()));
  item.maybe_run = item.maybe_run || !unsent;
  item.call = call_id::kNone;
  item.at = stage::kQueued;
  response refusal =
      unsent ? NotRun(answer_reason::kEndpointRefused,
                      "the endpoint didn't take it: " + event.detail)
             : Unknown(answer_reason::kEndpointLost,
                       "no whole answer from the endpoint: " + event.detail);
  if (!again) {
    CountUnserved(item, context);
    Finish(item, std::move(refusal), context, now, out);
    return;
  }
  item.avoid_vms.push_back(vm);
  const service_routes* routes = context.endpoints.Find(item.envelope.service);
  const work_class* work = ClassOf(item.envelope, context);
  if (routes != nullptr && work != nullptr &&
      PickEndpoint(*routes, item.avoid_vms, now) != nullptr) {
    item.refusal = std::move(refusal);
    queues_[item.envelope.service].PutBack(
        {item.number, item.arrival, ExpiryOf(item)}, *work);
    return;
  }
  TryElsewhere(item, std::move(refusal), context, now, out);
}

std::uint32_t request_core::InFlightAt(const vm_id& vm) const {
  const auto found = in_flight_.find(vm);
  return found == in_flight_.end() ? 0 : found->second;
}

bool request_core::MayUse(const endpoint_info& endpoint, time_point now) const {
  if (!endpoint.takes_new || leaving_.empty()) {
    return endpoint.takes_new;
  }
  const auto found = leaving_.find(endpoint.vm);
  return found == leaving_.end() || found->second <= now;
}

service_load request_core::OwnLoad(const service_routes& routes,
                                   time_point now) const {
  service_load load;
  load.service = routes.name;
  for (const std::size_t index : routes.owned) {
    const endpoint_info& endpoint = routes.endpoints[index];
    if (!MayUse(endpoint, now)) {
      continue;
    }
    const std::uint32_t allowed =
        health_.Allowed(endpoint.vm, now, endpoint.slots);
    load.slots += allowed;
    load.busy += health_.IsFull(endpoint.vm, now)
                     ? allowed
                     : std::min(allowed, InFlightAt(endpoint.vm));
  }
  const auto queue = queues_.find(routes.name);
  if (queue != queues_.end()) {
    load.queued = static_cast<std::uint32_t>(queue->second.size());
  }
  return load;
}

const work_class* request_core::ClassOf(const request_envelope& envelope,
                                        const routing_context& context) const {
  const service_routes* routes = context.endpoints.Find(envelope.service);
  return routes == nullptr ? nullptr : routes->FindClass(envelope.work);
}

std::vector<service_load> request_core::Load(const routing_context& context,
                                             time_point now) const {
  std::vector<service_load> loads;
  for (const auto& [name, routes] : context.endpoints.services()) {
    loads.push_back(OwnLoad(routes, now));
  }
  std::sort(loads.begin(), loads.end(),
            [](const service_load& left, const service_load& right) {
              return left.service < right.service;
            });
  return loads;
}

std::vector<vm_in_flight> request_core::InFlight() const {
  std::vector<vm_in_flight> counts;
  for (const auto& [vm, count] : in_flight_) {
    counts.push_back({vm, count});
  }
  std::sort(counts.begin(), counts.end(),
            [](const vm_in_flight& left, const vm_in_flight& right) {
              return left.vm < right.vm;
            });
  return counts;
}

}  // namespace plantainhead::core
