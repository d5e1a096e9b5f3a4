#ifndef PLANTAINHEAD_CORE_ENTRY_MESSAGES_H_
#define PLANTAINHEAD_CORE_ENTRY_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/requests/request_counts.h"
#include "plantainhead/core/time.h"

/// Messages between entries. Each is sent in a frame with the sender's
/// incarnation and the view number that the sender acts under.
namespace plantainhead::core {

/// Load of the sender's endpoints of one service; included in heartbeats and
/// replies.
struct service_load {
  service_name service;
  std::uint32_t slots = 0;
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;

  friend bool operator==(const service_load&, const service_load&) = default;
};

/// Next processing step of a forwarded request.
enum class forward_stage : std::uint8_t {
  /// The receiver owns the key's partition: it must claim the key, then route
  /// the request.
  kClaim,
  /// Any required claim is made; the receiver owns endpoints and must dispatch
  /// the request.
  kDispatch,
};

/// Forwards a request to another entry. `request.deadline` is sent as the
/// remaining time, since the clocks of two VMs differ.
struct forward_request {
  request_id id;
  forward_stage stage = forward_stage::kDispatch;
  request_envelope request;
};

/// Complete response to a forwarded request.
struct forward_reply {
  request_id id;
  response answer;
  std::vector<service_load> load;
};

/// Cancels a forwarded request whose sender no longer waits for it. The
/// receiver drops it if it has not been dispatched.
struct cancel_forward {
  request_id id;
};

/// Number of requests that the sender has in flight at one VM.
struct vm_in_flight {
  vm_id vm;
  std::uint32_t requests = 0;

  friend bool operator==(const vm_in_flight&, const vm_in_flight&) = default;
};

/// Counts of requests of one class that the sender has answered since it
/// started.
struct class_counts {
  class_name work;
  request_counts counts;

  friend bool operator==(const class_counts&, const class_counts&) = default;
};

/// Slot usage of the sender's endpoints of one service since it started:
/// finished requests and total time that slots were held.
struct service_times {
  service_name service;
  std::uint64_t finished = 0;
  duration held{};

  friend bool operator==(const service_times&, const service_times&) = default;
};

/// Periodic status report to another entry. Most heartbeats omit the load, see
/// `complete`.
struct heartbeat {
  std::uint64_t sequence = 0;
  /// Offset of the control stream up to which the sender has applied records.
  log_offset offset = 0;
  /// Digest of the sender's fleet state at `offset`.
  std::uint64_t digest = 0;
  bool ready = false;
  bool stopping = false;
  std::vector<service_load> load;
  /// Requests in flight at VMs that are not serving; a VM that is not listed
  /// has none.
  std::vector<vm_in_flight> in_flight;
  /// False if `load` and `in_flight` were omitted to save bandwidth. The
  /// receiver then keeps those of the last complete heartbeat, together with
  /// its `offset`.
  bool complete = true;
  /// Members that the sender monitors itself and suspects, not those whose
  /// suspicion was reported by others.
  std::vector<incarnation> suspected;
  /// Counters of the classes and services for which the sender has received
  /// requests; empty if omitted.
  std::vector<class_counts> classes = {};
  std::vector<service_times> times = {};
};

using peer_message =
    std::variant<forward_request, forward_reply, cancel_forward, heartbeat>;

/// A message with its sender and the sender's view number.
struct peer_frame {
  incarnation from = incarnation::kNone;
  log_offset view = 0;
  peer_message message;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_ENTRY_MESSAGES_H_
