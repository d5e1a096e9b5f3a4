#include "plantainhead/core/owner_loads.h"

#include <algorithm>

namespace plantainhead::core {

void owner_loads::OnReport(incarnation owner,
                           const std::vector<service_load>& load) {
  load_by_service& known = loads_[owner];
  for (const service_load& item : load) {
    known[item.service] = {item.slots, item.busy, item.queued, 0, true};
  }
}

void owner_loads::OnForwarded(incarnation owner, const service_name& service) {
  loads_[owner][service].sent += 1;
}

void owner_loads::Forget(incarnation owner) {
  loads_.erase(owner);
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

double owner_loads::WaitScore(const owner_share& share,
                              const service_name& service) const {
  const known_load* known = Find(share.owner, service);
  if (known == nullptr) {
    return 0;
  }
  const std::uint32_t slots = known->reported ? known->slots : share.slots;
  const double taken = known->busy + known->queued + known->sent + 1.0;
  if (slots == 0) {
    return taken;
  }
  return std::max(0.0, (taken - slots) / slots);
}

bool owner_loads::HasFreeSlot(const owner_share& share,
                              const service_name& service) const {
  return WaitScore(share, service) == 0;
}

std::uint32_t owner_loads::LostSlots(const service_routes& routes) const {
  std::uint32_t lost = 0;
  for (const owner_share& share : routes.owners) {
    const known_load* known = Find(share.owner, routes.name);
    if (known != nullptr && known->reported && known->slots < share.slots) {
      lost += share.slots - known->slots;
    }
  }
  return lost;
}

std::optional<incarnation> owner_loads::Choose(
    const service_routes& routes,
    const service_load& own_load,
    const routing_context& context,
    const std::vector<incarnation>& avoid,
    random_source& random) const {
  const auto usable = [&](const owner_share& share) {
    if (share.owner == context.self) {
      return own_load.slots > 0 &&
             std::find(avoid.begin(), avoid.end(), share.owner) == avoid.end();
    }
    return context.suspects.count(share.owner) == 0 &&
           std::find(avoid.begin(), avoid.end(), share.owner) == avoid.end();
  };
  const auto score = [&](const owner_share& share) {
    if (share.owner != context.self) {
      return WaitScore(share, routes.name);
    }
    const double taken = own_load.busy + own_load.queued + 1.0;
    return std::max(0.0, (taken - own_load.slots) / own_load.slots);
  };

  std::uint32_t total = 0;
  const owner_share* own = nullptr;
  const zone_id* zone = nullptr;
  const auto member = context.fleet.members.find(context.self);
  if (member != context.fleet.members.end()) {
    zone = &member->second.zone;
  }
  for (const owner_share& share : routes.owners) {
    if (!usable(share)) {
      continue;
    }
    total += share.slots;
    if (share.owner == context.self) {
      own = &share;
    }
  }
  if (own != nullptr && score(*own) == 0) {
    return own->owner;
  }
  if (total == 0) {
    return std::nullopt;
  }
  const auto draw = [&]() -> const owner_share& {
    std::uint64_t ticket = random() % total;
    const owner_share* last = nullptr;
    for (const owner_share& share : routes.owners) {
      if (!usable(share)) {
        continue;
      }
      last = &share;
      if (ticket < share.slots) {
        break;
      }
      ticket -= share.slots;
    }
    return *last;
  };
  const owner_share& first = draw();
  const owner_share& second = draw();
  const double first_score = score(first);
  const double second_score = score(second);
  if (first_score != second_score) {
    return first_score < second_score ? first.owner : second.owner;
  }
  const bool second_near = zone != nullptr && second.zone == *zone;
  const bool first_near = zone != nullptr && first.zone == *zone;
  return second_near && !first_near ? second.owner : first.owner;
}

}  // namespace plantainhead::core
