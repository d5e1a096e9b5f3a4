#ifndef PLANTAINHEAD_CORE_REQUESTS_REQUEST_CORE_H_
#define PLANTAINHEAD_CORE_REQUESTS_REQUEST_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "plantainhead/core/claims/claim_decision.h"
#include "plantainhead/core/claims/claim_question.h"
#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/random.h"
#include "plantainhead/core/requests/call_counts.h"
#include "plantainhead/core/requests/endpoint_health.h"
#include "plantainhead/core/requests/owner_loads.h"
#include "plantainhead/core/requests/pending_request.h"
#include "plantainhead/core/requests/request_queue.h"
#include "plantainhead/core/requests/retry_budget.h"
#include "plantainhead/core/requests/routing_context.h"

namespace plantainhead::core {

/// The way of each request through one entry, from its arrival (from a caller
/// or another entry) to its one answer.
///
/// A request that is not idempotent and has a key first goes to the home of its
/// key, which claims it; then an owner of endpoints of its service is chosen,
/// which queues it and calls an endpoint. The answer goes back the same way.
/// Each hop is a request of its own with an id of its own, so that a late or
/// repeated message meets no one.
///
/// What holds whatever happens: each arrival is answered once; an answer says
/// not-run only if no byte can have left toward an endpoint and none will; a
/// request that is not idempotent and may have been sent is never sent again.
///
/// Precondition of all events: `now` never goes back. Thread safety: none.
class request_core {
 public:
  /// `self` is this process's incarnation; `seed` starts the random choices.
  /// `claim_window` is how long a key is remembered (`claim_options::window`):
  /// a request with a key is given up at the latest that long after its claim
  /// was asked for, since a grant doesn't hold longer.
  request_core(incarnation self,
               std::uint64_t seed,
               duration claim_window = std::chrono::minutes(10));

  /// A caller's request; ends in `answer_caller` exactly once.
  void OnArrival(const request_arrived& event,
                 const routing_context& context,
                 time_point now,
                 effects& out);
  /// The caller hung up: the request ends unless it was dispatched. The answer
  /// is still given, for whoever counts.
  void OnCallerGone(const caller_disconnected& event,
                    const routing_context& context,
                    time_point now,
                    effects& out);

  void OnForward(incarnation from,
                 const forward_request& message,
                 const routing_context& context,
                 time_point now,
                 effects& out);
  void OnReply(incarnation from,
               const forward_reply& message,
               const routing_context& context,
               time_point now,
               effects& out);
  void OnCancel(incarnation from,
                const cancel_forward& message,
                const routing_context& context,
                time_point now,
                effects& out);
  /// The load that came with another entry's heartbeat.
  void OnPeerLoad(incarnation from, const std::vector<service_load>& load);
  /// A connection was lost, or the member left or was expelled.
  void OnPeerDisconnected(incarnation peer,
                          const routing_context& context,
                          time_point now,
                          effects& out);
  /// Nothing is heard from a member. Idempotent requests go elsewhere; others
  /// wait for the answer, the loss of the connection or their deadline.
  void OnPeerSuspected(incarnation peer,
                       const routing_context& context,
                       time_point now,
                       effects& out);

  void OnEndpointReplied(const endpoint_replied& event,
                         const routing_context& context,
                         time_point now,
                         effects& out);
  void OnEndpointFailed(const endpoint_failed& event,
                        const routing_context& context,
                        time_point now,
                        effects& out);

  /// What the claims found; a grant for a request that has ended is released.
  void OnClaimDecision(const claim_decision& decision,
                       const routing_context& context,
                       time_point now,
                       effects& out);

  /// `context.endpoints` was rebuilt. Requests queued for endpoints that went
  /// to other owners follow them.
  void OnEndpointsChanged(const routing_context& context,
                          time_point now,
                          effects& out);

  /// Ends what has passed its deadline, and uses slots that came free by time.
  void OnTick(const routing_context& context, time_point now, effects& out);

  /// The process is to end: new requests are answered not-run, those at hand go
  /// on.
  void OnStop();

  /// Takes what is to be handed to the claims, in order. To be called after
  /// each event.
  std::vector<claim_question> TakeClaimQuestions();

  /// Returns true once no request is at hand and no call is in flight.
  bool Idle() const { return requests_.empty() && calls_.empty(); }

  /// Returns how full this entry's share of each service is, for heartbeats.
  std::vector<service_load> Load(const routing_context& context,
                                 time_point now) const;

  /// Returns the requests in flight at each VM, for the drain. VMs without any
  /// are left out.
  std::vector<vm_in_flight> InFlight() const { return counts_.All(); }

 private:
  using request = pending_request;
  using call = endpoint_call;
  using origin = request_origin;
  using stage = request_stage;

