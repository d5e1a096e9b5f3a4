#ifndef PLANTAINHEAD_TESTS_CORE_REQUESTS_REQUEST_HARNESS_H_
#define PLANTAINHEAD_TESTS_CORE_REQUESTS_REQUEST_HARNESS_H_

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "plantainhead/core/requests/request_core.h"

namespace plantainhead::core {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr incarnation kSelf{11};
inline constexpr incarnation kPeer{22};
inline constexpr incarnation kOther{33};
inline const service_name kIntake{"intake"};
inline const class_name kUrgent{"urgent"};
inline const class_name kArchive{"archive"};

/// Returns all actions of one kind, in order.
template <typename Kind>
std::vector<Kind> All(const effects& out) {
  std::vector<Kind> found;
  for (const action& item : out.actions) {
    if (const auto* kind = std::get_if<Kind>(&item)) {
      found.push_back(*kind);
    }
  }
  return found;
}

/// Returns all messages of one kind that were sent to `to`, in order.
template <typename Message>
std::vector<Message> Sent(const effects& out, incarnation to) {
  std::vector<Message> found;
  for (const send_frame& send : All<send_frame>(out)) {
    const auto* message = std::get_if<Message>(&send.frame.message);
    if (send.to == to && message != nullptr) {
      found.push_back(*message);
    }
  }
  return found;
}

inline work_class MakeClass(const class_name& name,
                            duration within,
                            bool can_wait) {
  work_class work;
  work.name = name;
  work.service = kIntake;
  work.within = within;
  work.can_wait = can_wait;
  return work;
}

/// Drives one entry's `request_core` in a small fleet. Each step clears `out`
/// first.
struct request_harness {
  fleet_state fleet;
  std::vector<vm_listing> listings;
  std::set<incarnation> suspects;
  std::set<incarnation> stopping;
  endpoint_table table;
  request_core core{kSelf, 1};
  time_point now{std::chrono::hours(1)};
  bool ready = true;
  effects out;
  std::uint64_t last_sequence = 0;
  std::uint64_t last_peer_forward = 0;

  request_harness() {
    fleet.targets.services.push_back({kIntake, {pool_id("casework")}});
    fleet.targets.classes.push_back(MakeClass(kUrgent, seconds(1), false));
    fleet.targets.classes.push_back(MakeClass(kArchive, seconds(60), true));
    AddMember(kSelf, "suwon");
  }

  void AddMember(incarnation who, const std::string& zone) {
    entry_member member;
    member.who = who;
    member.zone = zone_id(zone);
    member.host = "10.0.0." + std::to_string(static_cast<int>(who));
    member.peer_port = 7000;
    fleet.members[who] = member;
  }

  /// Adds an endpoint whose owner is the only member of `zone`.
  void AddEndpoint(const std::string& vm,
                   const std::string& zone,
                   std::uint32_t slots = 8) {
    vm_listing listing;
    listing.vm = vm_id(vm);
    listing.zone = zone_id(zone);
    listing.host = "10.1.0.1";
    listing.port = static_cast<std::uint16_t>(9000 + listings.size());
    listing.service = kIntake;
    listing.slots = slots;
    listings.push_back(listing);
    fleet.vms[listing.vm].pool = pool_id("casework");
  }

  routing_context Context() const {
    return {fleet, table, suspects, kSelf, ready};
  }

  void Rebuild() {
    out = {};
    table.Rebuild(fleet, listings, kSelf, stopping);
    core.OnEndpointsChanged(Context(), now, out);
  }

  request_envelope Envelope(bool idempotent = true) const {
    request_envelope envelope;
    envelope.service = kIntake;
    envelope.work = kUrgent;
    envelope.method = idempotent ? "GET" : "POST";
    envelope.path = "/petitions";
    envelope.deadline = now + seconds(2);
    envelope.idempotent = idempotent;
    return envelope;
  }

  request_envelope WithKey(const std::string& key) const {
    request_envelope envelope = Envelope(false);
    envelope.key = claim_key(key);
    return envelope;
  }

  std::uint64_t Arrive(request_envelope envelope) {
    out = {};
    last_sequence += 1;
    core.OnArrival({last_sequence, std::move(envelope)}, Context(), now, out);
    return last_sequence;
  }

  request_id Receive(incarnation from,
                     request_envelope envelope,
                     forward_stage stage = forward_stage::kDispatch) {
    out = {};
    last_peer_forward += 1;
    const request_id id{from, last_peer_forward};
    core.OnForward(from, {id, stage, std::move(envelope)}, Context(), now, out);
    return id;
  }

  void Reply(call_id call, int status = 200) {
    out = {};
    const auto body = std::make_shared<const std::string>("whole answer");
    core.OnEndpointReplied({call, status, {}, body}, Context(), now, out);
  }

  void Fail(call_id call, endpoint_failure failure, bool leaving = false) {
    out = {};
    core.OnEndpointFailed({call, failure, leaving, "test"}, Context(), now,
                          out);
  }

  void PeerReply(incarnation from, request_id id, response answer) {
    out = {};
    core.OnReply(from, {id, std::move(answer), {}}, Context(), now, out);
  }

  void Disconnect(incarnation peer) {
    out = {};
    core.OnPeerDisconnected(peer, Context(), now, out);
  }

  void Decide(request_id request, claim_verdict verdict) {
    out = {};
    claim_decision decision;
    decision.request = request;
    decision.verdict = verdict;
    core.OnClaimDecision(decision, Context(), now, out);
  }

  void Tick(duration later) {
    out = {};
    now += later;
    core.OnTick(Context(), now, out);
  }

  /// Returns the answer of the last step. Precondition: the step gave exactly
  /// one answer to a caller.
  response Answer() const { return All<answer_caller>(out).at(0).answer; }
  std::vector<call_endpoint> Calls() const { return All<call_endpoint>(out); }
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_REQUESTS_REQUEST_HARNESS_H_
