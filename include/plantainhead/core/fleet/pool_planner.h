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

/// VM counts summed over all pools, to compare the actual use of VMs with the
/// required minimum.
struct pool_figures {
  /// Number of VMs that all pools need to serve their demand.
  std::uint32_t need = 0;
  /// Number of spare VMs that the planner keeps, and the minimum that survives
  /// the loss of one failure domain when spread evenly.
  std::uint32_t buffer = 0;
  std::uint32_t min_buffer = 0;
  /// Number of VMs that no pool requires.
  std::uint32_t surplus = 0;
  /// Number of VMs that pools lack.
  std::uint32_t shortage = 0;
  /// Number of moves that this planner has completed.
  std::uint64_t moves = 0;
};

/// Assigns every VM of the platform's list to a pool, moves as few VMs as
/// possible to pools with a shortage, and removes VMs that have disappeared.
/// Thread safety: none.
class pool_planner {
 public:
  /// Appends the records and sends the operations that the pools currently
  /// require.
  void Plan(const planner_context& context,
            const vm_lifecycle& lifecycle,
            const capacity_plan& capacity);

  /// Returns the VM counts of the latest plan.
  const pool_figures& figures() const { return figures_; }

 private:
  using pool_balances = std::map<pool_id, pool_balance>;

  /// Shortage, surplus and peak size of one pool, updated once per plan.
  struct pool_trend {
    std::uint32_t shortage = 0;
    std::uint32_t surplus = 0;
    /// Number of VMs that the pool currently requires, and its recent peak,
    /// which decays over time.
    std::uint32_t wanted = 0;
    double peak = 0;
    time_point peak_at;
    std::optional<time_point> shortage_since;
    std::optional<time_point> surplus_since;
  };

  /// A VM that can be moved, and its current pool.
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
  /// Returns the pool for a VM that no pool lacks: the pool furthest below its
  /// peak, or else the smallest pool.
  pool_id PoolForSpareVm(const pool_balances& pools) const;
  void UpdateFigures(const planner_context& context,
                     const pool_balances& pools,
                     const capacity_plan& capacity);
  /// Returns true if the quota of the receiving pool's team allows it to
  /// receive a VM of pool `from`; `from` is empty for a new VM.
  bool QuotaAllowsMove(const planner_context& context,
                       const pool_id& pool,
                       const pool_id& from) const;
  /// Adds VMs that are already draining for a move to the pools that will
  /// receive them.
  void CountPendingMoves(const planner_context& context, pool_balances& pools);
  /// Returns true while the drain record for a move has been appended but not
  /// read back.
  bool IsStarting(const vm_view& vm) const;
  void UpdateTeamCounts(const planner_context& context,
                        const pool_id& from,
                        const pool_id& to);
  /// Returns the pools whose shortage has not yet lasted long enough for a
  /// move.
  std::set<pool_id> PoolsWithRecentShortage(const planner_context& context,
                                            const pool_balances& pools) const;
  /// Returns the pool with the most urgent shortage that is not in `excluded`,
  /// or nothing. If `from` is given, only pools whose quota allows a VM of that
  /// pool are considered.
  std::optional<pool_id> MostUrgentPool(
      const planner_context& context,
      const pool_balances& pools,
      const std::optional<pool_id>& from,
      const std::set<pool_id>& excluded) const;
  /// Returns true if the pool may give any VM to the receiver.
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
  /// Excludes all pools without an urgent shortage if no pool has had a surplus
  /// for long enough. In a fully used fleet the search for a donor for each of
  /// them would find nothing.
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
