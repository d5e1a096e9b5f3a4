#include "plantainhead/core/fleet/phase_watch.h"

namespace plantainhead::core {

void phase_watch::Observe(const planner_inputs& inputs, time_point now) {
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

const phase_watch::sight* phase_watch::Find(const vm_id& vm) const {
  const auto found = sights_.find(vm);
  return found == sights_.end() ? nullptr : &found->second;
}

bool phase_watch::LostMembersAreOver(time_point now,
                                     duration greatest_deadline) const {
  return now - member_lost_at_ >= greatest_deadline;
}

void phase_watch::ObserveVms(const planner_inputs& inputs, time_point now) {
  std::erase_if(sights_, [&](const auto& item) {
    return !inputs.state.vms.contains(item.first);
  });
  for (const auto& [id, vm] : inputs.state.vms) {
    const auto [found, is_new] = sights_.try_emplace(id);
    sight& seen = found->second;
    if (vm.quarantined && !seen.quarantined) {
      seen.quarantined_since = now;
    }
    seen.quarantined = vm.quarantined;
    if (is_new || seen.pool != vm.pool) {
      seen.pool = vm.pool;
      seen.pool_since = now;
    }
    // A second drain may follow the first within one batch of records; the
    // operation tells them apart, so that no old heartbeat proves the new one.
    if (is_new || seen.phase != vm.phase || seen.operation != vm.operation) {
      seen.phase = vm.phase;
      seen.operation = vm.operation;
      seen.since = now;
      seen.offset = inputs.state.offset;
    }
  }
}

void phase_watch::ObserveMembers(const planner_inputs& inputs, time_point now) {
  // An entry that has just started doesn't know which members were lost before
  // it; it waits as if one had been lost right now.
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

void phase_watch::ObserveList(const planner_inputs& inputs, time_point now) {
  std::map<vm_id, const vm_listing*> listed;
  for (const vm_listing& listing : inputs.vms) {
    listed[listing.vm] = &listing;
  }
  for (auto& [id, seen] : sights_) {
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
