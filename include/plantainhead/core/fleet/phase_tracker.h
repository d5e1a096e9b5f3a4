#ifndef PLANTAINHEAD_CORE_FLEET_PHASE_TRACKER_H_
#define PLANTAINHEAD_CORE_FLEET_PHASE_TRACKER_H_

#include <map>
#include <set>

#include "plantainhead/core/fleet/planner_types.h"

namespace plantainhead::core {

/// Tracks when this entry first observed each VM in its current phase and when
/// a member was last lost. It runs on every entry, so that an entry that takes
/// over the planner lease does not restart all waits. Thread safety: none.
class phase_tracker {
 public:
  /// What this entry has observed of one VM.
  struct observation {
    vm_phase phase = vm_phase::kServing;
    operation_id operation;
    /// When the phase was first observed; never before its record was written.
    time_point since;
    /// Offset of the fold at that time; never below the offset of the record.
    log_offset offset = 0;
    /// Start of the current absence from the list, if `missing`.
    time_point missing_since;
    bool missing = false;
    /// Start of the current failure (missing, leaving or unhealthy), if
    /// `impaired`.
    time_point impaired_since;
    bool impaired = false;
    bool quarantined = false;
    time_point quarantined_since;
    /// Pool of the VM, and when the VM was first observed in it.
    pool_id pool;
    time_point pool_since;
    /// Location of the VM when it was last listed.
    zone_id zone;
    rack_id rack;
  };

  void Observe(const planner_inputs& inputs, time_point now);

  /// Returns the observation of a VM of the last observed fold, or null.
  const observation* Find(const vm_id& vm) const;

  /// Returns true once `max_deadline` has passed since a member was last lost,
  /// so that no request that it may have left in flight at a VM is still
  /// running.
  bool LostMemberRequestsExpired(time_point now, duration max_deadline) const;

 private:
  void ObserveVms(const planner_inputs& inputs, time_point now);
  void ObserveMembers(const planner_inputs& inputs, time_point now);
  void ObserveList(const planner_inputs& inputs, time_point now);

  std::map<vm_id, observation> observations_;
  std::set<incarnation> members_;
  bool has_started_ = false;
  time_point member_lost_at_;
  log_offset observed_offset_ = 0;
  time_point observed_list_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_PHASE_TRACKER_H_
