#include "runtime/entry_observer.h"

namespace plantainhead::runtime {

void entry_observer::OnAnswer(const core::request_envelope& request,
                              const core::response& answer,
                              core::time_point arrived,
                              core::time_point now) {
  recorder_.Record(request, answer, arrived, now);
}

void entry_observer::OnFold(const core::fleet_state& fleet) {
  recorder_.FollowTargets(fleet);
}

void entry_observer::SetDecisionGauges(const core::entry_core& core,
                                       core::time_point now) {
  const auto set = [&](const char* name, const char* help, double value) {
    metrics_.Gauge(name, help).Set(value);
  };
  const core::fleet_state& fleet = core.fleet();
  const core::claim_stats claims = core.claim_ledger().stats(now);
  set("plantainhead_log_offset", "Offset of the control stream applied",
      static_cast<double>(fleet.offset));
  set("plantainhead_log_end", "Greatest offset heard of",
      static_cast<double>(core.control().max_known_offset()));
  set("plantainhead_log_readable", "1 while the log can be read",
      core.control().log_readable() ? 1 : 0);
  set("plantainhead_ready", "1 while callers may be sent here",
      core.ready() ? 1 : 0);
  set("plantainhead_members", "Entries in the view",
      static_cast<double>(fleet.members.size()));
  set("plantainhead_targets_version", "Version of the targets in force",
      static_cast<double>(fleet.targets_version));
  set("plantainhead_claims_granted", "Claims granted since the start",
      static_cast<double>(claims.granted));
  set("plantainhead_claims_unavailable", "Claims refused for lack of the log",
      static_cast<double>(claims.unavailable));
  set("plantainhead_claims_refusing", "Homes here that refuse claims",
      static_cast<double>(claims.refusing));
  set("plantainhead_log_fault", "1 while the log can't be followed",
      core.control().fault() == core::log_fault::kNone ? 0 : 1);
  set("plantainhead_divergent_peers", "Entries with another fold than this one",
      static_cast<double>(core.control().divergent_peers().size()));
  set("plantainhead_claims_held", "Claims in memory",
      static_cast<double>(claims.claims_held));
}

void entry_observer::SetCallerGauges(
    const caller::http_server_counters& callers) {
  metrics_
      .Gauge("plantainhead_body_bytes", "Bytes of callers' bodies in memory")
      .Set(static_cast<double>(callers.body_bytes));
  metrics_
      .Gauge("plantainhead_exchanges_interrupted",
             "Exchanges with callers ended for want of memory or threads")
      .Set(static_cast<double>(callers.interrupted));
  metrics_
      .Gauge("plantainhead_connections_turned_away",
             "Callers' connections closed because too many waited for a thread")
      .Set(static_cast<double>(callers.turned_away));
}

void entry_observer::SetLinkGauges(const entry::peer_link_counters& link) {
  const auto set = [&](const char* name, const char* help,
                       std::uint64_t value) {
    metrics_.Gauge(name, help).Set(static_cast<double>(value));
  };
  set("plantainhead_frames_sent", "Frames to other entries", link.frames_sent);
  set("plantainhead_frames_received", "Frames from other entries",
      link.frames_received);
  set("plantainhead_frame_bytes_sent", "Bytes to other entries",
      link.bytes_sent);
  set("plantainhead_frame_bytes_received", "Bytes from other entries",
      link.bytes_received);
  set("plantainhead_peer_connections_evicted",
      "Peers' connections closed because others needed their place or memory",
      link.evicted);
  set("plantainhead_frames_malformed", "Connections closed for malformed bytes",
      link.malformed);
}

}  // namespace plantainhead::runtime