  request& Begin(origin from, request_envelope envelope, time_point now);
  request* Find(std::uint64_t number);
  /// Fills in a class that may be left out. Returns the answer to a request
  /// that can't be taken.
  std::optional<response> Check(request_envelope& envelope,
                                const routing_context& context,
                                time_point now) const;

  void AskClaim(request& item, time_point now);
  void Claim(request& item,
             const routing_context& context,
             time_point now,
             effects& out);
  void Route(request& item,
             const routing_context& context,
             time_point now,
             effects& out);
  void Forward(request& item,
               incarnation to,
               forward_stage wanted,
               const routing_context& context,
               effects& out);
  void TryElsewhere(request& item,
                    response refusal,
                    const routing_context& context,
                    time_point now,
                    effects& out);
  /// `own` is this entry's load of the service.
  void Enqueue(request& item,
               const service_load& own,
               const routing_context& context,
               time_point now,
               effects& out);
  /// Finds out that the process stood still.
  void NoticeFreeze(time_point now);
  void Pump(const service_name& service,
            const routing_context& context,
            time_point now,
            effects& out);
  /// Ends a request that the queue passed over.
  void Refuse(request& item,
              const service_routes& routes,
              const routing_context& context,
              time_point now,
              effects& out);
  void Dispatch(request& item,
                const endpoint_info& endpoint,
                time_point now,
                effects& out);
  /// Returns the least busy endpoint of this entry's with a free slot, or null.
  const endpoint_info* PickEndpoint(const service_routes& routes,
                                    const std::vector<vm_id>& avoid,
                                    time_point now) const;
  void OnAttemptFailed(request& item,
                       const endpoint_failed& event,
                       const vm_id& vm,
                       const routing_context& context,
                       time_point now,
                       effects& out);
  /// An endpoint or owner may be tried once more.
  bool MayRetry(const request& item, time_point now) const;
  bool ShouldAskAnother(const request& item,
                        const response& answer,
                        const routing_context& context,
                        time_point now);
  bool OtherHasFreeSlot(const request& item,
                        const routing_context& context) const;
  void LoseForwarded(request& item,
                     const routing_context& context,
                     time_point now,
                     effects& out);
  void Cancel(request& item,
              const routing_context& context,
              time_point now,
              effects& out);
  void Expire(request& item,
              const routing_context& context,
              time_point now,
              effects& out);

  /// Ends a request: settles its claim, answers its caller or peer, and forgets
  /// it. `item` is gone afterwards.
  void Finish(request& item,
              response answer,
              const routing_context& context,
              time_point now,
              effects& out);
  claim_question& AddQuestion(claim_need need,
                              const claim_key& key,
                              std::uint64_t number);
  void SettleClaim(const request& item, const response& answer);
  void CountUnserved(const request& item, const routing_context& context);
  void Detach(request& item);
  void Deliver(const origin& to,
               const service_name& service,
               response answer,
               const routing_context& context,
               time_point now,
               effects& out);
  void SendTo(incarnation peer,
              peer_message message,
              const routing_context& context,
              effects& out) const;
  time_point ExpiryOf(const request& item) const;

  /// Takes a call out and frees its slot. Returns nothing if there is none.
  std::optional<call> EndCall(call_id id);
  void TellHealth(const call& ended,
                  bool success,
                  const routing_context& context,
                  time_point now);
  service_load OwnLoad(const service_routes& routes, time_point now) const;
  bool MayUse(const endpoint_info& endpoint, time_point now) const;
  const work_class* ClassOf(const request_envelope& envelope,
                            const routing_context& context) const;

  incarnation self_;
  random_source random_;
  bool stopping_ = false;
  /// When a tick or a forwarded request was last handled.
  time_point last_seen_;
  /// Nothing is dispatched before; set after the process stood still.
  time_point hold_until_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_forward_ = 0;
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::uint64_t, request> requests_;
  /// Numbers of requests by when they expire.
  std::set<std::pair<time_point, std::uint64_t>> expiries_;
  std::unordered_map<std::uint64_t, std::uint64_t> by_caller_;
  std::unordered_map<request_id, std::uint64_t> by_peer_;
  std::unordered_map<std::uint64_t, std::uint64_t> by_forward_;
  /// Greatest forward number seen from each peer; they rise, so that a frame
  /// that comes twice is known and not run twice.
  std::unordered_map<incarnation, std::uint64_t> seen_forwards_;
  std::unordered_map<call_id, call> calls_;
  std::map<service_name, request_queue> queues_;
  call_counts counts_;
  /// VMs that said themselves that they leave, until the table knows.
  std::unordered_map<vm_id, time_point> leaving_;
  endpoint_health health_;
  owner_loads loads_;
  retry_budget budget_;
  duration claim_window_;
  std::vector<claim_question> questions_;
  /// Keys of requests that ended before their claim was decided.
  std::unordered_map<std::uint64_t, claim_key> undecided_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_REQUEST_CORE_H_
