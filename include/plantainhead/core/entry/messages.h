#ifndef PLANTAINHEAD_CORE_ENTRY_MESSAGES_H_
#define PLANTAINHEAD_CORE_ENTRY_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/requests/request_counts.h"
#include "plantainhead/core/time.h"

/// Messages between entries. Each travels in a frame with the sender's
/// incarnation and the number of the view that the sender acts under.
namespace plantainhead::core {

/// How full a sender's share of one service is; rides on heartbeats and
/// replies.
struct service_load {
  service_name service;
  std::uint32_t slots = 0;
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;

  friend bool operator==(const service_load&, const service_load&) = default;
};

/// What a forwarded request still needs.
enum class forward_stage : std::uint8_t {
  /// The receiver holds the key's partition and is to claim it, then route it.
  kClaim,
  /// Any claim is made; the receiver owns endpoints and is to dispatch it.
  kDispatch,
};

/// Hands a request to another entry. `request.deadline` travels as the time
/// that is left, since two VMs' clocks differ.
struct forward_request {
  request_id id;
  forward_stage stage = forward_stage::kDispatch;
  request_envelope request;
};

/// The whole answer to a forwarded request.
struct forward_reply {
  request_id id;
  response answer;
  std::vector<service_load> load;
};

/// The sender no longer waits for a forwarded request. If it has not been
/// dispatched it is dropped.
struct cancel_forward {
  request_id id;
};

/// Requests that the sender has in flight at one VM.
struct vm_in_flight {
  vm_id vm;
  std::uint32_t requests = 0;

  friend bool operator==(const vm_in_flight&, const vm_in_flight&) = default;
};

/// Requests of one class that a sender has answered since its start.
struct class_counts {
  class_name work;
  request_counts counts;

  friend bool operator==(const class_counts&, const class_counts&) = default;
};

/// Time for which a sender's endpoints held slots since its start.
struct service_times {
  service_name service;
  std::uint64_t finished = 0;
  duration held{};

  friend bool operator==(const service_times&, const service_times&) = default;
};

/// Tells another entry how the sender is. Most carry no load, see `complete`.
struct heartbeat {
  std::uint64_t sequence = 0;
  /// Offset of the control stream that the sender has applied.
  log_offset offset = 0;
  /// Digest of the sender's fold at `offset`.
  std::uint64_t digest = 0;
  bool ready = false;
  bool stopping = false;
  std::vector<service_load> load;
  /// For VMs that are not serving; a VM that is missing has none in flight.
  std::vector<vm_in_flight> in_flight;
  /// False when `load` and `in_flight` were left out to save bytes; what was
  /// told before then still holds for the offset that it was told with.
  bool complete = true;
  /// Members that the sender watched and has missed, not those that it knows of
  /// by others.
  std::vector<incarnation> suspected;
  /// Classes and services of which the sender has seen requests; empty when
  /// left out.
  std::vector<class_counts> classes = {};
  std::vector<service_times> times = {};
};

using peer_message =
    std::variant<forward_request, forward_reply, cancel_forward, heartbeat>;

/// A message with the sender that it came from.
struct peer_frame {
  incarnation from = incarnation::kNone;
  log_offset view = 0;
  peer_message message;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_ENTRY_MESSAGES_H_
