#ifndef PLANTAINHEAD_ENDPOINT_ENDPOINT_CLIENT_H_
#define PLANTAINHEAD_ENDPOINT_ENDPOINT_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/entry/events.h"
#include "plantainhead/core/time.h"

namespace caf {
class actor_system;
}  // namespace caf

namespace plantainhead::endpoint {

/// Configures the timeouts and resource limits of an `endpoint_client`.
struct endpoint_options {
  /// Timeout for establishing a connection to an endpoint.
  std::chrono::milliseconds connect_timeout = std::chrono::seconds(1);
  /// Maximum number of connections to one endpoint, active and idle together.
  std::size_t max_connections = 64;
  /// Maximum number of concurrent calls over all endpoints; further calls are
  /// queued.
  std::size_t max_threads = 512;
  /// Idle connections are not reused after this time.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(4);
  /// Maximum size of a response body in bytes; a call with a longer response
  /// fails.
  std::size_t max_response_bytes = std::size_t{64} << 20U;
};

/// Sends requests to endpoints over HTTP and reports the result of each call as
/// an event to the entry core.
///
/// Each call is attempted exactly once, on one connection. The client never
/// retries; the entry core decides whether a retry is safe.
class endpoint_client {
 public:
  /// `now` is the runtime's clock and `post` receives the events; both are
  /// called concurrently from several threads. `system` must outlive the
  /// client. Throws `std::invalid_argument` if a limit is 0 or a function is
  /// not set.
  endpoint_client(caf::actor_system& system,
                  endpoint_options options,
                  std::function<core::time_point()> now,
                  std::function<void(core::event)> post);

  /// Calls `Stop()`.
  ~endpoint_client();

  endpoint_client(const endpoint_client&) = delete;
  endpoint_client& operator=(const endpoint_client&) = delete;

  /// Starts a call without blocking. Posts exactly one event for it, at the
  /// request's deadline at the latest: `endpoint_replied` once the complete
  /// response has been read, otherwise `endpoint_failed`. After `Stop()`, every
  /// call fails with `endpoint_failure::kNotSent`.
  /// Thread safety: safe from any thread.
  void Call(core::call_endpoint request);

  /// Waits for the calls in progress, which is bounded by their deadlines, and
  /// closes all connections.
  /// Thread safety: safe from any thread except those that run `post`.
  void Stop();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_ENDPOINT_CLIENT_H_
