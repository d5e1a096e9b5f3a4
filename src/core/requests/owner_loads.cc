#include "plantainhead/core/requests/owner_loads.h"

#include <algorithm>

namespace plantainhead::core {

void owner_loads::OnReport(incarnation owner,
                           const std::vector<service_load>& load) {
  disconnected_.erase(owner);
  load_by_service& known = loads_[owner];
  for (const service_load& item : load) {
    known[item.service] = {item, 0, true};
  }
}

void owner_loads::OnForwarded(incarnation owner, const service_name& service) {
  loads_[owner][service].forwarded += 1;
}

void owner_loads::OnDisconnected(incarnation owner) {
  loads_.erase(owner);
  disconnected_.insert(owner);
}

void owner_loads::Prune(const fleet_state& fleet) {
  std::erase_if(disconnected_,
                [&](incarnation who) { return !fleet.members.contains(who); });
  std::erase_if(loads_, [&](const auto& known) {
    return !fleet.members.contains(known.first);
  });
}

const owner_loads::known_load* owner_loads::Find(
    incarnation owner,
    const service_name& service) const {
  const auto found = loads_.find(owner);
  if (found == loads_.end()) {
    return nullptr;
  }
  const auto load = found->second.find(service);
  return load == found->second.end() ? nullptr : &load->second;
}

double owner_loads::ScoreOf(const service_load& load, std::uint32_t forwarded) {
  const double taken = load.busy + load.queued + forwarded + 1.0;
  return load.slots == 0 ? taken
                         : std::max(0.0, (taken - load.slots) / load.slots);
}

double owner_loads::WaitScore(const owner_share& share,
                              const service_name& service) const {
  const known_load* known = Find(share.owner, service);
  if (known == nullptr) {
    return 0;
  }
  service_load load = known->reported;
  if (!known->is_reported) {
    load.slots = share.slots;
  }
  return ScoreOf(load, known->forwarded);
}

bool owner_loads::HasFreeSlot(const owner_share& share,
                              const service_name& service) const {
  return WaitScore(share, service) == 0;
}

std::uint32_t owner_loads::UnavailableSlots(
    const service_routes& routes) const {
  std::uint32_t lost = 0;
  for (const owner_share& share : routes.owners) {
    const known_load* known = Find(share.owner, routes.name);
    if (known != nullptr && known->is_reported &&
        known->reported.slots < share.slots) {
      lost += share.slots - known->reported.slots;
    }
  }
  return lost;
}

bool owner_loads::IsUsable(const owner_share& share,
                           const service_load& own_load,
                           const routing_context& context,
                           const std::vector<incarnation>& avoid) const {
  if (std::find(avoid.begin(), avoid.end(), share.owner) != avoid.end()) {
    return false;
  }
  if (share.owner == context.self) {
    return own_load.slots > 0;
  }
  return !context.suspects.contains(share.owner) &&
         !IsDisconnected(share.owner);
}

std::optional<incarnation> owner_loads::Choose(
    const service_routes& routes,
    const service_load& own_load,
    const routing_context& context,
    const std::vector<incarnation>& avoid,
    random_source& random) const {
  const bool own_is_free = own_load.busy + own_load.queued < own_load.slots;
  std::vector<const owner_share*> usable;
  usable.reserve(routes.owners.size());
  for (const owner_share& share : routes.owners) {
    if (!IsUsable(share, own_load, context, avoid)) {
      continue;
    }
    if (share.owner == context.self && own_is_free) {
      return share.owner;
    }
    usable.push_back(&share);
  }
  const owner_share* first = PickWeighted(usable, random);
  if (first == nullptr) {
    return std::nullopt;
  }
  std::erase(usable, first);
  const owner_share* second = PickWeighted(usable, random);
  if (second == nullptr) {
    return first->owner;
  }
  const auto score = [&](const owner_share& share) {
    return share.owner == context.self ? ScoreOf(own_load, 0)
                                       : WaitScore(share, routes.name);
  };
  const double difference = score(*first) - score(*second);
  if (difference != 0) {
    return difference < 0 ? first->owner : second->owner;
  }
  const auto self = context.fleet.members.find(context.self);
  const bool second_is_near =
      self != context.fleet.members.end() && second->zone == self->second.zone;
  return second_is_near ? second->owner : first->owner;
}

const owner_share* owner_loads::PickWeighted(
    const std::vector<const owner_share*>& shares,
    random_source& random) {
  std::uint64_t total = 0;
  for (const owner_share* share : shares) {
    total += share->slots;
  }
  if (total == 0) {
    return nullptr;
  }
  std::uint64_t ticket = random() % total;
  for (const owner_share* share : shares) {
    if (ticket < share->slots) {
      return share;
    }
    ticket -= share->slots;
  }
  return nullptr;
}

}  // namespace plantainhead::core
