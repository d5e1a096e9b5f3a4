#ifndef PLANTAINHEAD_CORE_FLEET_POOL_BALANCE_H_
#define PLANTAINHEAD_CORE_FLEET_POOL_BALANCE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "plantainhead/core/fleet/capacity.h"

namespace plantainhead::core {

/// How the VMs of one pool stand against what it has to have, with their spread
/// over the zones (or racks, where the fleet has only one zone).
/// Thread safety: none.
class pool_balance {
 public:
  /// `domains` is the number of failure domains that the fleet can offer. Spare
  /// VMs are asked for only if `wants_spare`: while a zone is out, the spare
  /// for its loss is in use.
  pool_balance(const pool_capacity& capacity,
               std::uint32_t domains,
               bool wants_spare);

  void Add(const zone_id& domain);
  void Remove(const zone_id& domain);

  std::uint32_t size() const { return size_; }
  std::uint32_t need() const { return capacity_.need; }
  /// True when callers, not only jobs, lack what it lacks.
  bool affects_callers() const { return capacity_.is_known; }
  double tolerance() const { return capacity_.tolerance; }
  std::uint32_t CountIn(const zone_id& domain) const;

  /// VMs that are missing to serve the demand.
  std::uint32_t DemandShortage() const;
  /// VMs that are missing to serve the demand and survive a loss, if they are
  /// added where they help most.
  std::uint32_t Shortage() const;
  /// VMs that can go from anywhere they are too many without a lack.
  std::uint32_t Surplus() const;
  /// Returns true if one VM of `domain` can go. With `ignore_spare` the spare
  /// may be used up.
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
