#include "plantainhead/core/planner.h"

#include <utility>

namespace plantainhead::core {
namespace {

/// How long the end of an operation is remembered after it was last needed.
constexpr duration kOperationMemory = std::chrono::minutes(5);

}  // namespace

planner::planner(planner_options options)
    : options_(std::move(options)),
      operations_(options_.operation_patience, options_.operation_retry),
      gate_(options_.record_patience) {}

void planner::OnTick(const planner_inputs& inputs,
                     time_point now,
                     effects& out) {
  if (now - planned_at_ < options_.plan_interval) {
    return;
  }
  planned_at_ = now;
  watch_.Observe(inputs, now);
  if (!inputs.holds_lease) {
    return;
  }
  if (inputs.epoch != epoch_) {
    // Records of the earlier epoch are void; those under way must be written
    // again.
    epoch_ = inputs.epoch;
    gate_.Clear();
  }
  Plan(inputs, now, out);
  gate_.Expire(now);
  operations_.Forget(now - kOperationMemory);
}

void planner::OnOperationFinished(const operation_finished& event,
                                  time_point now,
                                  effects&) {
  operations_.Finish(event, now);
}

void planner::Plan(const planner_inputs& inputs, time_point now, effects& out) {
  const fleet_view view(inputs);
  const planner_context context{inputs, options_,    view,     now,
                                gate_,  operations_, reasons_, out};
  const vm_lifecycle lifecycle(context, watch_);
  const capacity_plan capacity = PlanCapacity(inputs, view, options_);
  lifecycle.Advance();
  pools_.Plan(context, lifecycle, capacity, watch_);
  waves_.Plan(context, lifecycle, capacity);
}

}  // namespace plantainhead::core
