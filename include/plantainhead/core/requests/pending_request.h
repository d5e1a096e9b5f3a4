#ifndef PLANTAINHEAD_CORE_REQUESTS_PENDING_REQUEST_H_
#define PLANTAINHEAD_CORE_REQUESTS_PENDING_REQUEST_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"

/// Records that `request_core` keeps for the requests and calls in progress.
namespace plantainhead::core {

/// Origin of a request that a caller sent to this entry.
struct caller_origin {
  std::uint64_t sequence = 0;
};

/// Origin of a request that another entry forwarded, with the id that the other
/// entry gave it.
struct peer_origin {
  incarnation peer = incarnation::kNone;
  request_id id;
};

using request_origin = std::variant<caller_origin, peer_origin>;

enum class request_stage { kClaiming, kForwarded, kQueued, kDispatched };

/// State of one request from its arrival at this entry until its answer.
struct pending_request {
  std::uint64_t number = 0;
  request_origin from;
  request_envelope envelope;
  time_point arrival;
  /// The time under which the request is stored in `request_core::expiries_`.
  time_point expiry;
  request_stage current_stage = request_stage::kQueued;
  /// True once this entry has asked its claims for the key.
  bool is_claim_requested = false;
  /// A failed attempt may have run; from then on no answer reports not-run.
  bool may_have_run = false;
  bool cancelled = false;
  /// False if another entry chose this one as the owner; that entry then
  /// chooses the next owner.
  bool may_forward = true;
  std::uint32_t attempts = 0;
  /// Answer of the last owner or endpoint that did not take the request.
  std::optional<response> refusal;
  std::vector<incarnation> avoid_owners;
  std::vector<vm_id> avoid_vms;
  /// The entry that it was forwarded to, the sequence number of the forward,
  /// and the stage that was requested there.
  incarnation peer = incarnation::kNone;
  std::uint64_t forward = 0;
  forward_stage requested_stage = forward_stage::kDispatch;
  /// The call in progress while the request is dispatched.
  call_id call = call_id::kNone;
};

/// A call that an endpoint has not finished yet.
struct endpoint_call {
  vm_id vm;
  service_name service;
  time_point started;
  /// Number of the request, 0 once the request has ended.
  std::uint64_t request = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_PENDING_REQUEST_H_
