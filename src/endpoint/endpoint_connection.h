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

/// How one exchange of a request and an answer ended.
struct exchange_result {
  enum class kind {
    /// The answer was read to its end.
    kComplete,
    /// No byte of the request left.
    kNotSent,
    /// Bytes of the request left, and no whole answer came.
    kIndeterminate,
  };
  kind how = kind::kIndeterminate;
  int status = 0;
  core::header_list headers;
  std::string body;
  std::string detail;
};

/// One connection to an endpoint, for one request after the other.
///
/// cpp-httplib writes the request and parses the answer. This class adds what
/// the library leaves open: a deadline for the whole exchange, whether a byte
/// left, whether the answer's end was really seen, and whether the connection
/// may be used again.
/// Thread safety: none.
class endpoint_connection : private httplib::ClientImpl {
 public:
  using clock = socket_stream::clock;

  endpoint_connection(const std::string& host,
                      std::uint16_t port,
                      std::chrono::milliseconds connect_timeout);

  /// Sends a request and reads its answer, until `deadline`. Connects first if
  /// need be. `headers` hold no hop-by-hop ones.
  exchange_result Exchange(const core::request_envelope& request,
                           const core::header_list& headers,
                           clock::time_point deadline,
                           std::size_t max_response_bytes);

  /// True when the last exchange ended cleanly and the endpoint has sent
  /// nothing since, not even the end of the connection. Anything that came
  /// unasked would be taken for the answer to the next request.
  bool IsReusable() const;

 private:
  // What the head of an answer says about the length of its body.
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
