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

/// Limits and timeouts of an HTTP client.
struct http_client_options {
  /// The maximum number of connections. Further calls wait for a connection,
  /// within their own timeout.
  std::size_t max_connections = 4;
  /// A connection that has been idle for this time is closed instead of being
  /// used again.
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(20);
  /// If a response is still arriving when the call's timeout expires, the
  /// deadline is extended by this time as long as further data arrives. A page
  /// of 1.3 MB takes 1.1 s over the slowest link (10 Mbit/s), and several calls
  /// share the link when a process starts. If such calls ended by their
  /// timeout, they would be retried and would never succeed.
  std::chrono::milliseconds stall_timeout = std::chrono::milliseconds(900);
  /// The maximum time for such a response to arrive completely, counted from
  /// the end of the call's timeout.
  std::chrono::milliseconds response_timeout = std::chrono::seconds(20);
  /// The maximum time to wait for the response to an introduction, also if the
  /// call that needs the connection has timed out. See `peer_introduction`.
  std::chrono::milliseconds introduction_timeout = std::chrono::seconds(4);
};

/// Controls how long a call waits for a response after its timeout.
struct late_response_policy {
  /// The additional time to wait for the response; zero disables the wait.
  std::chrono::milliseconds extra_wait{0};
  /// Called once when the additional wait begins.
  std::function<void()> on_late;
};

/// Identifies the peer of each new connection before a request is sent on it.
/// Another peer may listen at the same address by then, and would carry out a
/// request that was made for the expected one.
struct peer_introduction {
  /// Returns the first request of a connection. It must have no effect on any
  /// peer.
  std::function<client_request()> make_request;
  /// Returns whether the response is from the expected peer.
  std::function<bool(const client_reply&)> is_expected;
  /// Called with a complete response that was not from the expected peer, and
  /// with the time since the request was sent.
  std::function<void(const client_reply&, std::chrono::milliseconds)>
      on_unexpected;
};

/// Asynchronous HTTP/1.1 client for one server, with a small pool of persistent
/// connections.
///
/// If a call ends without a complete response, its connection is closed, so
/// that a later response cannot be assigned to another call. A call is never
/// sent twice. Not thread-safe: used from the thread of its `io_context` only.
class http_client {
 public:
  using reply_handler = std::function<void(client_reply)>;

  /// Precondition: `address` has the form "IP:PORT". Throws
  /// `std::invalid_argument` otherwise.
  http_client(boost::asio::io_context* context,
              const std::string& address,
              const http_client_options& options);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  /// Drops the calls in flight without calling their handlers.
  ~http_client();

  /// Sends the request. `on_reply` is called exactly once, after this function
  /// has returned, unless the client is destroyed before. `timeout` covers the
  /// wait for a connection, connecting, and the time until the response begins
  /// to arrive; see `http_client_options` for the rest of the response.
  void Send(const client_request& request,
            std::chrono::milliseconds timeout,
            reply_handler on_reply);
  /// Sends the request as above. If the request was sent but not answered
  /// within `timeout`, the call waits for `late.extra_wait` in addition and
  /// occupies its connection for that time.
  void Send(const client_request& request,
            std::chrono::milliseconds timeout,
            late_response_policy late,
            reply_handler on_reply);

  /// Lets every connection be introduced before it is used. A call whose
  /// connection leads to an unexpected peer is not sent. Precondition: all
  /// functions are set, and no call has been made.
  void SetIntroduction(peer_introduction introduction);
  /// Records that another peer is expected from now on. Calls that have not
  /// been sent end with `kNotSent`, those that were sent with `kUnanswered`,
  /// and no existing connection is used again. Precondition: a connection of
  /// the former peer does not lead to the new one.
  void ExpectNewPeer();

  /// Returns the number of connections opened so far.
  std::uint64_t OpenedConnections() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_HTTP_CLIENT_H_
