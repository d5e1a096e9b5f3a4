#include <algorithm>

#include "core/requests/answers.h"
#include "plantainhead/core/requests/request_core.h"

/// The part of `request_core` that handles messages and failures of peers.
namespace plantainhead::core {

void request_core::OnForward(incarnation from,
                             const forward_request& message,
                             const routing_context& context,
                             time_point now,
                             effects& out) {
  std::uint64_t& seen = seen_forwards_[from];
  if (message.id.entry != from || message.id.sequence <= seen) {
    return;
  }
  seen = message.id.sequence;
  const peer_origin peer{from, message.id};
  if (stopping_) {
    Deliver(peer, message.request.service,
            NotRun(answer_reason::kStopping, "the owner is stopping"), context,
            now, out);
    return;
  }
  DetectStall(now);
  budget_.OnRequest();
  request& item = AddRequest(peer, message.request, now);
  if (message.stage == forward_stage::kClaim) {
    RequestLocalClaim(item, now);
    return;
  }
  item.may_forward = false;
  const service_routes* routes = context.endpoints.Find(item.envelope.service);
  const service_load own =
      routes == nullptr ? service_load() : OwnLoad(*routes, now);
  Enqueue(item, own, context, now, out);
}

void request_core::OnReply(incarnation from,
                           const forward_reply& message,
                           const routing_context& context,
                           time_point now,
                           effects& out) {
  loads_.OnReport(from, message.load);
  const auto found = by_forward_.find(message.id.sequence);
  if (message.id.entry != self_ || found == by_forward_.end()) {
    return;
  }
  request& item = *Find(found->second);
  if (item.peer != from) {
    return;
  }
  by_forward_.erase(found);
  if (!ShouldRetryElsewhere(item, message.answer, context, now)) {
    Finish(item, message.answer, context, now, out);
    return;
  }
  item.may_have_run =
      item.may_have_run || message.answer.result == outcome::kUnknown;
  item.avoid_owners.push_back(from);
  item.refusal = message.answer;
  if (item.requested_stage == forward_stage::kClaim) {
    AcquireClaim(item, context, now, out);
  } else {
    Route(item, context, now, out);
  }
}

void request_core::OnCancel(incarnation from,
                            const cancel_forward& message,
                            const routing_context& context,
                            time_point now,
                            effects& out) {
  const auto found = by_peer_.find(message.id);
  if (message.id.entry == from && found != by_peer_.end()) {
    Cancel(*Find(found->second), context, now, out);
  }
}

void request_core::OnPeerLoad(incarnation from,
                              const std::vector<service_load>& load) {
  loads_.OnReport(from, load);
}

void request_core::OnPeerDisconnected(incarnation peer,
                                      const routing_context& context,
                                      time_point now,
                                      effects& out) {
  loads_.OnDisconnected(peer);
  std::vector<std::uint64_t> waiting_for;
  std::vector<std::uint64_t> came_from;
  for (const auto& [number, item] : requests_) {
    const auto* origin = std::get_if<peer_origin>(&item.from);
    if (origin != nullptr && origin->peer == peer) {
      came_from.push_back(number);
    }
    if (item.current_stage == stage::kForwarded && item.peer == peer) {
      waiting_for.push_back(number);
    }
  }
  // In the order of arrival, so that a replayed session gives the same result.
  std::sort(waiting_for.begin(), waiting_for.end());
  std::sort(came_from.begin(), came_from.end());
  for (const std::uint64_t number : came_from) {
    if (request* item = Find(number)) {
      Cancel(*item, context, now, out);
    }
  }
  for (const std::uint64_t number : waiting_for) {
    if (request* item = Find(number)) {
      OnForwardLost(*item, context, now, out);
    }
  }
}

void request_core::OnPeerSuspected(incarnation peer,
                                   const routing_context& context,
                                   time_point now,
                                   effects& out) {
  std::vector<std::uint64_t> movable;
  for (const auto& [number, item] : requests_) {
    if (item.current_stage == stage::kForwarded && item.peer == peer &&
        item.envelope.idempotent && !item.cancelled) {
      movable.push_back(number);
    }
  }
  std::sort(movable.begin(), movable.end());
  for (const std::uint64_t number : movable) {
    request& item = *Find(number);
    if (!MayRetry(item, now) || !budget_.Take()) {
      continue;
    }
    SendTo(peer, cancel_forward{{self_, item.forward}}, context, out);
    by_forward_.erase(item.forward);
    item.may_have_run = true;
    item.avoid_owners.push_back(peer);
    Route(item, context, now, out);
  }
}

}  // namespace plantainhead::core
