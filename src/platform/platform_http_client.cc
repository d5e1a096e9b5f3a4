#include "platform/platform_http_client.h"

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
    reply.outcome = call_outcome::kAnswered;
    reply.status = result->status;
    reply.body = std::move(result->body);
    return reply;
  }
  const httplib::Error error = result.error();
  const bool is_connected = error != httplib::Error::Connection &&
                            error != httplib::Error::ConnectionTimeout &&
                            error != httplib::Error::BindIPAddress;
  reply.outcome =
      is_connected ? call_outcome::kUnanswered : call_outcome::kNotSent;
  return reply;
}

}  // namespace

bool http_reply::IsSuccess() const {
  return outcome == call_outcome::kAnswered && status >= kSuccessBegin &&
         status < kSuccessEnd;
}

std::string http_reply::ErrorText() const {
  if (outcome == call_outcome::kAnswered) {
    return "status " + std::to_string(status);
  }
  return std::string(core::NameOf(outcome));
}

std::string EscapePathSegment(const std::string& text) {
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

platform_http_client::platform_http_client(const std::string& host,
                                           std::uint16_t port,
                                           core::duration connect_timeout,
                                           core::duration answer_timeout)
    : client_(host, port) {
  client_.set_connection_timeout(connect_timeout);
  client_.set_read_timeout(answer_timeout);
  client_.set_write_timeout(answer_timeout);
  client_.set_keep_alive(true);
  // Without TCP_NODELAY, a small request waits up to 40 ms for the
  // acknowledgement of the previous packet.
  client_.set_tcp_nodelay(true);
}

// Closes the connection if it has been idle for longer than `kIdleLimit`. A
// server closes connections that are idle for some seconds. If it does so just
// as a request is sent, no response arrives and it is unknown whether the
// request took effect: an append after an idle period, and the claim of a
// caller in it, would end as unknown although nothing is wrong. The limit is
// shorter than the idle timeout of any server, so that a connection is never
// used close to that moment.
void platform_http_client::DropIdleConnection() {
  const auto now = std::chrono::steady_clock::now();
  if (now - last_use_ > kIdleLimit) {
    client_.stop();
  }
}

http_reply platform_http_client::Get(const std::string& path) {
  DropIdleConnection();
  http_reply reply = ToReply(client_.Get(path));
  last_use_ = std::chrono::steady_clock::now();
  return reply;
}

http_reply platform_http_client::Post(const std::string& path,
                                      const std::string& body) {
  DropIdleConnection();
  http_reply reply = ToReply(client_.Post(path, body, "application/json"));
  last_use_ = std::chrono::steady_clock::now();
  return reply;
}

void platform_http_client::Interrupt() {
  client_.stop();
}

}  // namespace plantainhead::platform
