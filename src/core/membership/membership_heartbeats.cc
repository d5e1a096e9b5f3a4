#include <algorithm>

#include "plantainhead/core/membership/membership.h"

// Contents and timing of the heartbeats that an entry sends.
namespace plantainhead::core {
namespace {

bool IsDue(const std::optional<time_point>& last,
           duration interval,
           time_point now) {
  return !last || now - *last >= interval;
}

// Returns a sum that changes whenever a VM is added, removed or modified,
// because generations only increase.
generation SumOfVersions(const fleet_state& fleet) {
  generation sum = fleet.vms.size();
  for (const auto& [vm, state] : fleet.vms) {
    sum += state.version;
  }
  return sum;
}

}  // namespace

void membership::SendHeartbeats(const fleet_state& fleet,
                                const heartbeat_contents& contents,
                                time_point now,
                                effects& out) {
  if (others_.empty()) {
    return;
  }
  DetectChanges(fleet, contents);
  SendSmall(fleet, MakeHeartbeat(contents, false), now, out);
  SendComplete(fleet, contents, now, out);
}

heartbeat membership::MakeHeartbeat(const heartbeat_contents& contents,
                                    bool complete) const {
  heartbeat made;
  made.offset = contents.offset;
  made.digest = contents.digest;
  made.ready = contents.ready;
  made.stopping = contents.stopping;
  made.complete = complete;
  made.suspected.assign(missed_members_.begin(), missed_members_.end());
  if (complete) {
    made.load = contents.load;
    made.in_flight = contents.in_flight;
    made.classes = contents.classes;
    made.times = contents.times;
  }
  return made;
}

void membership::DetectChanges(const fleet_state& fleet,
                               const heartbeat_contents& contents) {
  const bool changed =
      last_broadcast_.ready != contents.ready ||
      last_broadcast_.stopping != contents.stopping ||
      !std::equal(missed_members_.begin(), missed_members_.end(),
                  last_broadcast_.suspected.begin(),
                  last_broadcast_.suspected.end());
  notify_all_ = notify_all_ || changed;
  // The planner waits until each member reports that it has applied a drain and
  // has no requests in flight. With regular complete heartbeats alone, this
  // would take many seconds in a large fleet.
  if (planner_ != fleet.lease.holder) {
    planner_ = fleet.lease.holder;
    notify_planner_ = true;
  }
  if (reported_in_flight_ != contents.in_flight) {
    reported_in_flight_ = contents.in_flight;
    notify_planner_ = true;
  }
  if (seen_offset_ == fleet.offset) {
    return;
  }
  seen_offset_ = fleet.offset;
  const generation changes = SumOfVersions(fleet);
  if (vm_changes_ != changes) {
    vm_changes_ = changes;
    notify_planner_ = true;
  }
}

void membership::SendSmall(const fleet_state& fleet,
                           const heartbeat& small,
                           time_point now,
                           effects& out) {
  // Changes are sent before the regular interval has passed, but frequent
  // changes are rate-limited.
  const duration interval = notify_all_ ? options_.heartbeat_interval / 4
                                        : options_.heartbeat_interval;
  if (!IsDue(small_sent_at_, interval, now)) {
    return;
  }
  small_sent_at_ = now;
  if (!notify_all_) {
    for (const incarnation watcher : ring_.WatchersOf(self_.who)) {
      Send(fleet, watcher, small, out);
    }
    return;
  }
  notify_all_ = false;
  last_broadcast_ = small;
  for (const auto& [who, member] : others_) {
    Send(fleet, who, small, out);
  }
}

void membership::SendComplete(const fleet_state& fleet,
                              const heartbeat_contents& contents,
                              time_point now,
                              effects& out) {
  const incarnation planner = fleet.lease.holder;
  if (notify_planner_ && others_.contains(planner) &&
      IsDue(planner_notified_at_, options_.heartbeat_interval, now)) {
    planner_notified_at_ = now;
    notify_planner_ = false;
    Send(fleet, planner, MakeHeartbeat(contents, true), out);
  }

  const duration turn_interval =
      options_.complete_interval / static_cast<std::int64_t>(others_.size());
  if (!IsDue(complete_sent_at_,
             std::max(turn_interval, options_.complete_spacing), now)) {
    return;
  }
  complete_sent_at_ = now;
  auto next = others_.upper_bound(last_complete_to_);
  if (next == others_.end()) {
    next = others_.begin();
  }
  last_complete_to_ = next->first;
  Send(fleet, last_complete_to_, MakeHeartbeat(contents, true), out);
}

void membership::Send(const fleet_state& fleet,
                      incarnation to,
                      const heartbeat& message,
                      effects& out) {
  const auto found = fleet.members.find(to);
  if (found == fleet.members.end()) {
    return;
  }
  peer_frame frame{self_.who, fleet.view, message};
  std::get<heartbeat>(frame.message).sequence = ++sequence_;
  out.Do(send_frame{to, found->second.host, found->second.peer_port,
                    std::move(frame)});
}

}  // namespace plantainhead::core
