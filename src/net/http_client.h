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
  std::size_t max_connections = 4;
  /// A connection unused for this time is closed.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(20);
  /// An answer that is still arriving when its call's timeout is over gets this
  /// time for each further piece: a page of 1.3 MB takes 1.1 s over the slowest
  /// link (10 Mbit/s), and several share it when a process starts. A call that
  /// ended then would be repeated and would never succeed.
  std::chrono::milliseconds stall_timeout = std::chrono::milliseconds(900);
  /// But all of it must have arrived within this time.
  std::chrono::milliseconds response_timeout = std::chrono::seconds(20);
};

/// What happens when an answer is late but may still come.
struct late_response_policy {
  /// The answer is awaited this much longer. Zero: not at all.
  std::chrono::milliseconds extra_wait{0};
  /// Is called, once, when that begins.
  std::function<void()> on_late;
};

/// Calls one server, over a few connections that are kept open.
///
/// A connection whose call ended without a whole answer is closed, so that an
/// answer after that meets nobody. No call is ever sent twice.
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
  /// destroyed before. `timeout` covers waiting, connecting and the time until
  /// the answer begins to arrive; see `http_client_options` for the rest of it.
  void Send(const client_request& request,
            std::chrono::milliseconds timeout,
            reply_handler on_reply);
  /// The same. A call that has been sent and has no answer in time isn't given
  /// up before `late.patience` is over, too; its connection is taken until
  /// then.
  void Send(const client_request& request,
            std::chrono::milliseconds timeout,
            late_response_policy late,
            reply_handler on_reply);

  /// Returns how many connections were opened so far.
  std::uint64_t OpenedConnections() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_HTTP_CLIENT_H_
