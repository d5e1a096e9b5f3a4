#ifndef PLANTAINHEAD_SRC_NET_HTTP_MESSAGE_H_
#define PLANTAINHEAD_SRC_NET_HTTP_MESSAGE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "net/call_outcome.h"

/// Asynchronous HTTP/1.1. Deployments on the platform need several hundred
/// calls in flight on a quarter of a core; therefore, unlike in `caller` and
/// `endpoint`, calls do not occupy a thread (docs/design/jobs.md). This file
/// declares the messages, which do not depend on sockets.
namespace plantainhead::net {

/// Header names and values in the order in which they are sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// The HTTP request methods that are distinguished here.
enum class method { kGet, kPost, kDelete, kOther };

/// A request that this process sends.
struct client_request {
  method verb = method::kGet;
  /// The path and the query.
  std::string target;
  header_list headers;
  std::string body;
  std::string content_type = "application/json";
  /// Called immediately before the request is written. If it returns false, the
  /// call ends with the outcome `kNotSent`. If empty, the request is sent.
  std::function<bool()> may_send;
  /// The request has no effect on any peer, and its response identifies the
  /// peer. See `peer_introduction`.
  bool introduces = false;
};

/// The result of a request that this process sent.
struct client_reply {
  call_outcome outcome = call_outcome::kNotSent;
  /// The HTTP status of a complete response; 0 otherwise.
  unsigned status = 0;
  std::string body;
};

/// A request that this process received.
struct server_request {
  method verb = method::kGet;
  std::string host;
  /// The path and the query.
  std::string target;
  std::string body;
  header_list headers;
};

/// The response to a request that this process received.
struct server_response {
  unsigned status = 200;
  header_list headers;
  std::string body;
  std::string content_type = "application/json";
};

/// Sends the response to a request. Must be called exactly once.
using responder = std::function<void(server_response)>;

/// Returns the value of the header `name`, which is matched case-insensitively,
/// or an empty string.
const std::string& FindHeader(const header_list& headers,
                              const std::string& name);

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_HTTP_MESSAGE_H_
