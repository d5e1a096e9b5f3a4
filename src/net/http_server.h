#ifndef PLANTAINHEAD_SRC_NET_HTTP_SERVER_H_
#define PLANTAINHEAD_SRC_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "net/http_message.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::net {

/// Limits and timeouts of an HTTP server.
struct http_server_options {
  /// The maximum body size in bytes. Larger requests are answered with 413.
  std::size_t body_limit = std::size_t{256} << 10U;
  /// A connection is closed if no complete request arrives within this time.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
  /// The maximum time for writing a response.
  std::chrono::milliseconds transfer_timeout = std::chrono::seconds(10);
  /// The maximum number of connections. Further connections are closed
  /// immediately.
  std::size_t max_connections = 2000;
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
