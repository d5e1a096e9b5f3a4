#ifndef PLANTAINHEAD_CORE_FLEET_POOL_BALANCE_H_
#define PLANTAINHEAD_CORE_FLEET_POOL_BALANCE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "plantainhead/core/fleet/capacity.h"

namespace plantainhead::core {

/// Compares the VMs of one pool with its required capacity, including their
/// spread over the zones (or racks, if the fleet has only one zone). Thread
/// safety: none.
class pool_balance {
 public:
  /// `domains` is the number of failure domains in the fleet. Spare VMs are
  /// required only if `wants_spare`: during a zone outage the spare VMs for its
  /// loss are in use.
  pool_balance(const pool_capacity& capacity,
               std::uint32_t domains,
               bool wants_spare);

  void Add(const zone_id& domain);
  void Remove(const zone_id& domain);

  std::uint32_t size() const { return size_; }
  std::uint32_t need() const { return capacity_.need; }
  /// True if the shortage affects callers and not only jobs.
  bool affects_callers() const { return capacity_.is_known; }
  double tolerance() const { return capacity_.tolerance; }
  std::uint32_t CountIn(const zone_id& domain) const;

  /// Number of VMs missing to serve the demand.
  std::uint32_t DemandShortage() const;
  /// Number of VMs missing to serve the demand and to survive the loss of a
  /// failure domain, if they are added to the best domains.
  std::uint32_t Shortage() const;
  /// Number of VMs that can be removed, from the largest domains first, without
  /// causing a shortage.
  std::uint32_t Surplus() const;
  /// Returns true if one VM of `domain` can be removed. With `ignore_spare`,
  /// only the demand is considered and spare VMs may be used.
  bool CanRelease(const zone_id& domain, bool ignore_spare) const;

 private:
  using spread = std::map<zone_id, std::uint32_t>;

  bool Satisfies(const spread& counts, std::uint32_t size) const;
  bool NeedsSpare() const;

  pool_capacity capacity_;
  std::uint32_t domains_;
  bool wants_spare_;
  spread counts_;
  std::uint32_t size_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_POOL_BALANCE_H_
