#include "endpoint/endpoint_connection.h"

#include <poll.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "endpoint/http_headers.h"

namespace plantainhead::endpoint {
namespace {

static_assert(kLastChunk.size() == socket_stream::kTailSize);

constexpr std::chrono::milliseconds kMinTimeout{1};

std::chrono::milliseconds TimeLeft(socket_stream::clock::time_point deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      deadline - socket_stream::clock::now());
  return std::max(left, kMinTimeout);
}

constexpr int kNotModified = 304;
constexpr int kFirstFinalStatus = 200;

}  // namespace

endpoint_connection::endpoint_connection(
    const std::string& host,
    std::uint16_t port,
    std::chrono::milliseconds connect_timeout)
    : httplib::ClientImpl(host, port), connect_timeout_(connect_timeout) {
  set_keep_alive(true);
  set_tcp_nodelay(true);
  // Paths and bodies are forwarded unmodified.
  set_decompress(false);
  set_url_encode(false);
  set_follow_location(false);
}

exchange_result endpoint_connection::Exchange(
    const core::request_envelope& request,
    const core::header_list& headers,
    clock::time_point deadline,
    std::size_t max_response_bytes) {
  Reset(deadline);
  httplib::Request message;
  message.method = request.method;
  message.path = request.path;
  for (const auto& [name, value] : headers) {
    message.headers.emplace(name, value);
  }
  if (request.body != nullptr) {
    message.body = *request.body;
  }
  message.response_handler = [&](const httplib::Response& head) {
    return ReadHead(head, max_response_bytes);
  };
  message.content_receiver = [&](const char* data, std::size_t size,
                                 std::uint64_t, std::uint64_t) {
    if (current_.body.size() + size > max_response_bytes) {
      error_detail_ = "response body exceeds the size limit";
      return false;
    }
    current_.body.append(data, size);
    return true;
  };
  const httplib::Result result = send(message);
  return BuildResult(result);
}

void endpoint_connection::Reset(clock::time_point deadline) {
  deadline_ = deadline;
  framing_ = framing::kUnknown;
  sent_ = false;
  ends_in_last_chunk_ = false;
  clean_ = false;
  close_requested_ = false;
  error_detail_.clear();
  current_ = {};
  set_connection_timeout(std::min(connect_timeout_, TimeLeft(deadline)));
}

void endpoint_connection::CopyHead(const httplib::Response& head) {
  current_.status = head.status;
  current_.headers.clear();
  for (const auto& [name, value] : head.headers) {
    current_.headers.emplace_back(name, value);
  }
  close_requested_ = head.version == "HTTP/1.0" ||
                     head.get_header_value("Connection") == "close";
}

bool endpoint_connection::ReadHead(const httplib::Response& head,
                                   std::size_t max_response_bytes) {
  CopyHead(head);
  for (const auto& [name, value] : head.headers) {
    if (!IsWellFormed(name, value)) {
      error_detail_ = "malformed header in response";
      return false;
    }
  }
  if (head.status < kFirstFinalStatus) {
    error_detail_ = "response status below 200 is not final";
    return false;
  }
  if (head.status == kNotModified) {
    // A 304 response has no body, whatever its Content-Length says; the library
    // would wait for one.
    framing_ = framing::kNoBody;
    return false;
  }
  const std::size_t lengths = head.get_header_value_count("Content-Length");
  const std::size_t encodings =
      head.get_header_value_count("Transfer-Encoding");
  if (lengths + encodings > 1) {
    error_detail_ = "response length is specified more than once";
    return false;
  }
  if (encodings == 1) {
    framing_ = framing::kChunked;
    return true;
  }
  const std::string length = head.get_header_value("Content-Length");
  if (lengths == 1) {
    framing_ = framing::kLength;
    if (!IsNumber(length)) {
      error_detail_ = "Content-Length is not a number";
    } else if (head.get_header_value<std::uint64_t>("Content-Length") >
               max_response_bytes) {
      error_detail_ = "response body exceeds the size limit";
    }
    return error_detail_.empty();
  }
  // Without a length, the body extends to the end of the connection. This is
  // rejected because an endpoint that crashes while sending looks the same.
  error_detail_ = "response has no Content-Length or Transfer-Encoding";
  return false;
}

bool endpoint_connection::process_socket(
    const Socket& socket,
    std::function<bool(httplib::Stream&)> callback) {
  socket_stream stream(socket.sock, deadline_, TimeLeft(deadline_));
  const bool complete = callback(stream);
  sent_ = stream.has_written();
  ends_in_last_chunk_ = stream.tail() == kLastChunk;
  clean_ = complete && !stream.HasBuffered();
  return complete;
}

exchange_result endpoint_connection::BuildResult(
    const httplib::Result& result) {
  if (result && framing_ == framing::kUnknown) {
    // The library does not call the response handler for responses without a
    // body.
    framing_ = framing::kNoBody;
    CopyHead(*result);
  }
  const bool no_body = framing_ == framing::kNoBody && error_detail_.empty();
  if (!result && !no_body) {
    current_.how = sent_ ? exchange_result::kind::kIndeterminate
                         : exchange_result::kind::kNotSent;
    current_.detail = error_detail_.empty() ? httplib::to_string(result.error())
                                            : error_detail_;
  } else if (framing_ == framing::kChunked && !ends_in_last_chunk_) {
    // The library treats a chunk with a malformed end as the last one and would
    // report a truncated response as complete.
    current_.how = exchange_result::kind::kIndeterminate;
    current_.detail = "chunked response ended without the last chunk";
  } else {
    current_.how = exchange_result::kind::kComplete;
  }
  if (current_.how != exchange_result::kind::kComplete || close_requested_) {
    clean_ = false;
  }
  if (!clean_) {
    stop();
  }
  return std::move(current_);
}

bool endpoint_connection::IsReusable() const {
  return clean_ && is_socket_open() != 0 &&
         !WaitFor(socket_.sock, POLLIN, clock::now());
}

}  // namespace plantainhead::endpoint
