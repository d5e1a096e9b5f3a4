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

/// Reasons for the current state of objects, by object name ("vm:suwon-3").
using reason_map = std::map<std::string, std::string>;

/// State that the modules of the planner share during one plan.
struct planner_context {
  const planner_inputs& inputs;
  const planner_options& options;
  const fleet_view& view;
  time_point now;
  record_gate& gate;
  operation_tracker& operations;
  reason_map& reasons;
  effects& out;
  /// When the drain of each VM that did not drain in time was aborted. Such VMs
  /// are drained again after `drain_retry_delay`.
  std::map<vm_id, time_point>& deferred;
  /// Pools whose spare capacity was lost to a failure, so that no VM may be
  /// taken out of service.
  const std::set<pool_id>& blocked_pools;

  /// Returns true if the platform's list is recent enough to act on.
  bool list_is_fresh() const {
    return now - inputs.listed_at <= options.max_list_age;
  }

  /// Returns the failure domain of a VM: its zone, or its rack if `by_rack`.
  static zone_id DomainOf(const vm_view& vm, bool by_rack) {
    return by_rack ? zone_id(vm.rack.value()) : vm.zone;
  }

  /// Stores `reason` for `object`, and logs it unless it is already the stored
  /// reason.
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
