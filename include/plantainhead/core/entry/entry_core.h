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

/// Options of an entry_core.
struct entry_core_options {
  /// This process; `who` must not be `kNone`.
  entry_member self;
  membership_options membership;
  claim_options claims;
  planner_options planner;
  /// `queue.self` and `name` are overwritten with values from `self`.
  control_log_settings control;
  /// `lease.self` is overwritten with `self.who`.
  planner_lease_settings lease;
  /// How long requests are still accepted after a stop was requested, so that
  /// the load balancer can detect that the entry is not ready.
  duration stop_notice = std::chrono::seconds(1);
  /// How long an entry that has completed its work waits for its leave record
  /// to be read back.
  duration leave_timeout = std::chrono::seconds(2);
  /// Interval at which this entry's request counts are recorded.
  duration count_interval = std::chrono::minutes(5);
  /// Seed of the random number generator.
  std::uint64_t seed = 1;
};

/// Decision logic of one entry: consumes events and produces actions.
///
///     entry_core core(options);
///     action_list actions = core.Start(now);
///     // for each event, from one thread:
///     actions = core.Handle(event, now);
///
/// The modules make the decisions; this class dispatches events to them and
/// passes the output of one module to the others. It reads no clock and
/// performs no I/O, so a recorded sequence of events and times always produces
/// the same actions.
///
/// Thread safety: none. Precondition of all calls: `now` never decreases.
class entry_core {
 public:
  explicit entry_core(entry_core_options options);
  entry_core(const entry_core&) = delete;
  entry_core& operator=(const entry_core&) = delete;

  /// Returns the initial actions. Precondition: called once, before `Handle`.
  action_list Start(time_point now);

  /// Handles one event and returns the resulting actions in order.
  action_list Handle(const event& item, time_point now);

  /// Returns the fleet state as of the last control record read.
  const fleet_state& fleet() const { return control_.state(); }
  const entry_member& self() const { return options_.self; }
  const endpoint_table& endpoints() const { return endpoints_; }
  const claims& claim_ledger() const { return claims_; }
  const control_log& control() const { return control_; }
  const planner& fleet_planner() const { return planner_; }
  const membership& members() const { return membership_; }
  const request_meter& meter() const { return meter_; }

  /// Returns the load of this entry's own endpoints.
  std::vector<service_load> Load(time_point now) const;

  /// Returns true while any VM in the service's pools is in maintenance.
  bool IsInMaintenance(const service_name& service) const;

  /// Returns the class that the request names, or its service's only class if
  /// the request names none. Returns null if there is no such class.
  const work_class* ClassOf(const request_envelope& request) const;

  bool ready() const { return ready_; }
  /// Returns the reason why the entry is not ready; empty if it is ready.
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

  /// Propagates changes in one module to the modules that depend on it.
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
  /// Members whose connection was lost and from which nothing has been received
  /// since.
  std::set<incarnation> disconnected_members_;
  std::set<incarnation> stopping_members_;
  std::set<incarnation> known_members_;
  log_offset followed_offset_ = 0;
  std::vector<claim_decision> decisions_;

  time_point handled_at_;
  /// Time at which the process resumed after a pause; reset once the log has
  /// been read again.
  std::optional<time_point> resumed_at_;
  /// Time since which other entries have applied records that this entry has
  /// not read.
  std::optional<time_point> behind_since_;
  bool lag_exceeded_ = true;
  /// True once more than half of the other members have been heard, which
  /// shows that they follow the same log.
  bool has_heard_quorum_ = false;
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
