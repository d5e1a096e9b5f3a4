#ifndef PLANTAINHEAD_CALLER_HTTP_SERVER_H_
#define PLANTAINHEAD_CALLER_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "plantainhead/caller/route.h"
#include "plantainhead/core/requests/gateway.h"
#include "plantainhead/core/time.h"

namespace plantainhead::caller {

/// Sizes and limits of an `http_server`.
struct http_server_options {
  /// IP number to listen on.
  std::string host = "127.0.0.1";
  /// 0 picks a free port.
  std::uint16_t port = 0;
  /// Requests that are read, waited for or answered at once. A connection
  /// without a request takes no thread. An eighth, and at least one, is kept
  /// for probes and operators; callers beyond the rest are told `not-run`.
  /// While connections wait for a thread, exchanges that have waited for their
  /// caller for longest are ended, as with `bodies_limit`.
  std::size_t threads = 256;
  /// Connections that are kept open without a request; beyond them the one
  /// that has been idle longest is closed. As many may wait for a thread with
  /// a request; beyond them a connection is answered `not-run` and closed.
  std::size_t most_idle_connections = 512;
  /// A connection without a request is closed after this time.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(30);
  /// A connection is closed after this many requests.
  std::size_t most_requests_per_connection = 1000;
  /// Most bytes of a request's body; above it the answer is 413.
  std::size_t body_limit = std::size_t{8} << 20U;
  /// Most bytes of all bodies of requests and answers that are held at once.
  /// Beyond it, the exchange that has waited for its caller for longest is
  /// ended: a request is answered `not-run`, an answer is cut. When there is
  /// none, the new request is answered `not-run`. At least `body_limit`.
  std::size_t bodies_limit = std::size_t{32} << 20U;
  /// Most bytes of a request's head; above it the answer is 400.
  std::size_t head_limit = std::size_t{64} << 10U;
  /// Most bytes of the chunk extensions and trailers of one body; above it the
  /// answer is 400.
  std::size_t trailer_limit = std::size_t{8} << 10U;
  /// Time from a request's first byte within which all of it must be there.
  std::chrono::milliseconds read_limit = std::chrono::seconds(15);
  /// Time within which a caller must take each piece of its answer.
  std::chrono::milliseconds write_limit = std::chrono::seconds(15);
  /// Deadline of a request without `Plantain-Deadline-Ms`, from its arrival.
  std::chrono::milliseconds default_patience = std::chrono::seconds(30);
  /// Greatest `Plantain-Deadline-Ms`; above it the answer is 400.
  std::chrono::milliseconds greatest_patience = std::chrono::hours(1);
  /// How long `Stop()` waits for answers from the decisions.
  std::chrono::milliseconds stop_limit = std::chrono::seconds(30);
  /// The runtime's clock; called from many threads. Required.
  std::function<core::time_point()> now;
};

/// What an `http_server` holds and has ended early.
struct http_server_counters {
  /// Bytes of bodies that are held now.
  std::size_t body_bytes = 0;
  /// Exchanges ended for the sake of others, since the start.
  std::size_t interrupted = 0;
  /// Connections turned away because too many wait for a thread, since the
  /// start.
  std::size_t turned_away = 0;
};

/// The HTTP side of an entry towards callers, operators and probes.
///
/// Paths that start with `/s/` are callers' requests; they go to the gateway
/// and the answer is what its future yields. All others go to the routes.
/// docs/CALLERS.md describes the interface.
class http_server {
 public:
  /// Preconditions: `options.now` and `gateway.submit` are set. Throws
  /// `std::invalid_argument` when they aren't or when a limit is 0, and
  /// `std::regex_error` when a route's pattern is malformed.
  http_server(http_server_options options,
              core::core_gateway gateway,
              const route_list& routes);

  /// Stops if that hasn't been done.
  ~http_server();

  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Listens and returns the port. Throws `std::runtime_error` when the
  /// address can't be bound. Call it once, from one thread.
  std::uint16_t Start();

  /// From now on every answer ends its connection (`Connection: close`), so
  /// that callers move elsewhere. Connections are still accepted.
  /// Thread safety: safe from any thread; later calls do nothing.
  void BeginStop();

  /// Accepts no more connections, closes those without a request, lets the
  /// requests in progress end and returns then. A request whose answer isn't
  /// known after `stop_limit` is answered `unknown`.
  /// Thread safety: call it from one thread; later calls do nothing.
  void Stop();

  /// Returns a snapshot of the counters.
  /// Thread safety: safe from any thread.
  http_server_counters counters() const;

  /// Returns how many connections are open without a request.
  /// Thread safety: safe from any thread.
  std::size_t IdleConnections() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_HTTP_SERVER_H_
