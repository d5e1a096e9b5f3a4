#ifndef PLANTAINHEAD_SRC_PLATFORM_PLATFORM_HTTP_CLIENT_H_
#define PLANTAINHEAD_SRC_PLATFORM_PLATFORM_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <httplib.h>

#include "net/call_outcome.h"
#include "plantainhead/core/time.h"

namespace plantainhead::platform {

using net::call_outcome;

/// The outcome of an HTTP request to the platform.
struct http_reply {
  call_outcome outcome = call_outcome::kNotSent;
  /// HTTP status of the response, or 0 if there is none.
  int status = 0;
  std::string body;

  /// Returns true if a complete response with a 2xx status was received.
  bool IsSuccess() const;
  /// Returns a human-readable description of the failure.
  std::string ErrorText() const;
};

/// Returns `text` percent-encoded as one segment of a URL path.
/// Thread safety: safe from any thread.
std::string EscapePathSegment(const std::string& text);

/// A blocking HTTP connection to the platform for use by one thread.
class platform_http_client {
 public:
  platform_http_client(const std::string& host,
                       std::uint16_t port,
                       core::duration connect_timeout,
                       core::duration answer_timeout);

  /// Thread safety: one thread at a time.
  http_reply Get(const std::string& path);
  /// Sends a POST request. The body is never sent twice.
  /// Thread safety: one thread at a time.
  http_reply Post(const std::string& path, const std::string& body);

  /// Aborts a request that is waiting for its response.
  /// Thread safety: safe from any thread.
  void Interrupt();

 private:
  void DropIdleConnection();

  httplib::Client client_;
  std::chrono::steady_clock::time_point last_use_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_PLATFORM_HTTP_CLIENT_H_
