#include <algorithm>

#include "core/contains.h"
#include "core/requests/answers.h"
#include "plantainhead/core/requests/request_core.h"

/// The part of `request_core` that chooses coordinators and owners.
namespace plantainhead::core {
namespace {

/// Maximum number of owners and endpoints that one request is sent to.
constexpr std::uint32_t kMaxAttempts = 3;

}  // namespace

void request_core::RequestLocalClaim(request& item, time_point now) {
  item.current_stage = stage::kClaiming;
  item.is_claim_requested = true;
  item.envelope.deadline =
      std::min(item.envelope.deadline, now + claim_window_);
  AddClaimCommand(claim_operation::kAcquire, *item.envelope.key, item.number)
      .deadline = item.envelope.deadline;
}

void request_core::AcquireClaim(request& item,
                                const routing_context& context,
                                time_point now,
                                effects& out) {
  if (item.cancelled || !MayRetry(item, now)) {
    Finish(
        item,
        item.refusal.value_or(Unknown(answer_reason::kPeerLost,
                                      "the coordinators of the key were lost")),
        context, now, out);
    return;
  }
  const std::uint32_t partition = PartitionOf(*item.envelope.key);
  for (const incarnation coordinator :
       context.endpoints.CoordinatorsOf(partition)) {
    if (coordinator == self_) {
      break;
    }
    if (!context.suspects.contains(coordinator) &&
        !loads_.IsDisconnected(coordinator) &&
        !Contains(item.avoid_owners, coordinator)) {
      Forward(item, coordinator, forward_stage::kClaim, context, out);
      return;
    }
  }
  // Any entry may claim the key, since the order of the log decides which claim
  // is first; the coordinator only saves appends and stores the answers.
  RequestLocalClaim(item, now);
}

void request_core::Route(request& item,
                         const routing_context& context,
                         time_point now,
                         effects& out) {
  const service_routes* routes = context.endpoints.Find(item.envelope.service);
  if (routes == nullptr || item.cancelled || !MayRetry(item, now)) {
    Finish(item,
           item.refusal.value_or(NotRun(answer_reason::kNoEndpoint,
                                        "no endpoint accepted the request")),
           context, now, out);
    return;
  }
  const service_load own = OwnLoad(*routes, now);
  const std::optional<incarnation> owner =
      loads_.Choose(*routes, own, context, item.avoid_owners, random_);
  if (!owner.has_value()) {
    Finish(item,
           item.refusal.value_or(
               NotRun(answer_reason::kNoEndpoint,
                      "no endpoint of the service is available")),
           context, now, out);
  } else if (*owner == self_) {
    Enqueue(item, own, context, now, out);
  } else {
    Forward(item, *owner, forward_stage::kDispatch, context, out);
  }
}

void request_core::Forward(request& item,
                           incarnation to,
                           forward_stage requested_stage,
                           const routing_context& context,
                           effects& out) {
  last_forward_ += 1;
  item.current_stage = stage::kForwarded;
  item.attempts += 1;
  item.peer = to;
  item.forward = last_forward_;
  item.requested_stage = requested_stage;
  by_forward_[item.forward] = item.number;
  if (requested_stage == forward_stage::kDispatch) {
    loads_.OnForwarded(to, item.envelope.service);
  }
  SendTo(to,
         forward_request{{self_, item.forward}, requested_stage, item.envelope},
         context, out);
}

void request_core::Enqueue(request& item,
                           const service_load& own,
                           const routing_context& context,
                           time_point now,
                           effects& out) {
  item.current_stage = stage::kQueued;
  if (ExpiryOf(item) <= now) {
    Expire(item, context, now, out);
    return;
  }
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
      queue.size() == 0 && now >= dispatch_hold_until_
          ? PickEndpoint(*context.endpoints.Find(item.envelope.service),
                         item.avoid_vms, now)
          : nullptr;
  if (endpoint != nullptr) {
    queue.CountDirectDispatch(*work);
    Dispatch(item, *endpoint, now, out);
    return;
  }
  const std::uint32_t free = own.slots - std::min(own.slots, own.busy);
  const admission result = queue.Offer(
      {item.number, item.arrival, ExpiryOf(item)}, *work, own.slots, free, now);
  if (!result.admitted) {
    Finish(item,
           NotRun(answer_reason::kOverload, "the predicted wait is too long",
                  result.retry_after),
           context, now, out);
    return;
  }
  DispatchQueued(item.envelope.service, context, now, out);
}

void request_core::DispatchQueued(const service_name& service,
                                  const routing_context& context,
                                  time_point now,
                                  effects& out) {
  const service_routes* routes = context.endpoints.Find(service);
  const auto queue = queues_.find(service);
  // While this entry lags behind the log, it may not know which VMs are
  // draining; queued requests are answered at their deadline at the latest.
  const bool is_held = now < dispatch_hold_until_ || !context.ready;
  if (routes == nullptr || queue == queues_.end() || is_held) {
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
    RejectQueued(*Find(number), *routes, context, now, out);
  }
}

void request_core::RejectQueued(request& item,
                                const service_routes& routes,
                                const routing_context& context,
                                time_point now,
                                effects& out) {
  const work_class* work = routes.FindClass(item.envelope.work);
  if (work == nullptr || ExpiryOf(item) <= now) {
    Expire(item, context, now, out);
    return;
  }
  const service_load own = OwnLoad(routes, now);
  const duration retry_after = queues_[routes.name].RetryAfter(
      *work, own.slots, own.slots - std::min(own.slots, own.busy), now);
  CountUnserved(item, context);
  Finish(item,
         NotRun(answer_reason::kOverload,
                "the request could not finish in time", retry_after),
         context, now, out);
}

bool request_core::MayRetry(const request& item, time_point now) const {
  return item.attempts < kMaxAttempts && now < item.envelope.deadline;
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

bool request_core::ShouldRetryElsewhere(const request& item,
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
      return item.requested_stage == forward_stage::kDispatch;
    case answer_reason::kOverload:
      return item.requested_stage == forward_stage::kDispatch &&
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
        !loads_.IsDisconnected(share.owner) &&
        !Contains(item.avoid_owners, share.owner) &&
        loads_.HasFreeSlot(share, routes->name)) {
      return true;
    }
  }
  return false;
}

void request_core::OnForwardLost(request& item,
                                 const routing_context& context,
                                 time_point now,
                                 effects& out) {
  by_forward_.erase(item.forward);
  const response lost =
      Unknown(answer_reason::kPeerLost, "the entry that had it was lost");
  item.may_have_run = true;
  item.refusal = lost;
  item.avoid_owners.push_back(item.peer);
  if (item.requested_stage == forward_stage::kClaim) {
    // At most one claim of the key is granted by the order of the log, so
    // asking the next coordinator cannot run the request twice.
    AcquireClaim(item, context, now, out);
    return;
  }
  if (item.envelope.idempotent && !item.cancelled && MayRetry(item, now) &&
      budget_.Take()) {
    Route(item, context, now, out);
    return;
  }
  Finish(item, lost, context, now, out);
}

}  // namespace plantainhead::core
