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

/// Sizes and limits of an `endpoint_client`.
struct endpoint_options {
  /// Time within which an endpoint must accept a connection.
  std::chrono::milliseconds connect_timeout = std::chrono::seconds(1);
  /// Connections to one endpoint, in use and kept together.
  std::size_t max_connections = 64;
  /// Calls in progress at once, over all endpoints; later ones wait.
  std::size_t max_threads = 512;
  /// A kept connection that was unused for this long isn't used again.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(4);
  /// Most bytes of an answer's body; a longer one counts as failed.
  std::size_t max_response_bytes = std::size_t{64} << 20U;
};

/// Sends requests to endpoints by HTTP and tells the decisions how each ended.
///
/// Each call is made once, on one connection: nothing is ever sent a second
/// time here. Whether that is safe is for the decisions.
class endpoint_client {
 public:
  /// `now` is the runtime's clock and `post` takes what happened; both are
  /// called from many threads. `system` must outlive the link.
  /// Throws `std::invalid_argument` when a limit is 0 or a function is not set.
  endpoint_client(caf::actor_system& system,
                  endpoint_options options,
                  std::function<core::time_point()> now,
                  std::function<void(core::event)> post);

  /// Stops if that hasn't been done.
  ~endpoint_client();

  endpoint_client(const endpoint_client&) = delete;
  endpoint_client& operator=(const endpoint_client&) = delete;

  /// Starts a call and returns at once. Posts exactly one event for it:
  /// `endpoint_replied` once the whole answer was read, else
  /// `endpoint_failed`, at the request's deadline at the latest. After `Stop()`
  /// every call ends in `endpoint_failure::kNotSent`.
  /// Thread safety: safe from any thread.
  void Call(core::call_endpoint request);

  /// Waits for the calls in progress (their deadlines bound that) and closes
  /// all connections.
  /// Thread safety: safe from any thread but those that run `post`.
  void Stop();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_ENDPOINT_CLIENT_H_
