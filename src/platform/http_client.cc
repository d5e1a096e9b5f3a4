#include "platform/http_client.h"

#include <cctype>
#include <utility>

namespace plantainhead::platform {
namespace {

constexpr int kSuccessBegin = 200;
constexpr int kSuccessEnd = 300;
constexpr auto kIdleLimit = std::chrono::seconds(1);

http_reply ToReply(httplib::Result result) {
  http_reply reply;
  if (result) {
    reply.reached = call_outcome::kAnswered;
    reply.status = result->status;
    reply.body = std::move(result->body);
    return reply;
  }
  const httplib::Error error = result.error();
  const bool is_connected = error != httplib::Error::Connection &&
                            error != httplib::Error::ConnectionTimeout &&
                            error != httplib::Error::BindIPAddress;
  reply.reached =
      is_connected ? call_outcome::kUnanswered : call_outcome::kNotSent;
  return reply;
}

}  // namespace

bool http_reply::IsSuccess() const {
  return reached == call_outcome::kAnswered && status >= kSuccessBegin &&
         status < kSuccessEnd;
}

std::string http_reply::Fault() const {
  if (reached == call_outcome::kAnswered) {
    return "status " + std::to_string(status);
  }
  return std::string(core::NameOf(reached));
}

std::string EscapeSegment(const std::string& text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  constexpr unsigned kBase = 16;
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      escaped.push_back(c);
    } else {
      escaped.push_back('%');
      escaped.push_back(kDigits[byte / kBase]);
      escaped.push_back(kDigits[byte % kBase]);
    }
  }
  return escaped;
}

http_client::http_client(const std::string& host,
                         std::uint16_t port,
                         core::duration connect_timeout,
                         core::duration answer_timeout)
    : client_(host, port) {
  client_.set_connection_timeout(connect_timeout);
  client_.set_read_timeout(answer_timeout);
  client_.set_write_timeout(answer_timeout);
  client_.set_keep_alive(true);
  // Without this a small request waits up to 40 ms for the acknowledgement of
  // the packet before it.
  client_.set_tcp_nodelay(true);
}

// A server closes a connection that is idle for some seconds. If it does so as
// a request leaves, no answer comes and the request may have taken effect as
// far as anyone can tell: an append after a quiet spell would end as unknown,
// and a caller's claim with it, although nothing is wrong. No server closes as
// early as this limit, so that a connection is never used near that moment.
void http_client::DropIdleConnection() {
  const auto now = std::chrono::steady_clock::now();
  if (now - last_use_ > kIdleLimit) {
    client_.stop();
  }
}

http_reply http_client::Get(const std::string& path) {
  DropIdleConnection();
  http_reply reply = ToReply(client_.Get(path));
  last_use_ = std::chrono::steady_clock::now();
  return reply;
}

http_reply http_client::Post(const std::string& path, const std::string& body) {
  DropIdleConnection();
  http_reply reply = ToReply(client_.Post(path, body, "application/json"));
  last_use_ = std::chrono::steady_clock::now();
  return reply;
}

void http_client::Interrupt() {
  client_.stop();
}

}  // namespace plantainhead::platform
