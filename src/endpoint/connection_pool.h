#ifndef PLANTAINHEAD_ENDPOINT_CONNECTION_POOL_H_
#define PLANTAINHEAD_ENDPOINT_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "endpoint/endpoint_connection.h"

namespace plantainhead::endpoint {

/// Pools the HTTP connections to all endpoints for reuse and limits their
/// number for each endpoint.
class connection_pool {
 public:
  using address = std::pair<std::string, std::uint16_t>;
  using connection_ptr = std::unique_ptr<endpoint_connection>;

  struct limits {
    std::chrono::milliseconds connect_timeout;
    std::size_t max_connections;
    std::chrono::milliseconds idle_timeout;
  };

  explicit connection_pool(limits bounds) : limits_(bounds) {}

  /// Returns a reusable idle connection, or a new one that is not connected
  /// yet. Returns null if the endpoint already has the maximum number of
  /// connections in use. The caller must return each one with `Release()`.
  /// Thread safety: safe from any thread.
  connection_ptr Acquire(const address& where);

  /// Returns a connection to the pool if it is reusable, otherwise closes it.
  /// Thread safety: safe from any thread.
  void Release(const address& where, connection_ptr item);

  /// Closes all idle connections. Thread safety: safe from any thread.
  void Clear();

 private:
  using clock = endpoint_connection::clock;

  struct idle_connection {
    connection_ptr item;
    clock::time_point idle_since;
  };
  struct endpoint_connections {
    std::size_t in_use = 0;
    // Ordered by the time of last use, most recent last.
    std::vector<idle_connection> idle;
  };

  void EvictExpired(clock::time_point now,
                    std::vector<connection_ptr>* closing);

  const limits limits_;
  std::mutex mutex_;
  std::map<address, endpoint_connections> endpoints_;
  clock::time_point last_eviction_;
};

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_CONNECTION_POOL_H_
