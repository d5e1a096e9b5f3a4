#ifndef PLANTAINHEAD_CORE_FLEET_WAVE_PLANNER_H_
#define PLANTAINHEAD_CORE_FLEET_WAVE_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/fleet/capacity.h"
#include "plantainhead/core/fleet/vm_lifecycle.h"

namespace plantainhead::core {

/// Selects the VMs that maintenance waves reboot next: as many at once as the
/// error budgets of all classes allow, one zone of a pool at a time, rack by
/// rack. It pauses waves when a budget burns too fast or failures leave no
/// spare capacity, and resumes them afterwards. Thread safety: none.
class wave_planner {
 public:
  /// Returns the pools from which no VM may be taken, because VMs were lost and
  /// the remaining VMs are below the required minimum.
  static std::set<pool_id> BlockedPools(const planner_context& context,
                                        const capacity_plan& capacity);

  /// Starts drains for all running waves, and pauses, resumes and finishes
  /// waves.
  void Plan(const planner_context& context,
            const vm_lifecycle& lifecycle,
            const capacity_plan& capacity);

 private:
  /// Result of a scan of the pools of one wave.
  struct scan_result {
    std::uint32_t left = 0;
    std::uint32_t under_way = 0;
    /// Number of pools with VMs left to reboot, and of those among them that
    /// are blocked by failures.
    std::uint32_t open_pools = 0;
    std::uint32_t blocked_pools = 0;
    std::string obstacle;
  };

  void PlanWave(const planner_context& context,
                const vm_lifecycle& lifecycle,
                const capacity_plan& capacity,
                const wave_id& id,
                const fleet_wave& wave);
  void PlanPool(const planner_context& context,
                const vm_lifecycle& lifecycle,
                const pool_capacity& capacity,
                const pool_view& pool,
                const wave_id& id,
                const fleet_wave& wave,
                scan_result& found);
  std::vector<const vm_view*> Candidates(const planner_context& context,
                                         const vm_lifecycle& lifecycle,
                                         const pool_view& pool,
                                         const fleet_wave& wave) const;
  /// Returns why the wave should be paused, or an empty string.
  std::string PauseReason(const planner_context& context,
                          const fleet_wave& wave,
                          const scan_result& found) const;
  void PauseOrResume(const planner_context& context,
                     const wave_id& id,
                     const fleet_wave& wave,
                     const std::string& why);
  void SetState(const planner_context& context,
                const wave_id& id,
                const fleet_wave& wave,
                wave_state state,
                const std::string& reason) const;

  /// For each automatically paused wave, since when there has been no reason
  /// for its pause.
  std::map<wave_id, time_point> clear_since_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_WAVE_PLANNER_H_
