#include "plantainhead/core/jobs/routing.h"

#include <algorithm>
#include <utility>

namespace plantainhead::core::jobs {

routing_table::routing_table(routing_configuration configuration)
    : configuration_(std::move(configuration)) {
  for (std::size_t i = 0; i < configuration_.routes.size(); ++i) {
    const queue_route& route = configuration_.routes[i];
    by_host_[route.host].emplace(route.path_prefix, i);
    by_queue_.emplace(route.queue, i);
  }
  for (const pool_settings& pool : configuration_.pools) {
    pools_.insert(pool.id);
  }
}

route_match routing_table::Find(std::string_view host,
                                std::string_view path) const {
  const auto prefixes = by_host_.find(host);
  if (prefixes == by_host_.end()) {
    return {};
  }
  // Among the prefixes that match the path, the longest one sorts last, but
  // prefixes that do not match may lie between them.
  for (std::size_t length = path.size() + 1; length-- > 0;) {
    const auto found = prefixes->second.find(path.substr(0, length));
    if (found != prefixes->second.end()) {
      return {&configuration_.routes[found->second], path.substr(length)};
    }
  }
  return {};
}

const queue_route* routing_table::FindQueue(const queue_id& queue) const {
  const auto found = by_queue_.find(queue);
  return found == by_queue_.end() ? nullptr
                                  : &configuration_.routes[found->second];
}

std::vector<pool_id> routing_table::WorkingPools() const {
  std::vector<pool_id> pools;
  for (const pool_settings& pool : configuration_.pools) {
    if (!pool.is_spare) {
      pools.push_back(pool.id);
    }
  }
  std::sort(pools.begin(), pools.end());
  return pools;
}

}  // namespace plantainhead::core::jobs
