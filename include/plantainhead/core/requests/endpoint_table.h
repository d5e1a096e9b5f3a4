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

/// A VM that serves an endpoint, and the entry that owns it.
struct endpoint_info {
  vm_id vm;
  service_name service;
  std::string host;
  std::uint16_t port = 0;
  zone_id zone;
  std::uint32_t slots = 0;
  /// The only entry that counts the slots of this endpoint; `kNone` if there
  /// are no members.
  incarnation owner = incarnation::kNone;
  /// False while the platform's list, the phase in the fold or a quarantine
  /// excludes the VM from new work.
  bool takes_new = false;
};

/// The number of slots of one service that an entry owns.
struct owner_share {
  incarnation owner = incarnation::kNone;
  zone_id zone;
  /// Slots of the owned endpoints that take new work.
  std::uint32_t slots = 0;
};

/// The endpoints, owners and classes of one service, as needed for routing.
struct service_routes {
  service_name name;
  /// Incremented by each `endpoint_table::Rebuild`, so that users can detect
  /// stale indexes.
  std::uint64_t version = 0;
  std::vector<work_class> classes;
  std::vector<endpoint_info> endpoints;
  /// Owners of at least one endpoint that takes new work, ordered by
  /// incarnation.
  std::vector<owner_share> owners;
  /// Indexes into `endpoints` of those that this entry owns.
  std::vector<std::size_t> owned;
  /// Slots of all endpoints that take new work.
  std::uint32_t slots = 0;

  /// Returns the class called `name`, or null.
  const work_class* FindClass(const class_name& name) const;
};

/// Maps endpoints to owning entries and claim partitions to coordinators by
/// rendezvous hashing over the members of the fold. Equal inputs give equal
/// tables at every entry, and a change of members moves only the endpoints of
/// the members that changed. Thread safety: none.
class endpoint_table {
 public:
  /// Recomputes the table. Call it when the members, VMs or targets of the
  /// fold, the platform's list, or the set of stopping members has changed.
  /// Members in `stopping` own nothing. The owner of an endpoint is chosen
  /// among the members of the endpoint's zone if there are any.
  void Rebuild(const fleet_state& fleet,
               const std::vector<vm_listing>& listings,
               incarnation self,
               const std::set<incarnation>& stopping);

  /// Returns the routes of a service, or null if the targets do not name it.
  const service_routes* Find(const service_name& service) const;

  /// Returns the endpoint of a VM, or null.
  const endpoint_info* FindVm(const vm_id& vm) const;

  /// Returns the entries that may claim the keys of `partition`, in order of
  /// preference: first `CoordinatorOf` the partition, then the entries that
  /// take over if those before them fail. The list holds all members that are
  /// not stopping: without a majority, failed members are not removed, and any
  /// number of them may come first. Precondition: `partition` <
  /// `kClaimPartitions`.
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
