#ifndef PLANTAINHEAD_CORE_REQUESTS_REQUEST_CORE_H_
#define PLANTAINHEAD_CORE_REQUESTS_REQUEST_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "plantainhead/core/claims/claim_command.h"
#include "plantainhead/core/claims/claim_decision.h"
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

/// Routes each request through one entry, from its arrival (from a caller or
/// another entry) to its answer.
///
/// A request that is not idempotent and has a key first goes to the coordinator
/// of its key, which claims the key; then an owner of endpoints of its service
/// is chosen, which queues the request and calls an endpoint. The answer
/// returns along the same path. Each hop is a request with an id of its own, so
/// that late and duplicate messages match no request and are ignored.
///
/// Invariants: each arrival is answered exactly once; an answer reports not-run
/// only if no byte can have been sent to an endpoint and none will be; a
/// request that is not idempotent and may have been sent is never sent again.
///
/// Precondition of all events: `now` never decreases. Thread safety: none.
class request_core {
 public:
  /// `self` is this process's incarnation; `seed` seeds the random choices.
  /// `claim_window` is how long a key is remembered (`claim_options::window`):
  /// a request with a key expires at the latest that long after its claim was
  /// requested, since a grant is not valid any longer.
  request_core(incarnation self,
               std::uint64_t seed,
               duration claim_window = std::chrono::minutes(10));

  /// Handles a caller's request, which produces exactly one `answer_caller`.
  void OnArrival(const request_arrived& event,
                 const routing_context& context,
                 time_point now,
                 effects& out);
  /// Handles the loss of the caller's connection: the request ends unless it
  /// was dispatched. It is still answered, so that it is counted.
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
  /// Handles the load that came with another entry's heartbeat.
  void OnPeerLoad(incarnation from, const std::vector<service_load>& load);
  /// Handles the loss of the connection to a peer, or its leave or expulsion.
  void OnPeerDisconnected(incarnation peer,
                          const routing_context& context,
                          time_point now,
                          effects& out);
  /// Handles the suspicion of a member that sends no heartbeats. Idempotent
  /// requests are routed elsewhere; others wait for the answer, the loss of the
  /// connection or their deadline.
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

  /// Handles a decision of the claims. A grant for a request that has ended is
  /// released.
  void OnClaimDecision(const claim_decision& decision,
                       const routing_context& context,
                       time_point now,
                       effects& out);

  /// Handles a rebuild of `context.endpoints`. Requests queued for endpoints
  /// that moved to other owners are routed to them.
  void OnEndpointsChanged(const routing_context& context,
                          time_point now,
                          effects& out);

  /// Ends requests whose deadline has passed, and dispatches to slots that
  /// became free by the passage of time.
  void OnTick(const routing_context& context, time_point now, effects& out);

  /// Handles the shutdown of the process: new requests are answered not-run,
  /// those in progress continue.
  void OnStop();

  /// Returns the commands to be passed to the claims, in order, and clears
  /// them. Call it after each event.
  std::vector<claim_command> TakeClaimCommands();

  /// Returns true once no request is in progress and no call is in flight.
  bool Idle() const { return requests_.empty() && calls_.empty(); }

  /// Returns the load of this entry's endpoints for each service, for
  /// heartbeats.
  std::vector<service_load> Load(const routing_context& context,
                                 time_point now) const;

  /// Returns the number of calls in flight at each VM, for draining. VMs
  /// without any are left out.
  std::vector<vm_in_flight> InFlight() const { return counts_.NonZeroCounts(); }

 private:
  using request = pending_request;
  using call = endpoint_call;
  using origin = request_origin;
  using stage = request_stage;

  request& AddRequest(origin from, request_envelope envelope, time_point now);
  request* Find(std::uint64_t number);
  /// Sets the class if it was left out and is unambiguous. Returns the answer
  /// to a request that cannot be accepted.
  std::optional<response> Validate(request_envelope& envelope,
                                   const routing_context& context,
                                   time_point now) const;

