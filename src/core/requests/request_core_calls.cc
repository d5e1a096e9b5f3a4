#include <algorithm>

#include "core/contains.h"
#include "core/requests/answers.h"
#include "plantainhead/core/requests/request_core.h"

/// The part of `request_core` that calls endpoints.
namespace plantainhead::core {
namespace {

/// How long no call is sent to an endpoint that reported that it is full.
constexpr duration kFullBackoff = std::chrono::milliseconds(50);
/// How long an endpoint's own announcement that it is leaving holds if neither
/// the platform's list nor the fold ever shows it, for example because only its
/// process was restarted.
constexpr duration kLeavingTtl = std::chrono::minutes(5);
/// Answers with this status or a higher one are errors of the endpoint.
constexpr int kFirstServerError = 500;

}  // namespace

void request_core::Dispatch(request& item,
                            const endpoint_info& endpoint,
                            time_point now,
                            effects& out) {
  last_call_ += 1;
  item.current_stage = stage::kDispatched;
  item.attempts += 1;
  item.call = static_cast<call_id>(last_call_);
  counts_.Add(endpoint.vm);
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
  const std::vector<const std::uint32_t*>& counts = counts_.OwnedCounts(routes);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const endpoint_info& endpoint = routes.endpoints[routes.owned[i]];
    if (!CanDispatchTo(endpoint, now) || health_.IsFull(endpoint.vm, now) ||
        Contains(avoid, endpoint.vm)) {
      continue;
    }
    const std::uint32_t load = *counts[i];
    if (load < health_.AllowedCalls(endpoint.vm, now, endpoint.slots) &&
        (best == nullptr || load < best_load)) {
      best = &endpoint;
      best_load = load;
    }
  }
  return best;
}

std::optional<request_core::call> request_core::EndCall(call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  call ended = std::move(found->second);
  calls_.erase(found);
  counts_.Remove(ended.vm);
  return ended;
}

void request_core::ReportHealth(const call& ended,
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
  // Slots that this endpoint itself lacks while it is probed do not count as
  // ejected elsewhere: if they did, the endpoint could not be ejected again.
  const std::uint32_t usable =
      OwnLoad(*routes, now).slots + endpoint->slots -
      health_.AllowedCalls(ended.vm, now, endpoint->slots);
  const std::uint32_t lost =
      loads_.UnavailableSlots(*routes) + (own - std::min(own, usable));
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
  ReportHealth(*ended, event.status < kFirstServerError, context, now);
  if (request* item = Find(ended->request)) {
    const work_class* work = ClassOf(item->envelope, context);
    if (work != nullptr) {
      queues_[ended->service].OnServed(*work, now - ended->started,
                                       now - item->arrival <= work->within);
    }
    item->may_have_run = false;
    response answer;
    answer.status = event.status;
    answer.headers = event.headers;
    answer.body = event.body;
    answer.result = outcome::kDone;
    Finish(*item, std::move(answer), context, now, out);
  }
  DispatchQueued(ended->service, context, now, out);
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
    leaving_[ended->vm] = now + kLeavingTtl;
  } else if (full) {
    health_.OnFull(ended->vm, now + kFullBackoff);
  }
  // An endpoint that refuses a call although none is running there is faulty,
  // not full.
  if (!full || (!event.leaving && counts_.CountOf(ended->vm) == 0)) {
    ReportHealth(*ended, false, context, now);
  }
  if (request* item = Find(ended->request)) {
    OnAttemptFailed(*item, event, ended->vm, context, now, out);
  }
  DispatchQueued(ended->service, context, now, out);
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
  item.may_have_run = item.may_have_run || !unsent;
  item.call = call_id::kNone;
  item.current_stage = stage::kQueued;
  response refusal =
      unsent ? NotRun(answer_reason::kEndpointRefused,
                      "the endpoint refused the request: " + event.detail)
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
    queues_[item.envelope.service].Requeue(
        {item.number, item.arrival, ExpiryOf(item)}, *work);
    return;
  }
  TryElsewhere(item, std::move(refusal), context, now, out);
}

bool request_core::CanDispatchTo(const endpoint_info& endpoint,
                                 time_point now) const {
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
  const std::vector<const std::uint32_t*>& counts = counts_.OwnedCounts(routes);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const endpoint_info& endpoint = routes.endpoints[routes.owned[i]];
    if (!CanDispatchTo(endpoint, now)) {
      continue;
    }
    const std::uint32_t allowed =
        health_.AllowedCalls(endpoint.vm, now, endpoint.slots);
    load.slots += allowed;
    load.busy += health_.IsFull(endpoint.vm, now)
                     ? allowed
                     : std::min(allowed, *counts[i]);
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

}  // namespace plantainhead::core
