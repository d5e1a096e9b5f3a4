#ifndef PLANTAINHEAD_CORE_ENTRY_ACTIONS_H_
#define PLANTAINHEAD_CORE_ENTRY_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/platform_types.h"
#include "plantainhead/core/requests/request.h"

/// Actions of an entry. An adapter executes them in order.
namespace plantainhead::core {

/// Answers a caller's request. Sent exactly once for each `request_arrived`.
struct answer_caller {
  std::uint64_t sequence = 0;
  response answer;
};

/// Sends a message to another entry. If there is no connection the message is
/// dropped and `peer_disconnected` reports it.
struct send_frame {
  incarnation to = incarnation::kNone;
  std::string host;
  std::uint16_t port = 0;
  peer_frame frame;
};

/// Sends a request to an endpoint. Results in exactly one `endpoint_replied` or
/// `endpoint_failed` event.
struct call_endpoint {
  call_id call = call_id::kNone;
  vm_id vm;
  std::string host;
  std::uint16_t port = 0;
  request_id request;
  request_envelope envelope;
};

/// Appends records to a stream as one append. Results in an `append_finished`
/// event.
struct append_records {
  append_id append = append_id::kNone;
  stream_name stream;
  std::vector<record> records;
};

/// Starts reading a stream after offset `after`. If the stream is already
/// followed, reading restarts there.
struct follow_stream {
  stream_name stream;
  log_offset after = 0;
};

/// Stops reading a stream.
struct unfollow_stream {
  stream_name stream;
};

/// Executes a platform operation. Results in an `operation_finished` event.
struct run_operation {
  operation_id operation;
  platform_operation what;
};

/// Result of an operator's command.
enum class command_result {
  kAccepted,
  /// The object has a different generation; `detail` describes the value in
  /// force.
  kConflict,
  kInvalid,
  /// The log cannot be reached; it is unknown whether the record will appear.
  kUnknown,
};

inline constexpr name_table<command_result, 4> kCommandResultNames = {{
    {command_result::kAccepted, "accepted"},
    {command_result::kConflict, "conflict"},
    {command_result::kInvalid, "invalid"},
    {command_result::kUnknown, "unknown"},
}};
inline constexpr const auto& NamesOf(command_result) {
  return kCommandResultNames;
}

/// Answers an operator's command.
struct answer_operator {
  std::uint64_t sequence = 0;
  command_result result = command_result::kUnknown;
  log_offset offset = 0;
  std::string detail;
};

/// Informs the load balancer whether this entry accepts requests.
struct set_ready {
  bool ready = false;
  std::string reason;
};

/// Severity of a message in the process log.
enum class log_severity { kDebug, kInfo, kWarning, kError };

inline constexpr name_table<log_severity, 4> kLogSeverityNames = {{
    {log_severity::kDebug, "debug"},
    {log_severity::kInfo, "info"},
    {log_severity::kWarning, "warning"},
    {log_severity::kError, "error"},
}};
inline constexpr const auto& NamesOf(log_severity) {
  return kLogSeverityNames;
}

/// Writes a message to the process log.
struct write_log_message {
  log_severity level = log_severity::kInfo;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Ends the process; the entry has completed all its work.
struct exit_process {
  /// True if this entry was removed from the view while it was running: the
  /// process must restart under a new incarnation.
  bool restart = false;
};

using action = std::variant<answer_caller,
                            send_frame,
                            call_endpoint,
                            append_records,
                            follow_stream,
                            unfollow_stream,
                            run_operation,
                            answer_operator,
                            set_ready,
                            write_log_message,
                            exit_process>;

using action_list = std::vector<action>;

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_ENTRY_ACTIONS_H_
