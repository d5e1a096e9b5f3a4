#ifndef PLANTAINHEAD_ENDPOINT_ENDPOINT_CONNECTION_H_
#define PLANTAINHEAD_ENDPOINT_ENDPOINT_CONNECTION_H_

#include <httplib.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "endpoint/socket_stream.h"
#include "plantainhead/core/requests/request.h"

namespace plantainhead::endpoint {

/// Holds the outcome of one HTTP exchange and the response, if any.
struct exchange_result {
  enum class kind {
    /// The complete response was read.
    kComplete,
    /// No byte of the request was sent.
    kNotSent,
    /// Bytes of the request were sent, but no complete response was received;
    /// the endpoint may have executed the request.
    kIndeterminate,
  };
  kind how = kind::kIndeterminate;
  int status = 0;
  core::header_list headers;
  std::string body;
  std::string detail;
};

/// Sends requests one at a time over a single HTTP connection to an endpoint.
///
/// cpp-httplib writes the request and parses the response. This class adds what
/// the library lacks: a deadline for the entire exchange, and information on
/// whether any byte was sent, whether the end of the response was received and
/// whether the connection can be reused.
/// Thread safety: none.
class endpoint_connection : private httplib::ClientImpl {
 public:
  using clock = socket_stream::clock;

  endpoint_connection(const std::string& host,
                      std::uint16_t port,
                      std::chrono::milliseconds connect_timeout);

  /// Sends a request and reads the response, until `deadline`. Connects first
  /// if necessary. Precondition: `headers` contains no hop-by-hop headers.
  exchange_result Exchange(const core::request_envelope& request,
                           const core::header_list& headers,
                           clock::time_point deadline,
                           std::size_t max_response_bytes);

  /// Returns true if the last exchange ended cleanly and the endpoint has
  /// neither sent data nor closed the connection since. Unsolicited data would
  /// be mistaken for the response to the next request.
  bool IsReusable() const;

 private:
  // How the header section of a response delimits its body.
  enum class framing { kUnknown, kLength, kChunked, kNoBody };

  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream&)> callback) override;
  void Reset(clock::time_point deadline);
  bool ReadHead(const httplib::Response& head, std::size_t max_response_bytes);
  void CopyHead(const httplib::Response& head);
  exchange_result BuildResult(const httplib::Result& result);

  const std::chrono::milliseconds connect_timeout_;
  clock::time_point deadline_;
  framing framing_ = framing::kUnknown;
  bool sent_ = false;
  bool ends_in_last_chunk_ = false;
  bool clean_ = false;
  bool close_requested_ = false;
  std::string error_detail_;
  exchange_result current_;
};

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_ENDPOINT_CONNECTION_H_
