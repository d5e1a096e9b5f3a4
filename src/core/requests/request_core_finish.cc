#include <utility>

#include "core/requests/answers.h"
#include "plantainhead/core/requests/request_core.h"
#include "plantainhead/core/visit.h"

/// The part of `request_core` that ends requests and sends messages.
namespace plantainhead::core {

void request_core::Finish(request& item,
                          response answer,
                          const routing_context& context,
                          time_point now,
                          effects& out) {
  if (answer.result == outcome::kNotRun && item.may_have_run) {
    // An earlier attempt failed after it may have reached an endpoint; only the
    // last attempt was certainly not run.
    answer.result = outcome::kUnknown;
    answer.detail += "; an earlier attempt may have run";
  }
  if (answer.result == outcome::kNotRun && !answer.retry_after.has_value()) {
    answer.retry_after = kDefaultRetryAfter;
  }
  SettleClaim(item, answer);
  RemoveFromIndexes(item);
  const origin to = item.from;
  const service_name service = item.envelope.service;
  requests_.erase(item.number);
  Deliver(to, service, std::move(answer), context, now, out);
}

claim_command& request_core::AddClaimCommand(claim_operation operation,
                                             const claim_key& key,
                                             std::uint64_t number) {
  claim_command& command = claim_commands_.emplace_back();
  command.operation = operation;
  command.key = key;
  command.request = {self_, number};
  return command;
}

void request_core::SettleClaim(const request& item, const response& answer) {
  if (!item.is_claim_requested) {
    return;
  }
  const claim_key& key = *item.envelope.key;
  if (item.current_stage == stage::kClaiming) {
    abandoned_claims_[item.number] = key;
  } else if (answer.result == outcome::kNotRun) {
    AddClaimCommand(claim_operation::kRelease, key, item.number);
  } else {
    AddClaimCommand(claim_operation::kComplete, key, item.number).answer =
        answer;
  }
}

void request_core::RemoveFromIndexes(request& item) {
  std::visit(
      overloaded{[&](const caller_origin& caller) {
                   by_caller_.erase(caller.sequence);
                 },
                 [&](const peer_origin& peer) { by_peer_.erase(peer.id); }},
      item.from);
  switch (item.current_stage) {
    case stage::kClaiming:
      break;
    case stage::kQueued: {
      const auto queue = queues_.find(item.envelope.service);
      if (queue != queues_.end()) {
        queue->second.Erase(item.number);
      }
      break;
    }
    case stage::kForwarded:
      by_forward_.erase(item.forward);
      break;
    case stage::kDispatched: {
      const auto found = calls_.find(item.call);
      if (found != calls_.end()) {
        found->second.request = 0;
      }
      break;
    }
  }
  expiries_.erase({item.expiry, item.number});
}

void request_core::CountUnserved(const request& item,
                                 const routing_context& context) {
  const work_class* work = ClassOf(item.envelope, context);
  if (work != nullptr) {
    queues_[item.envelope.service].OnUnserved(*work);
  }
}

void request_core::Deliver(const origin& to,
                           const service_name& service,
                           response answer,
                           const routing_context& context,
                           time_point now,
                           effects& out) {
  if (const auto* caller = std::get_if<caller_origin>(&to)) {
    out.Do(answer_caller{caller->sequence, std::move(answer)});
    return;
  }
  const auto& peer = std::get<peer_origin>(to);
  forward_reply reply;
  reply.id = peer.id;
  reply.answer = std::move(answer);
  const service_routes* routes = context.endpoints.Find(service);
  if (routes != nullptr) {
    reply.load.push_back(OwnLoad(*routes, now));
  }
  SendTo(peer.peer, std::move(reply), context, out);
}

void request_core::SendTo(incarnation peer,
                          peer_message message,
                          const routing_context& context,
                          effects& out) const {
  send_frame send;
  send.to = peer;
  const auto member = context.fleet.members.find(peer);
  if (member != context.fleet.members.end()) {
    send.host = member->second.host;
    send.port = member->second.peer_port;
  }
  send.frame = {self_, context.fleet.view, std::move(message)};
  out.Do(std::move(send));
}

}  // namespace plantainhead::core
