#include "plantainhead/core/requests/endpoint_table.h"

#include <map>
#include <string_view>

#include <xxhash.h>

namespace plantainhead::core {
namespace {

struct candidate {
  incarnation who = incarnation::kNone;
  const zone_id* zone = nullptr;
};

using candidate_list = std::vector<candidate>;

std::uint64_t HashOf(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

/// Returns the rendezvous hashing weight of a member for an item.
std::uint64_t WeightOf(std::uint64_t item_hash, incarnation member) {
  const std::uint64_t pair[] = {item_hash, static_cast<std::uint64_t>(member)};
  return XXH3_64bits(pair, sizeof(pair));
}

incarnation HighestWeight(std::uint64_t item_hash,
                          const candidate_list& members) {
  incarnation best = incarnation::kNone;
  std::uint64_t best_weight = 0;
  for (const candidate& member : members) {
    const std::uint64_t weight = WeightOf(item_hash, member.who);
    if (best == incarnation::kNone || weight > best_weight) {
      best = member.who;
      best_weight = weight;
    }
  }
  return best;
}

bool TakesNew(const fleet_state& fleet, const vm_listing& listing) {
  if (listing.state != vm_listing_state::kLive) {
    return false;
  }
  const auto found = fleet.vms.find(listing.vm);
  if (found == fleet.vms.end()) {
    return true;
  }
  return found->second.phase == vm_phase::kServing &&
         !found->second.quarantined;
}

}  // namespace

const work_class* service_routes::FindClass(const class_name& name) const {
  for (const work_class& work : classes) {
    if (work.name == name) {
      return &work;
    }
  }
  return nullptr;
}

void endpoint_table::Rebuild(const fleet_state& fleet,
                             const std::vector<vm_listing>& listings,
                             incarnation self,
                             const std::set<incarnation>& stopping) {
  candidate_list members;
  std::map<zone_id, candidate_list> by_zone;
  for (const auto& [who, member] : fleet.members) {
    if (stopping.count(who) == 0) {
      members.push_back({who, &member.zone});
      by_zone[member.zone].push_back(members.back());
    }
  }

  version_ += 1;
  services_.clear();
  by_vm_.clear();
  for (const service_spec& spec : fleet.targets.services) {
    service_routes& routes = services_[spec.name];
    routes.name = spec.name;
    routes.version = version_;
  }
  for (const work_class& work : fleet.targets.classes) {
    const auto found = services_.find(work.service);
    if (found != services_.end()) {
      found->second.classes.push_back(work);
    }
  }
  for (const vm_listing& listing : listings) {
    const auto zone = by_zone.find(listing.zone);
    const candidate_list& candidates =
        zone == by_zone.end() ? members : zone->second;
    AddEndpoint(fleet, listing,
                HighestWeight(HashOf(listing.vm.value()), candidates));
  }
  CountShares(fleet, self);
  for (std::uint32_t part = 0; part < kClaimPartitions; ++part) {
    coordinators_[part] =
        core::CoordinatorsOf(part, fleet, stopping, fleet.members.size());
  }
}

void endpoint_table::AddEndpoint(const fleet_state& fleet,
                                 const vm_listing& listing,
                                 incarnation owner) {
  const auto service = services_.find(listing.service);
  if (listing.port == 0 || service == services_.end() ||
      by_vm_.count(listing.vm) != 0) {
    return;
  }
  service_routes& routes = service->second;
  by_vm_[listing.vm] = {&routes, routes.endpoints.size()};
  routes.endpoints.push_back({listing.vm, listing.service, listing.host,
                              listing.port, listing.zone, listing.slots, owner,
                              TakesNew(fleet, listing)});
}

void endpoint_table::CountShares(const fleet_state& fleet, incarnation self) {
  for (auto& [name, routes] : services_) {
    std::map<incarnation, std::uint32_t> slots;
    for (std::size_t i = 0; i < routes.endpoints.size(); ++i) {
      const endpoint_info& endpoint = routes.endpoints[i];
      if (endpoint.owner == self) {
        routes.owned.push_back(i);
      }
      if (endpoint.takes_new && endpoint.owner != incarnation::kNone) {
        slots[endpoint.owner] += endpoint.slots;
        routes.slots += endpoint.slots;
      }
    }
    for (const auto& [owner, count] : slots) {
      routes.owners.push_back({owner, fleet.members.at(owner).zone, count});
    }
  }
}

const service_routes* endpoint_table::Find(const service_name& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

const endpoint_info* endpoint_table::FindVm(const vm_id& vm) const {
  const auto found = by_vm_.find(vm);
  if (found == by_vm_.end()) {
    return nullptr;
  }
  return &found->second.routes->endpoints[found->second.index];
}

const std::vector<incarnation>& endpoint_table::CoordinatorsOf(
    std::uint32_t partition) const {
  return coordinators_[partition];
}

}  // namespace plantainhead::core
