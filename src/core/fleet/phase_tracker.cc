#include "plantainhead/core/fleet/phase_tracker.h"

namespace plantainhead::core {

void phase_tracker::Observe(const planner_inputs& inputs, time_point now) {
  ObserveMembers(inputs, now);
  if (inputs.state.offset != observed_offset_ || !has_started_) {
    ObserveVms(inputs, now);
    observed_offset_ = inputs.state.offset;
  }
  if (inputs.listed_at != observed_list_) {
    ObserveList(inputs, now);
    observed_list_ = inputs.listed_at;
  }
  has_started_ = true;
}

const phase_tracker::observation* phase_tracker::Find(const vm_id& vm) const {
  const auto found = observations_.find(vm);
  return found == observations_.end() ? nullptr : &found->second;
}

bool phase_tracker::LostMemberRequestsExpired(time_point now,
                                              duration max_deadline) const {
  return now - member_lost_at_ >= max_deadline;
}

void phase_tracker::ObserveVms(const planner_inputs& inputs, time_point now) {
  std::erase_if(observations_, [&](const auto& item) {
    return !inputs.state.vms.contains(item.first);
  });
  for (const auto& [id, vm] : inputs.state.vms) {
    const auto [found, is_new] = observations_.try_emplace(id);
    observation& seen = found->second;
    if (vm.quarantined && !seen.quarantined) {
      seen.quarantined_since = now;
    }
    seen.quarantined = vm.quarantined;
    if (is_new || seen.pool != vm.pool) {
      seen.pool = vm.pool;
      seen.pool_since = now;
    }
    // A second drain may follow the first within one batch of records. The
    // operation id distinguishes them, so that no old heartbeat is taken as
    // proof for the new drain.
    if (is_new || seen.phase != vm.phase || seen.operation != vm.operation) {
      seen.phase = vm.phase;
      seen.operation = vm.operation;
      seen.since = now;
      seen.offset = inputs.state.offset;
    }
  }
}

void phase_tracker::ObserveMembers(const planner_inputs& inputs,
                                   time_point now) {
  // An entry that has just started does not know which members were lost
  // before. It waits as if a member had been lost now.
  bool lost = !has_started_;
  for (const incarnation who : members_) {
    lost = lost || !inputs.state.members.contains(who);
  }
  if (lost) {
    member_lost_at_ = now;
  }
  if (lost || members_.size() != inputs.state.members.size()) {
    members_.clear();
    for (const auto& [who, member] : inputs.state.members) {
      members_.insert(members_.end(), who);
    }
  }
}

void phase_tracker::ObserveList(const planner_inputs& inputs, time_point now) {
  std::map<vm_id, const vm_listing*> listed;
  for (const vm_listing& listing : inputs.vms) {
    listed[listing.vm] = &listing;
  }
  for (auto& [id, seen] : observations_) {
    const auto found = listed.find(id);
    const bool missing = found == listed.end();
    if (missing && !seen.missing) {
      seen.missing_since = now;
    }
    seen.missing = missing;
    const bool impaired = missing ||
                          found->second->state != vm_listing_state::kLive ||
                          inputs.unhealthy.contains(id);
    if (impaired && !seen.impaired) {
      seen.impaired_since = now;
    }
    seen.impaired = impaired;
    if (!missing) {
      seen.zone = found->second->zone;
      seen.rack = found->second->rack;
    }
  }
}

}  // namespace plantainhead::core
