#ifndef PLANTAINHEAD_CORE_FLEET_PLANNER_H_
#define PLANTAINHEAD_CORE_FLEET_PLANNER_H_

#include <string>

#include "plantainhead/core/fleet/demand_estimator.h"
#include "plantainhead/core/fleet/job_planner.h"
#include "plantainhead/core/fleet/operation_tracker.h"
#include "plantainhead/core/fleet/phase_tracker.h"
#include "plantainhead/core/fleet/planner_context.h"
#include "plantainhead/core/fleet/planner_types.h"
#include "plantainhead/core/fleet/pool_planner.h"
#include "plantainhead/core/fleet/wave_planner.h"
#include "plantainhead/core/log/record_gate.h"

namespace plantainhead::core {

/// Plans the assignment of VMs to pools, maintenance waves and the placement of
/// jobs. It runs on every entry and acts only while that entry holds the
/// planner lease. All durable decisions are records, so that the planner of
/// another entry can continue from the folded state alone:
///
///     planner fleet_planner{planner_options()};
///     fleet_planner.OnTick(inputs, now, out);  // records and operations
///
/// Thread safety: none; each core owns one.
class planner {
 public:
  explicit planner(planner_options options = {});

  /// Plans if `plan_interval` has passed since the last plan.
  void OnTick(const planner_inputs& inputs, time_point now, effects& out);

  /// Records the result of an operation. Operations of other modules are
  /// ignored.
  void OnOperationFinished(const operation_finished& event,
                           time_point now,
                           effects& out);

  /// Returns the reason for the current state of each object ("vm:a", "wave:w",
  /// "job:j"). These are the decisions of this entry's planner while it held
  /// the lease; the records of the fold carry their own reasons.
  const reason_map& reasons() const { return reasons_; }

  /// Returns the VM counts of the pools as of the latest plan.
  const pool_figures& figures() const { return pools_.figures(); }

 private:
  void Prune(const planner_inputs& inputs, time_point now);
  void Plan(const planner_inputs& inputs, time_point now, effects& out);

  planner_options options_;
  operation_tracker operations_;
  record_gate gate_;
  phase_tracker phase_tracker_;
  demand_estimator demand_;
  std::map<vm_id, time_point> deferred_;
  reason_map reasons_;
  pool_planner pools_;
  wave_planner waves_;
  job_planner jobs_;
  time_point planned_at_;
  time_point pools_planned_at_;
  lease_epoch epoch_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_PLANNER_H_
