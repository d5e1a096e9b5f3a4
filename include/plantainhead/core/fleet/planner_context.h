#ifndef PLANTAINHEAD_CORE_FLEET_PLANNER_CONTEXT_H_
#define PLANTAINHEAD_CORE_FLEET_PLANNER_CONTEXT_H_

#include <map>
#include <set>
#include <string>

#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/fleet/operation_tracker.h"
#include "plantainhead/core/fleet/planner_types.h"
#include "plantainhead/core/log/fleet_view.h"
#include "plantainhead/core/log/record_gate.h"

namespace plantainhead::core {

/// Why things stand as they do, by the name of the object ("vm:suwon-3").
using reason_map = std::map<std::string, std::string>;

/// What the parts of the planner share during one plan.
struct planner_context {
  const planner_inputs& inputs;
  const planner_options& options;
  const fleet_view& view;
  time_point now;
  record_gate& gate;
  operation_tracker& operations;
  reason_map& reasons;
  effects& out;
  /// When each VM that didn't drain in time was given up; tried again last.
  std::map<vm_id, time_point>& deferred;
  /// Pools in which a failure took the slack, so that no VM may leave.
  const std::set<pool_id>& blocked_pools;

  /// Returns true while the platform's list is new enough to act upon.
  bool list_is_fresh() const {
    return now - inputs.listed_at <= options.max_list_age;
  }

  /// The failure domain of a VM: its zone, or its rack.
  static zone_id DomainOf(const vm_view& vm, bool by_rack) {
    return by_rack ? zone_id(vm.rack.value()) : vm.zone;
  }

  /// Keeps `reason` for `object` and notes it the first time that it is given.
  void Report(log_severity level,
              const std::string& object,
              const std::string& reason) const {
    std::string& kept = reasons[object];
    if (kept == reason) {
      return;
    }
    kept = reason;
    out.Log(level, reason, {{"object", object}});
  }
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_PLANNER_CONTEXT_H_
