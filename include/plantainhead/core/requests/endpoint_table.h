#ifndef PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_TABLE_H_
#define PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainhead/core/claims/claim_coordinator.h"
#include "plantainhead/core/configuration.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/platform_types.h"

namespace plantainhead::core {

/// One VM that serves an endpoint.
struct endpoint_info {
  vm_id vm;
  service_name service;
  std::string host;
  std::uint16_t port = 0;
  zone_id zone;
  std::uint32_t slots = 0;
  /// The one entry that counts its slots; `kNone` when there are no members.
  incarnation owner = incarnation::kNone;
  /// False while the list, the fold or its quarantine keep new work away.
  bool takes_new = false;
};

/// An entry with the slots that it owns of one service.
struct owner_share {
  incarnation owner = incarnation::kNone;
  zone_id zone;
  /// Slots of its endpoints that take new work.
  std::uint32_t slots = 0;
};

/// All that routing needs of one service.
struct service_routes {
  service_name name;
  /// Raised by each `endpoint_table::Rebuild`, for whoever keeps places.
  std::uint64_t version = 0;
  std::vector<work_class> classes;
  std::vector<endpoint_info> endpoints;
  /// Owners of at least one endpoint that takes new work, in the order of their
  /// incarnations.
  std::vector<owner_share> owners;
  /// Index into `endpoints` of those that this entry owns.
  std::vector<std::size_t> owned;
  /// Slots of all endpoints that take new work.
  std::uint32_t slots = 0;

  /// Returns the class called `name`, or null.
  const work_class* FindClass(const class_name& name) const;
};

/// Which entry owns which endpoint, and which entry claims which keys, worked
/// out by rendezvous hashing over the members of the fold: equal inputs give
/// equal tables at every entry, and a change of members moves only the
/// endpoints of the members that changed.
/// Thread safety: none.
class endpoint_table {
 public:
  /// Works the table out anew. To be called when the fold's members, VMs or
  /// targets, the platform's list, or the set of stopping members has changed.
  /// `stopping` members own nothing. An endpoint's owner is chosen among the
  /// members of its zone if there are any.
  void Rebuild(const fleet_state& fleet,
               const std::vector<vm_listing>& listings,
               incarnation self,
               const std::set<incarnation>& stopping);

  /// Returns the routes of a service that the targets name, or null.
  const service_routes* Find(const service_name& service) const;

  /// Returns the endpoint of a VM, or null.
  const endpoint_info* FindVm(const vm_id& vm) const;

  /// Returns the entries that may claim the keys of `partition`:
  /// `CoordinatorOf` that, and then the homes were those before it gone. These
  /// are all members that aren't stopping: without a majority the dead stay
  /// members, and any number of them may stand first. Precondition: `partition`
  /// < `kClaimPartitions`.
  const std::vector<incarnation>& CoordinatorsOf(std::uint32_t partition) const;

  const std::unordered_map<service_name, service_routes>& services() const {
    return services_;
  }

 private:
  struct endpoint_position {
    const service_routes* routes = nullptr;
    std::size_t index = 0;
  };

  void AddEndpoint(const fleet_state& fleet,
                   const vm_listing& listing,
                   incarnation owner);
  void CountShares(const fleet_state& fleet, incarnation self);

  std::uint64_t version_ = 0;
  std::unordered_map<service_name, service_routes> services_;
  std::unordered_map<vm_id, endpoint_position> by_vm_;
  std::array<std::vector<incarnation>, kClaimPartitions> coordinators_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_ENDPOINT_TABLE_H_
