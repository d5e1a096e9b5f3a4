#ifndef PLANTAINHEAD_CORE_ENTRY_ENTRY_CORE_H_
#define PLANTAINHEAD_CORE_ENTRY_ENTRY_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/claims/claims.h"
#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/fleet/fleet_meter.h"
#include "plantainhead/core/fleet/planner.h"
#include "plantainhead/core/log/append_ids.h"
#include "plantainhead/core/log/control_log.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/log/lease.h"
#include "plantainhead/core/membership/membership.h"
#include "plantainhead/core/random.h"
#include "plantainhead/core/requests/endpoint_table.h"
#include "plantainhead/core/requests/request_core.h"
#include "plantainhead/core/requests/request_meter.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

struct entry_core_options {
  /// This process; `who` must not be `kNone`.
  entry_member self;
  membership_options membership;
  claim_options claims;
  planner_options planner;
  /// `queue.self` and `name` are taken from `self`.
  control_log_settings control;
  /// `self` is taken from above.
  planner_lease_settings lease;
  /// How long requests are still taken after a stop was asked for, so that the
  /// balancer has seen that the entry isn't ready.
  duration stop_notice = std::chrono::seconds(1);
  /// How long an entry that has ended its work waits for its leave record.
  duration leave_timeout = std::chrono::seconds(2);
  /// How often this entry's counts of requests are recorded.
  duration count_interval = std::chrono::minutes(5);
  /// Starts the random choices.
  std::uint64_t seed = 1;
};

/// All decisions of one entry: events in, actions out.
///
///     entry_core core(options);
///     action_list actions = core.Start(now);
///     // for each event, from one thread:
///     actions = core.Handle(event, now);
///
/// The modules decide; this class hands events to them and moves what one says
/// to the others. It reads no clock and does no input or output, so a recorded
/// sequence of events and times always gives the same actions.
///
/// Thread safety: none. Precondition of all calls: `now` never goes back.
class entry_core {
 public:
  explicit entry_core(entry_core_options options);
  entry_core(const entry_core&) = delete;
  entry_core& operator=(const entry_core&) = delete;

  /// Returns the first actions. Precondition: called once, before `Handle`.
  action_list Start(time_point now);

  /// Takes in one event and returns what is to be done, in order.
  action_list Handle(const event& item, time_point now);

  /// Returns the fold of the control stream as far as it was read.
  const fleet_state& fleet() const { return control_.state(); }
  const entry_member& self() const { return options_.self; }
  const endpoint_table& endpoints() const { return endpoints_; }
  const claims& claim_ledger() const { return claims_; }
  const control_log& control() const { return control_; }
  const planner& fleet_planner() const { return planner_; }
  const membership& members() const { return membership_; }
  const request_meter& meter() const { return meter_; }

  /// Returns how full this entry's own endpoints are.
  std::vector<service_load> Load(time_point now) const;

  /// Returns true while maintenance keeps a VM of the service's pools from
  /// work.
  bool IsInMaintenance(const service_name& service) const;

  /// Returns the class that a request names, or its service's only class when
  /// it names none; null when there is no such class.
  const work_class* ClassOf(const request_envelope& request) const;

  bool ready() const { return ready_; }
  /// Returns why the entry isn't ready; empty when it is.
  const std::string& not_ready_reason() const { return not_ready_reason_; }
  bool stopping() const { return stop_requested_at_.has_value(); }

 private:
  // One overload for each event.
  void On(const tick& item, time_point now, effects& out);
  void On(const request_arrived& item, time_point now, effects& out);
  void On(const caller_disconnected& item, time_point now, effects& out);
  void On(const frame_received& item, time_point now, effects& out);
  void On(const peer_disconnected& item, time_point now, effects& out);
  void On(const endpoint_replied& item, time_point now, effects& out);
  void On(const endpoint_failed& item, time_point now, effects& out);
  void On(const log_read& item, time_point now, effects& out);
  void On(const log_unavailable& item, time_point now, effects& out);
  void On(const append_finished& item, time_point now, effects& out);
  void On(const vm_list_read& item, time_point now, effects& out);
  void On(const vm_list_unavailable& item, time_point now, effects& out);
  void On(const operation_finished& item, time_point now, effects& out);
  void On(const operator_command& item, time_point now, effects& out);
  void On(const stop_requested& item, time_point now, effects& out);

  void OnPeerMessage(const peer_frame& frame, time_point now, effects& out);

  routing_context Context() const;
  heartbeat_contents HeartbeatContents(time_point now);
  planner_inputs PlannerInputs(time_point now) const;

  /// Moves what changed in one module to those that depend on it.
  void PropagateChanges(time_point now, effects& out);
  void UpdateFromFleetState(time_point now, effects& out);
  void UpdateMembers(time_point now, effects& out);
  void UpdateSuspects(time_point now, effects& out);
  void UpdateClaimsView(time_point now, effects& out);
  void RecordMetrics(const action_list& actions, time_point now);
  void AppendRequestCounts(time_point now, effects& out);
  void ProcessClaims(time_point now, effects& out);
  void UpdateReadiness(time_point now, effects& out);
  void UpdateShutdown(time_point now, effects& out);
  void UpdateLag(time_point now);
  void UpdatePeerQuorum();
  void StartHandover(time_point now);
  std::string NotServingReason() const;

  entry_core_options options_;
  random_source random_;
  append_ids append_ids_;
  control_log control_;
  planner_lease_holder lease_;
  membership membership_;
  endpoint_table endpoints_;
  request_core requests_;
  claims claims_;
  planner planner_;
  request_meter meter_;
  fleet_meter fleet_meter_;
  time_point counted_at_;
  time_point planned_at_;

  std::vector<vm_listing> vms_;
  std::vector<task_listing> tasks_;
  time_point listed_at_;
  bool list_changed_ = false;

  std::set<incarnation> suspects_;
  /// Members whose connection broke and of whom nothing was heard since.
  std::set<incarnation> disconnected_members_;
  std::set<incarnation> stopping_members_;
  std::set<incarnation> known_members_;
  log_offset followed_offset_ = 0;
  std::vector<claim_decision> decisions_;

  time_point handled_at_;
  /// When the process went on after it stood still, until the log was read
  /// anew.
  std::optional<time_point> resumed_at_;
  /// Since when others have applied records that this entry has not read.
  std::optional<time_point> behind_since_;
  bool lag_exceeded_ = true;
  /// Others have shown that they follow the same log.
  bool heard_by_quorum_ = false;
  bool ready_ = false;
  bool serving_ = false;
  std::string not_ready_reason_;
  std::optional<time_point> stop_requested_at_;
  std::optional<time_point> leave_requested_at_;
  bool rejecting_requests_ = false;
  bool exited_ = false;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_ENTRY_ENTRY_CORE_H_
