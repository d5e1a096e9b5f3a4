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

/// All that an entry can do. An adapter carries these out in their order.
namespace plantainhead::core {

/// Ends a caller's request. Sent exactly once for each `request_arrived`.
struct answer_caller {
  std::uint64_t sequence = 0;
  response answer;
};

/// Sends a message to another entry; dropped when there is no connection, in
/// which case `peer_disconnected` tells so.
struct send_frame {
  incarnation to = incarnation::kNone;
  std::string host;
  std::uint16_t port = 0;
  peer_frame frame;
};

/// Sends a request to an endpoint; ends in `endpoint_replied` or
/// `endpoint_failed`, exactly once.
struct call_endpoint {
  call_id call = call_id::kNone;
  vm_id vm;
  std::string host;
  std::uint16_t port = 0;
  request_id request;
  request_envelope envelope;
};

/// Appends records to a stream as one append; ends in `append_finished`.
struct append_records {
  append_id append = append_id::kNone;
  stream_name stream;
  std::vector<record> records;
};

/// Starts to read a stream after `after`; following it again starts anew there.
struct follow_stream {
  stream_name stream;
  log_offset after = 0;
};

struct unfollow_stream {
  stream_name stream;
};

/// Carries out an operation at the platform; ends in `operation_finished`.
struct run_operation {
  operation_id operation;
  platform_operation what;
};

/// How an operator's command ended.
enum class command_result {
  kAccepted,
  /// The object has another generation; `detail` shows what is in force.
  kConflict,
  kInvalid,
  /// The log can't be reached; whether the record will appear isn't known.
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

struct answer_operator {
  std::uint64_t sequence = 0;
  command_result result = command_result::kUnknown;
  log_offset offset = 0;
  std::string detail;
};

/// Tells the balancer whether this entry takes requests.
struct set_ready {
  bool ready = false;
  std::string reason;
};

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

/// A line for the log.
struct write_log_message {
  log_severity level = log_severity::kInfo;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// The entry has ended all it had to do.
struct exit_process {
  /// True when the fold dropped this entry while it lived: the process is to
  /// start anew under another incarnation.
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
