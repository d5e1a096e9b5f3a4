#ifndef PLANTAINHEAD_CORE_JOBS_ROUTING_H_
#define PLANTAINHEAD_CORE_JOBS_ROUTING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// A queue and the requests that are routed to it.
struct queue_route {
  queue_id queue;
  std::string host;
  /// Prefix of the request path; the longest matching prefix wins.
  std::string path_prefix;
  pool_id pool;
  queue_policy policy;
  /// An advisor limits the VMs of each step.
  bool needs_advice = false;
};

/// Configuration of one pool.
struct pool_settings {
  pool_id id;
  /// Its VMs are off and may be moved to other pools.
  bool is_spare = false;
};

/// The configuration that operators published last.
struct routing_configuration {
  std::uint64_t version = 0;
  std::vector<queue_route> routes;
  std::vector<pool_settings> pools;
};

/// The route of a request.
struct route_match {
  const queue_route* route = nullptr;
  /// The part of the path after the prefix.
  std::string_view path_suffix;
};

/// Finds the route of a request by host and longest path prefix. Not
/// thread-safe.
class routing_table {
 public:
  routing_table() = default;
  explicit routing_table(routing_configuration configuration);

  const routing_configuration& configuration() const { return configuration_; }
  /// Returns the match; its route is null if there is none. The result refers
  /// to the table and to `path`.
  route_match Find(std::string_view host, std::string_view path) const;
  /// Returns the queue's route, or null.
  const queue_route* FindQueue(const queue_id& queue) const;
  /// Returns the sorted names of all pools except the spare ones. The result is
  /// the same in every process that has the same configuration.
  std::vector<pool_id> WorkingPools() const;
  bool HasPool(const pool_id& pool) const { return pools_.count(pool) != 0; }

 private:
  routing_configuration configuration_;
  // Index in `configuration_.routes` by host, then by path prefix.
  std::map<std::string,
           std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
      by_host_;
  std::map<queue_id, std::size_t> by_queue_;
  std::set<pool_id> pools_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_ROUTING_H_
