#include "plantainhead/core/capacity.h"

#include <algorithm>

namespace plantainhead::core {
namespace {

/// Share of a pool that may be in maintenance while its demand isn't known.
constexpr std::uint32_t kUnknownDemandDivisor = 10;

}  // namespace

capacity_plan PlanCapacity(const planner_inputs&,
                           const fleet_view& view,
                           const planner_options&) {
  capacity_plan plan;
  for (const auto& [name, pool] : view.pools()) {
    const auto size = static_cast<std::uint32_t>(pool.vms.size());
    pool_capacity& item = plan[name];
    item.need = std::max(size, pool.spec->least_vms);
    const std::uint32_t away = std::max(1U, size / kUnknownDemandDivisor);
    item.floor = size > away ? size - away : 0;
  }
  return plan;
}

}  // namespace plantainhead::core
