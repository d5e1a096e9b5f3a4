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

/// What `request_core` keeps of the requests at hand.
namespace plantainhead::core {

/// The request came from a caller of this entry.
struct caller_origin {
  std::uint64_t sequence = 0;
};

/// The request was forwarded by another entry, under that entry's id.
struct peer_origin {
  incarnation peer = incarnation::kNone;
  request_id id;
};

using request_origin = std::variant<caller_origin, peer_origin>;

enum class request_stage { kClaiming, kForwarded, kQueued, kDispatched };

/// One request on its way through this entry.
struct pending_request {
  std::uint64_t number = 0;
  request_origin from;
  request_envelope envelope;
  time_point arrival;
  /// Its place among the expiries.
  time_point expiry;
  request_stage current_stage = request_stage::kQueued;
  /// A claim was asked for here.
  bool is_claim_requested = false;
  /// A lost attempt may have run; from then on no answer says not-run.
  bool may_have_run = false;
  bool cancelled = false;
  /// False when another entry chose this one as the owner: then that entry
  /// looks for the next one.
  bool may_forward = true;
  std::uint32_t attempts = 0;
  /// What the last owner or endpoint that didn't take it said.
  std::optional<response> refusal;
  std::vector<incarnation> avoid_owners;
  std::vector<vm_id> avoid_vms;
  /// Where it was forwarded to, under which number, and what for.
  incarnation peer = incarnation::kNone;
  std::uint64_t forward = 0;
  forward_stage requested_stage = forward_stage::kDispatch;
  /// The attempt in flight, while dispatched.
  call_id call = call_id::kNone;
};

/// One call that an endpoint has not ended yet.
struct endpoint_call {
  vm_id vm;
  service_name service;
  time_point started;
  /// Number of the request, 0 once it has ended.
  std::uint64_t request = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_PENDING_REQUEST_H_
