#ifndef PLANTAINHEAD_CORE_FLEET_VIEW_H_
#define PLANTAINHEAD_CORE_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <vector>

#include "plantainhead/core/planner_types.h"

namespace plantainhead::core {

/// One VM as the fold and the platform's list show it together.
struct vm_view {
  vm_id id;
  /// Null for a VM that the fold doesn't know yet.
  const vm_state* state = nullptr;
  /// Null for a VM that is not on the list.
  const vm_listing* listing = nullptr;
  /// Requests in flight as far as they were reported.
  std::uint32_t in_flight = 0;
  /// Tasks that run on it as far as the list shows.
  std::uint32_t tasks = 0;
  bool healthy = true;

  /// True when the list shows it live.
  bool listed_live() const {
    return listing != nullptr && listing->state == vm_listing_state::kLive;
  }
  /// True when it takes work.
  bool available() const {
    return state != nullptr && state->phase == vm_phase::kServing &&
           !state->quarantined && listed_live() && healthy;
  }
};

/// One pool with its VMs.
struct pool_view {
  const pool_spec* spec = nullptr;
  std::vector<const vm_view*> vms;
  std::uint32_t available = 0;
};

/// The fold and the list joined, for one plan. It points into the inputs, which
/// must outlive it. Thread safety: none.
class fleet_view {
 public:
  explicit fleet_view(const planner_inputs& inputs);

  fleet_view(const fleet_view&) = delete;
  fleet_view& operator=(const fleet_view&) = delete;

  const std::map<vm_id, vm_view>& vms() const { return vms_; }
  const std::map<pool_id, pool_view>& pools() const { return pools_; }

  /// Returns the VM, or null.
  const vm_view* FindVm(const vm_id& id) const;
  /// Returns the pool if the configuration has it, or null.
  const pool_view* FindPool(const pool_id& id) const;

 private:
  void JoinVms(const planner_inputs& inputs);
  void FillPools(const planner_inputs& inputs);

  std::map<vm_id, vm_view> vms_;
  std::map<pool_id, pool_view> pools_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_VIEW_H_
