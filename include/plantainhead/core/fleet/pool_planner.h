#ifndef PLANTAINHEAD_CORE_FLEET_POOL_PLANNER_H_
#define PLANTAINHEAD_CORE_FLEET_POOL_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "plantainhead/core/fleet/capacity.h"
#include "plantainhead/core/fleet/pool_balance.h"
#include "plantainhead/core/fleet/vm_lifecycle.h"

namespace plantainhead::core {

/// What the pools cost, beside the least that would do.
struct pool_figures {
  /// VMs that all pools need to serve their demand.
  std::uint32_t need = 0;
  /// Spare VMs that the planner holds back, and the fewest that survive the
  /// loss of one zone when spread evenly.
  std::uint32_t buffer = 0;
  std::uint32_t min_buffer = 0;
  /// VMs that no pool asks for.
  std::uint32_t surplus = 0;
  /// VMs that pools lack.
  std::uint32_t shortage = 0;
  /// Moves that this planner has carried out.
  std::uint64_t moves = 0;
};

/// Gives every VM of the platform's list a pool, moves as few VMs as it can to
/// the pools that lack them, and forgets VMs that are gone.
/// Thread safety: none.
class pool_planner {
 public:
  /// Writes the records and operations that the pools need now.
  void Plan(const planner_context& context,
            const vm_lifecycle& lifecycle,
            const capacity_plan& capacity);

  /// Figures of the newest plan.
  const pool_figures& figures() const { return figures_; }

 private:
  using pool_balances = std::map<pool_id, pool_balance>;

  /// How one pool stands, worked out once for each plan.
  struct pool_trend {
    std::uint32_t shortage = 0;
    std::uint32_t surplus = 0;
    /// VMs that it wants now, and the most that it lately wanted.
    std::uint32_t wanted = 0;
    double peak = 0;
    time_point peak_at;
    std::optional<time_point> shortage_since;
    std::optional<time_point> surplus_since;
  };

  struct donor {
    const vm_view* vm = nullptr;
    pool_id from;
  };

  void ObserveZones(const planner_context& context);
  pool_balances ComputeBalances(const planner_context& context,
                                const capacity_plan& capacity) const;
  void CountTeams(const planner_context& context);
  void AssignNewVms(const planner_context& context, pool_balances& pools);
  void ForgetMissingVms(const planner_context& context);
  void SyncPlatformPools(const planner_context& context);
  void EndMoves(const planner_context& context,
                const vm_lifecycle& lifecycle,
                pool_balances& pools);
  void StartMoves(const planner_context& context,
                  const vm_lifecycle& lifecycle,
                  pool_balances& pools);
  void UpdateTrends(const planner_context& context, const pool_balances& pools);
  /// Returns the pool that a VM suits best which none lacks: the one furthest
  /// below its peak, else the smallest.
  pool_id PoolForSpareVm(const pool_balances& pools) const;
  void UpdateFigures(const planner_context& context,
                     const pool_balances& pools,
                     const capacity_plan& capacity);
  /// Returns true if the quota of the receiving pool's team lets a VM of pool
  /// `from` in; `from` is empty for a new VM.
  bool QuotaAllowsMove(const planner_context& context,
                       const pool_id& pool,
                       const pool_id& from) const;
  /// Counts VMs that already drain towards the pools that lack them.
  void CountPendingMoves(const planner_context& context, pool_balances& pools);
  /// Returns true while the drain for a move has been asked for and not read
  /// back.
  bool IsStarting(const vm_view& vm) const;
  void UpdateTeamCounts(const planner_context& context,
                        const pool_id& from,
                        const pool_id& to);
  /// Returns the pools whose lack has not yet lasted long enough for a move.
  std::set<pool_id> PoolsWithRecentShortage(const planner_context& context,
                                            const pool_balances& pools) const;
  /// Returns the pool outside `excluded` that lacks most, or nothing. With
  /// `from` only pools whose quota lets a VM of that pool in are seen.
  std::optional<pool_id> MostUrgentPool(
      const planner_context& context,
      const pool_balances& pools,
      const std::optional<pool_id>& from,
      const std::set<pool_id>& excluded) const;
  /// Returns true if the pool may give VMs of some kind to the receiver.
  bool IsDonor(const planner_context& context,
               const pool_balance& from,
               const pool_trend& trend,
               const pool_balance& to) const;
  std::optional<donor> BestDonor(const planner_context& context,
                                 const vm_lifecycle& lifecycle,
                                 const pool_balances& pools,
                                 const pool_id& receiver,
                                 const std::set<vm_id>& taken) const;
  static bool HasLastingSurplus(const planner_context& context,
                                const pool_trend& trend);
  /// Settles all pools whose lack isn't urgent when no pool has VMs to give: in
  /// a full fleet the search for each would come to nothing.
  void ExcludeIfNoDonor(const planner_context& context,
                        const pool_balances& pools,
                        std::set<pool_id>& excluded) const;
  static void ReportNoDonor(const planner_context& context,
                            const pool_id& name,
                            const pool_balance& pool);
  bool MayMove(const planner_context& context,
               const vm_view& vm,
               bool is_urgent) const;

  std::map<zone_id, time_point> zone_last_seen_;
  bool has_zone_outage_ = false;
  std::uint32_t domains_ = 0;
  bool by_rack_ = false;
  std::map<pool_id, pool_trend> trends_;
  std::map<vm_id, generation> starting_moves_;
  std::map<team_id, std::uint32_t> team_vms_;
  pool_figures figures_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_POOL_PLANNER_H_
