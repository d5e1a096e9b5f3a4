#ifndef PLANTAINHEAD_TESTS_CORE_REQUESTS_SESSION_TEXT_H_
#define PLANTAINHEAD_TESTS_CORE_REQUESTS_SESSION_TEXT_H_

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "plantainhead/core/claims/claim_command.h"
#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/visit.h"
#include "plantainhead/platform/record_codec.h"

/// Formats events and actions as lines of text, for golden files of sessions.
namespace plantainhead::core {

template <typename Number>
std::string Digits(Number value) {
  return std::to_string(static_cast<std::uint64_t>(value));
}

inline std::string Text(const request_id& id) {
  return Digits(id.entry) + "/" + Digits(id.sequence);
}

inline std::string Text(const shared_body& body) {
  return body == nullptr ? "no body" : "\"" + *body + "\"";
}

inline std::string Text(const request_envelope& item) {
  std::string text = item.method + " /s/" + item.service.value() + item.path +
                     " class=" + item.work.value() +
                     (item.idempotent ? " idempotent" : " once");
  return text + (item.key ? " key=" + item.key->value() : "");
}

inline std::string Text(const response& item) {
  std::string text =
      std::to_string(item.status) + " " + std::string(NameOf(item.result));
  if (item.reason != answer_reason::kNone) {
    text += " " + std::string(NameOf(item.reason)) + " (" + item.detail + ")";
  }
  if (item.retry_after) {
    text += " retry-after=" + Digits(item.retry_after->count()) + "us";
  }
  return text + (item.body ? " " + Text(item.body) : "");
}

inline std::string Text(const std::vector<service_load>& loads) {
  std::string text;
  for (const service_load& load : loads) {
    text += " " + load.service.value() + "=" + Digits(load.busy) + "/" +
            Digits(load.slots) + "+" + Digits(load.queued);
  }
  return text;
}

inline std::string Text(const peer_message& message) {
  const overloaded visitor{
      [](const forward_request& item) {
        const bool claim = item.stage == forward_stage::kClaim;
        return "forward " + Text(item.id) +
               (claim ? " to claim: " : " to dispatch: ") + Text(item.request);
      },
      [](const forward_reply& item) {
        return "reply " + Text(item.id) + " " + Text(item.answer) + " load" +
               Text(item.load);
      },
      [](const cancel_forward& item) { return "cancel " + Text(item.id); },
      [](const heartbeat& item) {
        return "heartbeat " + Digits(item.sequence) + " at offset " +
               Digits(item.offset) + (item.ready ? " ready" : "") +
               (item.stopping ? " stopping" : "") + " load" + Text(item.load);
      }};
  return std::visit(visitor, message);
}

inline std::string Text(const vm_listing& item) {
  return item.vm.value() + " " + std::string(NameOf(item.state)) + " " +
         item.zone.value() + " " + item.service.value();
}

inline std::string Text(const event& what) {
  const overloaded visitor{
      [](const tick&) { return std::string("tick"); },
      [](const request_arrived& item) {
        return "request_arrived " + Digits(item.sequence) + ": " +
               Text(item.request);
      },
      [](const caller_disconnected& item) {
        return "caller_gone " + Digits(item.sequence);
      },
      [](const frame_received& item) {
        return "frame_received from " + Digits(item.frame.from) + ": " +
               Text(item.frame.message);
      },
      [](const peer_disconnected& item) {
        return "peer_disconnected " + Digits(item.peer);
      },
      [](const endpoint_replied& item) {
        return "endpoint_replied " + Digits(item.call) + ": " +
               std::to_string(item.status) + " " + Text(item.body);
      },
      [](const endpoint_failed& item) {
        return "endpoint_failed " + Digits(item.call) + ": " +
               std::string(NameOf(item.failure)) +
               (item.leaving ? " leaving" : "");
      },
      [](const log_read& item) {
        std::string text = "log_read " + item.stream.value();
        for (const log_entry& entry : item.entries) {
          text += "\n    " + Digits(entry.offset) + " " +
                  platform::EncodeRecord(entry.content);
        }
        return text;
      },
      [](const log_unavailable& item) {
        return "log_unavailable " + item.stream.value();
      },
      [](const append_finished& item) {
        return "append_finished " + Digits(item.append) + " result " +
               Digits(item.result) + " first " + Digits(item.first);
      },
      [](const vm_list_read& item) {
        std::string text = "vm_list_read";
        for (const vm_listing& listing : item.vms) {
          text += "\n    " + Text(listing);
        }
        return text;
      },
      [](const vm_list_unavailable&) {
        return std::string("vm_list_unavailable");
      },
      [](const operation_finished& item) {
        return "operation_finished " + item.operation.value() + " " +
               std::string(NameOf(item.result));
      },
      [](const operator_command& item) {
        return "operator_command " + Digits(item.sequence) + " " +
               platform::EncodeRecord({record_id(), item.author, item.body});
      },
      [](const stop_requested&) { return std::string("stop_requested"); }};
  return std::visit(visitor, what);
}

inline std::string Text(const action& what) {
  const overloaded visitor{
      [](const answer_caller& item) {
        return "answer_caller " + Digits(item.sequence) + ": " +
               Text(item.answer);
      },
      [](const send_frame& item) {
        return "send_frame to " + Digits(item.to) + ": " +
               Text(item.frame.message);
      },
      [](const call_endpoint& item) {
        return "call_endpoint " + Digits(item.call) + " at " + item.vm.value() +
               ": " + Text(item.envelope);
      },
      [](const append_records& item) {
        std::string text =
            "append_records " + Digits(item.append) + " " + item.stream.value();
        for (const record& one : item.records) {
          text += "\n    " + platform::EncodeRecord(one);
        }
        return text;
      },
      [](const follow_stream& item) {
        return "follow_stream " + item.stream.value() + " after " +
               Digits(item.after);
      },
      [](const unfollow_stream& item) {
        return "unfollow_stream " + item.stream.value();
      },
      [](const run_operation& item) {
        return "run_operation " + item.operation.value() + " kind " +
               Digits(item.what.index());
      },
      [](const answer_operator& item) {
        return "answer_operator " + Digits(item.sequence) + " " +
               std::string(NameOf(item.result)) + " " + item.detail;
      },
      [](const set_ready& item) {
        return std::string("set_ready ") + (item.ready ? "yes" : "no: ") +
               item.reason;
      },
      [](const write_log_message& item) {
        return "write_note " + std::string(NameOf(item.level)) + ": " +
               item.message;
      },
      [](const exit_process&) { return std::string("exit_process"); }};
  return std::visit(visitor, what);
}

inline std::string Text(const claim_command& item) {
  return "claim " + std::string(NameOf(item.operation)) + " " +
         item.key.value() + " for " + Text(item.request);
}

/// Collects the transcript of a session in chronological order. Input lines
/// start with "< ", output lines with "> ".
class session_text {
 public:
  void Title(const std::string& words) { text_ << "\n# " << words << "\n"; }
  void In(time_point at, const std::string& line) {
    if (start_ == time_point()) {
      start_ = at;
    }
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(at - start_);
    text_ << "+" << since.count() << "ms < " << line << "\n";
  }
  void Out(const std::string& line) { text_ << "  > " << line << "\n"; }

  std::string str() const { return text_.str(); }

 private:
  time_point start_;
  std::ostringstream text_;
};

/// Returns the content of the golden file `name`. With
/// `PLANTAINHEAD_UPDATE_GOLDEN=1` in the environment, which CI never sets, the
/// file is first replaced by `current`.
inline std::string GoldenText(const std::string& name,
                              const std::string& current) {
  const std::string path = std::string(PLANTAINHEAD_GOLDEN_DIR) + "/" + name;
  const char* update = std::getenv("PLANTAINHEAD_UPDATE_GOLDEN");
  if (update != nullptr && std::string(update) == "1") {
    std::ofstream(path) << current;
  }
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_REQUESTS_SESSION_TEXT_H_
