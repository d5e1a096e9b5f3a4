#include "runtime/entry_observer.h"

namespace plantainhead::runtime {

void entry_observer::OnAnswer(const observed_answer& item) {
  // Class names come from the targets only; what callers send would grow the
  // metrics without bound.
  const std::string name =
      item.work == nullptr ? "unknown" : item.work->name.value();
  const std::string result(core::NameOf(item.answer.result));
  const std::string reason(core::NameOf(item.answer.reason));
  metrics_
      .Counter("plantain_requests_total", "Answers to callers",
               {{"class", name}, {"outcome", result}, {"reason", reason}})
      .Add();
  if (item.work == nullptr) {
    return;
  }
  metrics_
      .Latency("plantain_request_seconds", "From arrival to answer",
               {{"class", name}})
      .Record(item.elapsed);
}

void entry_observer::SetDecisionGauges(const core::entry_core& core,
                                       core::time_point now) {
  const auto set = [&](const char* name, const char* help, double value) {
    metrics_.Gauge(name, help).Set(value);
  };
  const core::fleet_state& fleet = core.fleet();
  const core::claim_figures claims = core.claim_ledger().figures(now);
  set("plantain_log_offset", "Offset of the control stream applied",
      static_cast<double>(fleet.offset));
  set("plantain_log_end", "Greatest offset heard of",
      static_cast<double>(core.control().greatest_known()));
  set("plantain_log_readable", "1 while the log can be read",
      core.control().log_readable() ? 1 : 0);
  set("plantain_ready", "1 while callers may be sent here",
      core.ready() ? 1 : 0);
  set("plantain_members", "Entries in the view",
      static_cast<double>(fleet.members.size()));
  set("plantain_targets_version", "Version of the targets in force",
      static_cast<double>(fleet.targets_version));
  set("plantain_claims_granted", "Claims granted since the start",
      static_cast<double>(claims.granted));
  set("plantain_claims_unavailable", "Claims refused for lack of the log",
      static_cast<double>(claims.unavailable));
  set("plantain_claims_held", "Claims in memory",
      static_cast<double>(claims.claims_held));
}

void entry_observer::SetLinkGauges(const entry::peer_link_counters& link) {
  const auto set = [&](const char* name, const char* help,
                       std::uint64_t value) {
    metrics_.Gauge(name, help).Set(static_cast<double>(value));
  };
  set("plantain_frames_sent", "Frames to other entries", link.frames_sent);
  set("plantain_frames_received", "Frames from other entries",
      link.frames_received);
  set("plantain_frame_bytes_sent", "Bytes to other entries", link.bytes_sent);
  set("plantain_frame_bytes_received", "Bytes from other entries",
      link.bytes_received);
  set("plantain_frames_malformed", "Connections closed for malformed bytes",
      link.malformed);
}

std::string entry_observer::Text(const core::entry_core& core,
                                 const entry::peer_link_counters& link,
                                 core::time_point now) {
  SetDecisionGauges(core, now);
  SetLinkGauges(link);
  return metrics_.ToText();
}

}  // namespace plantainhead::runtime