  void RequestLocalClaim(request& item, time_point now);
  void AcquireClaim(request& item,
                    const routing_context& context,
                    time_point now,
                    effects& out);
  void Route(request& item,
             const routing_context& context,
             time_point now,
             effects& out);
  void Forward(request& item,
               incarnation to,
               forward_stage requested_stage,
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
  /// Detects that the process was paused.
  void DetectStall(time_point now);
  void DispatchQueued(const service_name& service,
                      const routing_context& context,
                      time_point now,
                      effects& out);
  /// Ends a request that the queue skipped.
  void RejectQueued(request& item,
                    const service_routes& routes,
                    const routing_context& context,
                    time_point now,
                    effects& out);
  void Dispatch(request& item,
                const endpoint_info& endpoint,
                time_point now,
                effects& out);
  /// Returns the least loaded endpoint of this entry that has a free slot, or
  /// null.
  const endpoint_info* PickEndpoint(const service_routes& routes,
                                    const std::vector<vm_id>& avoid,
                                    time_point now) const;
  void OnAttemptFailed(request& item,
                       const endpoint_failed& event,
                       const vm_id& vm,
                       const routing_context& context,
                       time_point now,
                       effects& out);
  /// Returns whether one more endpoint or owner may be tried.
  bool MayRetry(const request& item, time_point now) const;
  bool ShouldRetryElsewhere(const request& item,
                            const response& answer,
                            const routing_context& context,
                            time_point now);
  bool OtherHasFreeSlot(const request& item,
                        const routing_context& context) const;
  void OnForwardLost(request& item,
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

  /// Ends a request: settles its claim, answers its caller or peer, and removes
  /// it. `item` is dangling afterwards.
  void Finish(request& item,
              response answer,
              const routing_context& context,
              time_point now,
              effects& out);
  claim_command& AddClaimCommand(claim_operation operation,
                                 const claim_key& key,
                                 std::uint64_t number);
  void SettleClaim(const request& item, const response& answer);
  void CountUnserved(const request& item, const routing_context& context);
  void RemoveFromIndexes(request& item);
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

  /// Removes a call and frees its slot. Returns nothing if there is no such
  /// call.
  std::optional<call> EndCall(call_id id);
  void ReportHealth(const call& ended,
                    bool success,
                    const routing_context& context,
                    time_point now);
  service_load OwnLoad(const service_routes& routes, time_point now) const;
  bool CanDispatchTo(const endpoint_info& endpoint, time_point now) const;
  const work_class* ClassOf(const request_envelope& envelope,
                            const routing_context& context) const;

  incarnation self_;
  random_source random_;
  bool stopping_ = false;
  /// Time at which a tick or a forwarded request was last handled.
  time_point last_activity_;
  /// No queued request is dispatched before this time; set after the process
  /// was paused.
  time_point dispatch_hold_until_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_forward_ = 0;
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::uint64_t, request> requests_;
  /// Request numbers ordered by expiry time.
  std::set<std::pair<time_point, std::uint64_t>> expiries_;
  std::unordered_map<std::uint64_t, std::uint64_t> by_caller_;
  std::unordered_map<request_id, std::uint64_t> by_peer_;
  std::unordered_map<std::uint64_t, std::uint64_t> by_forward_;
  /// Greatest forward number received from each peer. The numbers rise, so that
  /// a duplicate frame is detected and its request is not run twice.
  std::unordered_map<incarnation, std::uint64_t> seen_forwards_;
  std::unordered_map<call_id, call> calls_;
  std::map<service_name, request_queue> queues_;
  call_counts counts_;
  /// VMs that announced themselves that they are leaving, until the endpoint
  /// table shows it.
  std::unordered_map<vm_id, time_point> leaving_;
  endpoint_health health_;
  owner_loads loads_;
  retry_budget budget_;
  duration claim_window_;
  std::vector<claim_command> claim_commands_;
  /// Keys of requests that ended before their claim was decided.
  std::unordered_map<std::uint64_t, claim_key> abandoned_claims_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_REQUEST_CORE_H_
