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

/// All that can happen to an entry. An adapter turns sockets, timers and files
/// into these and hands each to `entry_core::Handle` with the time.
namespace plantainhead::core {

/// Time has passed; sent at a fixed interval (`kTickInterval`).
struct tick {};

inline constexpr duration kTickInterval = std::chrono::milliseconds(20);

/// A caller's request, already parsed. Sequence numbers come from the adapter.
struct request_arrived {
  std::uint64_t sequence = 0;
  request_envelope request;
};

/// The caller of this entry's own request hung up.
struct caller_disconnected {
  std::uint64_t sequence = 0;
};

struct frame_received {
  peer_frame frame;
};

/// A connection to another entry was lost; frames sent on it may not arrive.
struct peer_disconnected {
  incarnation peer = incarnation::kNone;
};

/// An endpoint's whole answer.
struct endpoint_replied {
  call_id call = call_id::kNone;
  int status = 0;
  header_list headers;
  shared_body body;
};

/// How sure it is that an endpoint has not started on a request.
enum class endpoint_failure {
  /// No byte left this entry.
  kNotSent,
  /// The endpoint said that it didn't run it (503 with `Plantain-Not-Run:
  /// true`).
  kRefused,
  /// Bytes left, no whole answer came.
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

struct endpoint_failed {
  call_id call = call_id::kNone;
  endpoint_failure failure = endpoint_failure::kMaybeSent;
  /// True when the endpoint said that it is leaving.
  bool leaving = false;
  std::string detail;
};

/// Records read from a followed stream, in order without gaps, or the news that
/// it has none beyond `end`. `entries` starts at the first offset after those
/// handed over before.
struct log_read {
  stream_name stream;
  std::vector<log_entry> entries;
  /// The greatest offset that the stream had when it was read.
  log_offset end = 0;
  /// The smallest offset that it still keeps.
  log_offset begin = 0;
};

/// A followed stream could not be read.
struct log_unavailable {
  stream_name stream;
  std::string detail;
};

/// How an append ended.
enum class append_result {
  /// The records are in the stream.
  kAppended,
  /// They are not and will not be.
  kRejected,
  /// Nobody knows; the same records can be appended again.
  kUnknown,
};

struct append_finished {
  append_id append = append_id::kNone;
  append_result result = append_result::kUnknown;
  /// Offset of the first record when `result` is `kAppended`.
  log_offset first = 0;
};

struct vm_list_read {
  std::vector<vm_listing> vms;
  std::vector<task_listing> tasks;
};

struct vm_list_unavailable {};

struct operation_finished {
  operation_id operation;
  operation_result result = operation_result::kUnknown;
  std::string detail;
};

/// An operator's command that needs a record. The answer is the action
/// `answer_operator` with the same sequence.
struct operator_command {
  std::uint64_t sequence = 0;
  std::string author;
  record_body body;
};

/// The process was asked to end in good order.
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
