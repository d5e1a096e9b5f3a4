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

/// A queue and the requests that belong to it.
struct queue_route {
  queue_id queue;
  std::string host;
  /// Of the path; the longest prefix that fits wins.
  std::string path_prefix;
  pool_id pool;
  queue_policy policy;
  /// An advisor limits the VMs of each step.
  bool needs_advice = false;
};

struct pool_settings {
  pool_id id;
  /// Its VMs are off; they may be moved to other pools.
  bool is_spare = false;
};

/// What operators published last.
struct routing_configuration {
  std::uint64_t version = 0;
  std::vector<queue_route> routes;
  std::vector<pool_settings> pools;
};

/// Where a request belongs.
struct route_match {
  const queue_route* route = nullptr;
  /// What follows the prefix.
  std::string_view path_suffix;
};

/// Finds routes by host and longest prefix. Not thread-safe.
class routing_table {
 public:
  routing_table() = default;
  explicit routing_table(routing_configuration configuration);

  const routing_configuration& configuration() const { return configuration_; }
  /// Returns the match; its route is null when there is none. The result refers
  /// to the table and to `path`.
  route_match Find(std::string_view host, std::string_view path) const;
  /// Returns the queue's route, or null.
  const queue_route* FindQueue(const queue_id& queue) const;
  /// Returns the names of the pools that work, thus of all but the spare ones,
  /// in order, which is the same in every process that has the same
  /// configuration.
  std::vector<pool_id> WorkingPools() const;
  bool HasPool(const pool_id& pool) const { return pools_.count(pool) != 0; }

 private:
  routing_configuration configuration_;
  // By host, then by prefix.
  std::map<std::string,
           std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
      by_host_;
  std::map<queue_id, std::size_t> by_queue_;
  std::set<pool_id> pools_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_ROUTING_H_
