#ifndef PLANTAINHEAD_SRC_NET_HTTP_SERVER_H_
#define PLANTAINHEAD_SRC_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "net/http_message.h"
#include "net/memory_budget.h"
#include "plantainhead/core/names.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::net {

/// The limits for which an HTTP server refuses requests or closes connections.
enum class server_limit {
  kHead,
  kBody,
  kMemory,
  kRequestTime,
  kConnections,
};

inline constexpr core::name_table<server_limit, 5> kServerLimitNames = {{
    {server_limit::kHead, "head"},
    {server_limit::kBody, "body"},
    {server_limit::kMemory, "memory"},
    {server_limit::kRequestTime, "request time"},
    {server_limit::kConnections, "connections"},
}};
inline constexpr const auto& NamesOf(server_limit) {
  return kServerLimitNames;
}

/// Limits and timeouts of an HTTP server.
struct http_server_options {
  /// The maximum size of a request line with its headers, in bytes. Twice as
  /// much is buffered, which also bounds trailers and chunk extensions. Larger
  /// ones are answered with 431.
  std::size_t head_limit = std::size_t{8} << 10U;
  /// The maximum number of headers and trailers of a request. More are answered
  /// with 431.
  std::size_t header_count_limit = 100;
  /// The maximum body size in bytes. Larger requests are answered with 413.
  std::size_t body_limit = std::size_t{256} << 10U;
  /// A connection is closed if no request begins within this time.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
  /// A connection is closed if a request takes longer to arrive, from its first
  /// byte to its end.
  std::chrono::milliseconds request_timeout = std::chrono::seconds(10);
  /// The maximum time for writing a response.
  std::chrono::milliseconds transfer_timeout = std::chrono::seconds(10);
  /// The maximum number of connections. For a further one, the connection is
  /// closed that has been idle for longest, or else the one whose incomplete
  /// request began first, or else the new one.
  std::size_t max_connections = 2000;
  /// Bounds the bytes held for requests, together with the other servers that
  /// share it; unbounded if not set. A small part of each connection is not
  /// counted, so that short requests are always read. Requests without room are
  /// answered with 503.
  std::shared_ptr<memory_budget> budget;
  /// Called when a request is refused or a connection is closed for a limit.
  std::function<void(server_limit)> on_limit;
};

/// Asynchronous HTTP/1.1 server on one address. A pending request does not
/// occupy a thread. Not thread-safe: used from the thread of its `io_context`
/// only.
class http_server {
 public:
  using request_handler = std::function<void(server_request, responder)>;

  /// Starts to listen. Preconditions: `address` has the form "IP:PORT" and
  /// `handler` is set. Throws `boost::system::system_error` if the address
  /// cannot be bound.
  http_server(boost::asio::io_context* context,
              const std::string& address,
              const http_server_options& options,
              request_handler handler);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  /// Closes all connections. Requests in flight are not answered.
  ~http_server();

  /// From now on each response closes its connection, so that clients connect
  /// to another server.
  void BeginStop();
  /// Stops accepting connections and closes those without a request in
  /// progress.
  void CloseIdle();
  /// Returns the number of requests that have been read but not answered.
  std::size_t ActiveRequests() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_HTTP_SERVER_H_
