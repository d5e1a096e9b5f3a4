#ifndef PLANTAINHEAD_CORE_ENTRY_EVENTS_H_
#define PLANTAINHEAD_CORE_ENTRY_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/platform_types.h"
#include "plantainhead/core/requests/request.h"

/// Events that an entry handles. An adapter converts socket, timer and file
/// activity into events and passes each to `entry_core::Handle` with the
/// current time.
namespace plantainhead::core {

/// Timer event, sent at a fixed interval (`kTickInterval`).
struct tick {};

inline constexpr duration kTickInterval = std::chrono::milliseconds(20);

/// A parsed request of a caller. The adapter assigns sequence numbers.
struct request_arrived {
  std::uint64_t sequence = 0;
  request_envelope request;
};

/// The caller of a request that arrived at this entry has disconnected.
struct caller_disconnected {
  std::uint64_t sequence = 0;
};

/// A frame was received from another entry.
struct frame_received {
  peer_frame frame;
};

/// The connection to another entry was lost; frames sent on it may not have
/// arrived.
struct peer_disconnected {
  incarnation peer = incarnation::kNone;
};

/// A complete response of an endpoint.
struct endpoint_replied {
  call_id call = call_id::kNone;
  int status = 0;
  header_list headers;
  shared_body body;
};

/// Whether an endpoint may have started to process a failed request.
enum class endpoint_failure {
  /// No byte was sent.
  kNotSent,
  /// The endpoint reported that it did not run the request (503 with
  /// `Plantain-Not-Run: true`).
  kRefused,
  /// Bytes were sent, but no complete response was received.
  kMaybeSent,
};

inline constexpr name_table<endpoint_failure, 3> kEndpointFailureNames = {{
    {endpoint_failure::kNotSent, "not-sent"},
    {endpoint_failure::kRefused, "refused"},
    {endpoint_failure::kMaybeSent, "maybe-sent"},
}};
inline constexpr const auto& NamesOf(endpoint_failure) {
  return kEndpointFailureNames;
}

/// A call to an endpoint failed.
struct endpoint_failed {
  call_id call = call_id::kNone;
  endpoint_failure failure = endpoint_failure::kMaybeSent;
  /// True if the endpoint reported that it is shutting down.
  bool leaving = false;
  std::string detail;
};

/// Records read from a followed stream, in order without gaps; empty if there
/// are none beyond `end`. `entries` starts at the first offset after those
/// delivered before.
struct log_read {
  stream_name stream;
  std::vector<log_entry> entries;
  /// Greatest offset of the stream at the time of the read.
  log_offset end = 0;
  /// Smallest offset that the stream still retains.
  log_offset begin = 0;
};

/// A followed stream could not be read.
struct log_unavailable {
  stream_name stream;
  std::string detail;
};

/// Result of an append.
enum class append_result {
  /// The records are in the stream.
  kAppended,
  /// The records are not in the stream and will not be.
  kRejected,
  /// It is unknown whether the records are in the stream; the same records can
  /// be appended again.
  kUnknown,
};

/// An append has ended.
struct append_finished {
  append_id append = append_id::kNone;
  append_result result = append_result::kUnknown;
  /// Offset of the first record when `result` is `kAppended`.
  log_offset first = 0;
};

/// The platform's VM and task lists were read.
struct vm_list_read {
  std::vector<vm_listing> vms;
  std::vector<task_listing> tasks;
};

/// The platform's VM list could not be read.
struct vm_list_unavailable {};

/// A platform operation has ended.
struct operation_finished {
  operation_id operation;
  operation_result result = operation_result::kUnknown;
  std::string detail;
};

/// An operator's command that requires a record. It is answered by the action
/// `answer_operator` with the same sequence.
struct operator_command {
  std::uint64_t sequence = 0;
  std::string author;
  record_body body;
};

/// The process was asked to shut down gracefully.
struct stop_requested {};

using event = std::variant<tick,
                           request_arrived,
                           caller_disconnected,
                           frame_received,
                           peer_disconnected,
                           endpoint_replied,
                           endpoint_failed,
                           log_read,
                           log_unavailable,
                           append_finished,
                           vm_list_read,
                           vm_list_unavailable,
                           operation_finished,
                           operator_command,
                           stop_requested>;

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_ENTRY_EVENTS_H_
