#ifndef PLANTAINHEAD_SRC_PLATFORM_HTTP_CLIENT_H_
#define PLANTAINHEAD_SRC_PLATFORM_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <httplib.h>

#include "net/call_outcome.h"
#include "plantainhead/core/time.h"

namespace plantainhead::platform {

using net::call_outcome;

struct http_reply {
  call_outcome outcome = call_outcome::kNotSent;
  /// Of the answer, when there is one.
  int status = 0;
  std::string body;

  /// True for a whole answer with a status of 2xx.
  bool IsSuccess() const;
  /// What went wrong, for people.
  std::string ErrorText() const;
};

/// Returns `text` as one segment of a path.
/// Thread safety: safe from any thread.
std::string EscapePathSegment(const std::string& text);

/// A connection to the platform that blocks its one user.
class platform_http_client {
 public:
  platform_http_client(const std::string& host,
                       std::uint16_t port,
                       core::duration connect_timeout,
                       core::duration answer_timeout);

  /// Thread safety: one thread at a time.
  http_reply Get(const std::string& path);
  /// Never sends the body twice.
  /// Thread safety: one thread at a time.
  http_reply Post(const std::string& path, const std::string& body);

  /// Makes a request that is waiting for its answer end now.
  /// Thread safety: safe from any thread.
  void Interrupt();

 private:
  void DropIdleConnection();

  httplib::Client client_;
  std::chrono::steady_clock::time_point last_use_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_HTTP_CLIENT_H_
