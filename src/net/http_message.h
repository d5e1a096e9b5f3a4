#ifndef PLANTAINHEAD_SRC_NET_HTTP_MESSAGE_H_
#define PLANTAINHEAD_SRC_NET_HTTP_MESSAGE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "net/call_outcome.h"

/// HTTP/1.1 as messages, without the sockets. The platform's deployments need
/// some hundred calls in flight on a quarter of a core, so that here, other
/// than in `caller` and `endpoint`, no call takes a thread
/// (docs/design/jobs.md).
namespace plantainhead::net {

using header_list = std::vector<std::pair<std::string, std::string>>;

enum class method { kGet, kPost, kDelete, kOther };

/// A request that this process sends.
struct client_request {
  method verb = method::kGet;
  /// Path and query.
  std::string target;
  header_list headers;
  std::string body;
  std::string content_type = "application/json";
  /// Asked right before the request is written. When it returns false the call
  /// ends as not sent. Empty: always true.
  std::function<bool()> may_send;
};

struct client_reply {
  call_outcome outcome = call_outcome::kNotSent;
  /// Of a whole answer.
  unsigned status = 0;
  std::string body;
};

/// A request that this process was sent.
struct server_request {
  method verb = method::kGet;
  std::string host;
  /// Path and query.
  std::string target;
  std::string body;
  header_list headers;
};

struct server_response {
  unsigned status = 200;
  header_list headers;
  std::string body;
  std::string content_type = "application/json";
};

/// Sends the response; call it once.
using responder = std::function<void(server_response)>;

/// Returns the value of the header, compared without regard to case, or "".
const std::string& FindHeader(const header_list& headers,
                              const std::string& name);

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_HTTP_MESSAGE_H_
