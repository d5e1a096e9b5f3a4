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

struct http_server_options {
  /// A larger body is answered with 413.
  std::size_t body_limit = std::size_t{256} << 10U;
  /// A connection without a request is closed after this time.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
  /// Time to send a request, and to take the answer.
  std::chrono::milliseconds transfer_timeout = std::chrono::seconds(10);
  /// Connections beyond it are closed at once.
  std::size_t max_connections = 2000;
};

/// Serves HTTP/1.1 on one address. A request waits on no thread.
/// Not thread-safe: used from the thread of its `io_context` only.
class http_server {
 public:
  using request_handler = std::function<void(server_request, responder)>;

  /// Listens. Preconditions: `address` is "IP:PORT" and `handler` is set.
  /// Throws `boost::system::system_error` when the address can't be used.
  http_server(boost::asio::io_context* context,
              const std::string& address,
              const http_server_options& options,
              request_handler handler);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  /// From now on each answer ends its connection, so that callers go elsewhere.
  void BeginStop();
  /// Accepts nothing more and closes the connections that carry no request.
  void CloseIdle();
  /// Returns how many requests have been read and not answered.
  std::size_t ActiveRequests() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_HTTP_SERVER_H_
