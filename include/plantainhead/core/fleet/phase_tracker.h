#ifndef PLANTAINHEAD_CORE_FLEET_PHASE_TRACKER_H_
#define PLANTAINHEAD_CORE_FLEET_PHASE_TRACKER_H_

#include <map>
#include <set>

#include "plantainhead/core/fleet/planner_types.h"

namespace plantainhead::core {

/// Remembers since when this entry has seen each VM in its phase and when a
/// member was last lost. It watches on every entry, so that one that takes the
/// lease over need not start all waits again. Thread safety: none.
class phase_tracker {
 public:
  struct observation {
    vm_phase phase = vm_phase::kServing;
    operation_id operation;
    /// First sight of the phase, which is never before the record was written.
    time_point since;
    /// Offset of the fold then, which is never below that of the record.
    log_offset offset = 0;
    /// First moment of the present absence from the list, if it is absent.
    time_point missing_since;
    bool missing = false;
    /// First moment of the present failure (absent, leaving or unhealthy).
    time_point impaired_since;
    bool impaired = false;
    bool quarantined = false;
    time_point quarantined_since;
    /// Pool and the first sight of the VM in it.
    pool_id pool;
    time_point pool_since;
    /// Where it was when it was listed last.
    zone_id zone;
    rack_id rack;
  };

  void Observe(const planner_inputs& inputs, time_point now);

  /// Returns what is known of a VM of the fold that was observed, or null.
  const observation* Find(const vm_id& vm) const;

  /// Returns true once requests that a lost member may have left in flight at a
  /// VM, draining since `since`, are past every deadline.
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
