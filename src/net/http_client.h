#ifndef PLANTAINHEAD_SRC_NET_HTTP_CLIENT_H_
#define PLANTAINHEAD_SRC_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/http_message.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::net {

struct http_client_options {
  /// Calls beyond it wait for a connection, within their own timeout.
  std::size_t most_connections = 4;
  /// A connection unused for this time is closed.
  std::chrono::milliseconds idle_limit = std::chrono::seconds(20);
};

/// Calls one server, over a few connections that are kept open.
///
/// A connection whose call ended without a whole answer is closed, so that a
/// late answer meets nobody. No call is ever sent twice.
/// Not thread-safe: used from the thread of its `io_context` only.
class http_client {
 public:
  using reply_handler = std::function<void(client_reply)>;

  /// Precondition: `address` is "IP:PORT". Throws `std::invalid_argument`
  /// otherwise.
  http_client(boost::asio::io_context* context,
              const std::string& address,
              const http_client_options& options);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  /// Calls in flight end without their handlers being called.
  ~http_client();

  /// Sends the request. `on_reply` is called once, later, unless the client is
  /// destroyed before. `timeout` covers waiting, connecting and the answer.
  void Send(client_request request,
            std::chrono::milliseconds timeout,
            reply_handler on_reply);

  /// Returns how many connections were opened so far.
  std::uint64_t OpenedConnections() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_HTTP_CLIENT_H_
