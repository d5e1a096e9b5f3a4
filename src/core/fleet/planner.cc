#include "plantainhead/core/fleet/planner.h"

#include <utility>

namespace plantainhead::core {
namespace {

/// How long the result of an operation is kept after it was last requested.
constexpr duration kOperationRetention = std::chrono::minutes(5);
/// Maximum number of reasons beyond one per VM. When it is exceeded, all
/// reasons are dropped and collected again.
constexpr std::size_t kMaxExtraReasons = 4096;

}  // namespace

planner::planner(planner_options options)
    : options_(options),
      operations_(options_.operation_resend_after,
                  options_.operation_retry_delay),
      gate_(options_.record_timeout),
      demand_(options_.demand_rise, options_.demand_fall) {}

void planner::OnTick(const planner_inputs& inputs,
                     time_point now,
                     effects& out) {
  if (now - planned_at_ < options_.plan_interval) {
    return;
  }
  planned_at_ = now;
  phase_tracker_.Observe(inputs, now);
  demand_.Observe(inputs.demand, now);
  jobs_.Observe(inputs, options_, now);
  if (!inputs.holds_lease) {
    return;
  }
  if (inputs.epoch != epoch_) {
    // Records of the earlier epoch are rejected by the fold; pending ones must
    // be appended again.
    epoch_ = inputs.epoch;
    gate_.Clear();
  }
  Plan(inputs, now, out);
  Prune(inputs, now);
}

void planner::Prune(const planner_inputs& inputs, time_point now) {
  gate_.Expire(now);
  operations_.Forget(now - kOperationRetention);
  std::erase_if(deferred_, [&](const auto& item) {
    return !inputs.state.vms.contains(item.first);
  });
  if (reasons_.size() <= inputs.state.vms.size() + kMaxExtraReasons) {
    return;
  }
  reasons_.clear();
}

void planner::OnOperationFinished(const operation_finished& event,
                                  time_point now,
                                  effects&) {
  operations_.Finish(event, now);
}

void planner::Plan(const planner_inputs& inputs, time_point now, effects& out) {
  const fleet_view view(inputs, phase_tracker_, gate_, now);
  const capacity_plan capacity = PlanCapacity(inputs, view, demand_, options_);
  const std::set<pool_id> none_blocked;
  const planner_context unblocked{inputs,    options_,    view,     now,
                                  gate_,     operations_, reasons_, out,
                                  deferred_, none_blocked};
  const std::set<pool_id> blocked =
      wave_planner::BlockedPools(unblocked, capacity);
  const planner_context context{inputs,    options_,    view,     now,
                                gate_,     operations_, reasons_, out,
                                deferred_, blocked};
  const vm_lifecycle lifecycle(context, phase_tracker_);
  lifecycle.Advance();
  if (now - pools_planned_at_ >= options_.pool_interval) {
    pools_planned_at_ = now;
    pools_.Plan(context, lifecycle, capacity);
  }
  waves_.Plan(context, lifecycle, capacity);
  jobs_.Plan(context);
}

}  // namespace plantainhead::core
