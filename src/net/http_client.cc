#include "net/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <set>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

#include "net/address.h"
#include "net/socket_options.h"

namespace plantainhead::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using steady_clock = std::chrono::steady_clock;

// Larger than the largest responses of the store: a read of 1 MiB plus framing,
// and a page of 1 MB of records in base64.
constexpr std::size_t kMaxResponseBytes = std::size_t{8} << 20U;

// Bounds of the number of bytes requested from a socket at once. The minimum is
// enough for nearly all responses of VMs; the maximum is as much as the receive
// buffer of a socket contains.
constexpr std::size_t kMinReadBytes = std::size_t{4} << 10U;
constexpr std::size_t kMaxReadBytes = std::size_t{256} << 10U;

std::string_view RequestLinePrefix(method verb) {
  switch (verb) {
    case method::kPost:
      return "POST ";
    case method::kDelete:
      return "DELETE ";
    case method::kGet:
    case method::kOther:
      return "GET ";
  }
  return "GET ";
}

void AddHeader(std::string_view name, std::string_view value, std::string* to) {
  to->append(name).append(": ").append(value).append("\r\n");
}

// Serializes a request into one string, which is sent with a single copy. The
// library's serializer builds a list of views of the fields and traverses it
// for each write, which takes too much processor time in a process that sends
// several thousand small requests per second. Precondition: no name or value
// contains a line break.
std::string SerializeRequest(const client_request& request,
                             const std::string& host) {
  constexpr std::size_t kTypicalHeaderBytes = 256;
  std::string request_text;
  request_text.reserve(kTypicalHeaderBytes + request.body.size());
  request_text.append(RequestLinePrefix(request.verb))
      .append(request.target)
      .append(" HTTP/1.1\r\n");
  if (FindHeader(request.headers, "Host").empty()) {
    AddHeader("Host", host, &request_text);
  }
  for (const auto& [name, value] : request.headers) {
    AddHeader(name, value, &request_text);
  }
  if (request.verb == method::kPost) {
    AddHeader("Content-Type", request.content_type, &request_text);
    AddHeader("Content-Length", std::to_string(request.body.size()),
              &request_text);
  }
  request_text.append("\r\n");
  if (request.verb == method::kPost) {
    request_text.append(request.body);
  }
  return request_text;
}

// Returns whether the peer has neither closed the idle connection nor sent any
// data on it.
bool IsUsable(beast::tcp_stream* stream) {
  char byte = 0;
  const auto count = ::recv(stream->socket().native_handle(), &byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context* context,
       const std::string& address,
       const http_client_options& options)
      : context_(*context),
        endpoint_(ParseAddress(address)),
        host_(address),
        options_(options) {}

  void Send(const client_request& request,
            std::chrono::milliseconds timeout,
            late_response_policy late,
            reply_handler on_reply) {
    auto call = std::make_shared<pending_call>(context_);
    call->on_reply = std::move(on_reply);
    call->late = std::move(late);
    call->deadline = steady_clock::now() + timeout;
    call->request_text = SerializeRequest(request, host_);
    call->may_send = request.may_send;
    call->introduces = request.introduces;
    call->peer_number = peer_number_;
    call->max_deadline = call->deadline + options_.response_timeout;
    queued_calls_.push_back(call);
    AwaitDeadline(call);
    StartNext();
  }

  void Close() {
    is_closed_ = true;
    queued_calls_.clear();
    sent_calls_.clear();
    idle_.clear();
    introduction_ = {};
  }

  void SetIntroduction(peer_introduction introduction) {
    introduction_ = std::move(introduction);
  }

  void ExpectNewPeer() {
    ++peer_number_;
    idle_.clear();
    for (const call_ptr& call : std::exchange(queued_calls_, {})) {
      EndUnsent(call);
    }
    // The former peer will not answer any more.
    asio::post(context_, [self = weak_from_this(), calls = sent_calls_] {
      const auto client = self.lock();
      for (const call_ptr& call : calls) {
        if (client && !call->is_finished) {
          client->Finish(call, {call_outcome::kUnanswered, 0, {}}, false);
        }
      }
    });
  }

  std::uint64_t opened_connections() const { return opened_connections_; }

 private:
  struct connection {
    connection(asio::io_context& context, std::uint64_t peer)
        : stream(context), peer_number(peer) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    steady_clock::time_point idle_since;
    std::uint64_t peer_number;
    bool is_introduced = false;
  };
  using connection_ptr = std::unique_ptr<connection>;

  struct pending_call {
    explicit pending_call(asio::io_context& context) : timer(context) {}
    std::string request_text;
    std::function<bool()> may_send;
    http::response_parser<http::string_body> parser;
    reply_handler on_reply;
    late_response_policy late;
    steady_clock::time_point sent_at;
    steady_clock::time_point deadline;
    steady_clock::time_point max_deadline;
    asio::steady_timer timer;
    connection_ptr active_connection;
    bool introduces = false;
    /// The value of `peer_number_` when the call was made.
    std::uint64_t peer_number = 0;
    /// The call that waits until this one has introduced its connection.
    std::shared_ptr<pending_call> introduced_call;
    /// The result of `ArrivedBytes` at the last deadline.
    std::size_t arrived_bytes = 0;
    bool is_sent = false;
    bool is_finished = false;
  };
  using call_ptr = std::shared_ptr<pending_call>;

  void StartNext() {
    while (!queued_calls_.empty() && !is_closed_) {
      connection_ptr free = TakeIdle();
      if (!free && connections_in_use_ >= options_.max_connections) {
        return;
      }
      const call_ptr call = queued_calls_.front();
      queued_calls_.pop_front();
      ++connections_in_use_;
      if (free) {
        call->active_connection = std::move(free);
        WriteIfAllowed(call);
      } else {
        Connect(call);
      }
    }
  }

  connection_ptr TakeIdle() {
    while (!idle_.empty()) {
      connection_ptr last = std::move(idle_.back());
      idle_.pop_back();
      const bool is_fresh =
          steady_clock::now() - last->idle_since < options_.idle_timeout;
      if (is_fresh && IsUsable(&last->stream)) {
        return last;
      }
    }
    return nullptr;
  }

  void Connect(const call_ptr& call) {
    ++opened_connections_;
    call->active_connection =
        std::make_unique<connection>(context_, call->peer_number);
    call->active_connection->stream.async_connect(
        endpoint_, [self = shared_from_this(), call](error_code error) {
          if (call->is_finished) {
            return;
          }
          if (error) {
            self->Finish(call, {call_outcome::kNotSent, 0, {}}, false);
            return;
          }
          SetSocketOptions(
              call->active_connection->stream.socket().native_handle());
          self->WriteIfAllowed(call);
        });
  }

  // A call that must not be sent ends in a separate handler: a long queue of
  // such calls would otherwise cause deep recursion.
  void WriteIfAllowed(const call_ptr& call) {
    const bool is_outdated = is_closed_ || call->peer_number != peer_number_;
    if (!is_outdated && (!call->may_send || call->may_send())) {
      const bool must_introduce = introduction_.make_request &&
                                  !call->introduces &&
                                  !call->active_connection->is_introduced;
      if (must_introduce) {
        Introduce(call);
      } else {
        Write(call);
      }
      return;
    }
    asio::post(context_, [self = weak_from_this(), call] {
      const auto client = self.lock();
      if (client && !call->is_finished) {
        client->Finish(call, {call_outcome::kNotSent, 0, {}}, true);
      }
    });
  }

  // The introduction has a deadline of its own: a peer whose answers take
  // longer than the timeout of the call would otherwise never be introduced.
  void Introduce(const call_ptr& call) {
    auto introduction = std::make_shared<pending_call>(context_);
    introduction->request_text =
        SerializeRequest(introduction_.make_request(), host_);
    introduction->introduced_call = call;
    introduction->peer_number = call->peer_number;
    introduction->active_connection = std::move(call->active_connection);
    introduction->deadline =
        steady_clock::now() + options_.introduction_timeout;
    introduction->max_deadline =
        introduction->deadline + options_.response_timeout;
    AwaitDeadline(introduction);
    Write(introduction);
  }

  // Returns whether the call proceeds on the connection that was introduced to
  // it. Otherwise the call has ended.
  bool ContinueIntroduced(const call_ptr& introduction,
                          const client_reply& reply,
                          bool is_reusable) {
    const call_ptr call = std::exchange(introduction->introduced_call, nullptr);
    const bool is_answered =
        reply.outcome == call_outcome::kAnswered && !is_closed_;
    if (is_answered && !introduction_.is_expected(reply)) {
      introduction_.on_unexpected(
          reply, std::chrono::ceil<std::chrono::milliseconds>(
                     steady_clock::now() - introduction->sent_at));
    } else if (is_answered && is_reusable) {
      introduction->active_connection->is_introduced = true;
      if (call->is_finished) {
        return false;
      }
      introduction->is_finished = true;
      introduction->timer.cancel();
      call->active_connection = std::move(introduction->active_connection);
      WriteIfAllowed(call);
      return true;
    }
    EndUnsent(call);
    return false;
  }

  // Ends a call that has no connection, in a separate handler.
  void EndUnsent(const call_ptr& call) {
    if (call->is_finished) {
      return;
    }
    call->is_finished = true;
    call->timer.cancel();
    asio::post(context_, [self = weak_from_this(), call] {
      if (const auto client = self.lock()) {
        client->CallHandler(call, {call_outcome::kNotSent, 0, {}});
      }
    });
  }

  void Write(const call_ptr& call) {
    call->is_sent = true;
    call->sent_at = steady_clock::now();
    sent_calls_.insert(call);
    asio::async_write(
        call->active_connection->stream, asio::buffer(call->request_text),
        [self = shared_from_this(), call](error_code error, std::size_t) {
          if (call->is_finished) {
            return;
          }
          if (error) {
            self->Finish(call, {call_outcome::kUnanswered, 0, {}}, false);
            return;
          }
          self->Read(call);
        });
  }

  void Read(const call_ptr& call) {
    call->parser.body_limit(kMaxResponseBytes);
    call->parser.eager(true);
    ReadMore(call);
  }

  // Reads with larger requests than the library's own loop, which requests 512
  // bytes at a time from a buffer that is consumed as it is filled. Each read
  // waits behind all other handlers that are ready, so that a busy process
  // would take seconds to read several hundred KB.
  void ReadMore(const call_ptr& call) {
    call->active_connection->stream.async_read_some(
        call->active_connection->buffer.prepare(NextReadSize(call->parser)),
        [self = shared_from_this(), call](error_code error, std::size_t bytes) {
          if (!call->is_finished) {
            self->OnBytesRead(call, error, bytes);
          }
        });
  }

  static std::size_t NextReadSize(
      const http::response_parser<http::string_body>& parser) {
    const std::uint64_t wanted =
        parser.is_header_done()
            ? parser.content_length_remaining().value_or(kMaxReadBytes)
            : kMinReadBytes;
    return static_cast<std::size_t>(
        std::clamp<std::uint64_t>(wanted, kMinReadBytes, kMaxReadBytes));
  }

  static error_code Parse(beast::flat_buffer* buffer,
                          http::response_parser<http::string_body>* parser) {
    error_code error;
    std::size_t used = 0;
    do {
      used = parser->put(buffer->data(), error);
      buffer->consume(used);
    } while (!error && used > 0 && buffer->size() > 0 && !parser->is_done());
    return error == http::error::need_more ? error_code() : error;
  }

  void OnBytesRead(const call_ptr& call, error_code error, std::size_t bytes) {
    beast::flat_buffer& buffer = call->active_connection->buffer;
    buffer.commit(bytes);
    if (error == asio::error::eof && call->parser.got_some()) {
      call->parser.put_eof(error);
    } else if (!error) {
      error = Parse(&buffer, &call->parser);
    }
    if (error) {
      Finish(call, {call_outcome::kUnanswered, 0, {}}, false);
      return;
    }
    if (!call->parser.is_done()) {
      ReadMore(call);
      return;
    }
    auto message = call->parser.release();
    client_reply reply{call_outcome::kAnswered, message.result_int(),
                       std::move(message.body())};
    Finish(call, std::move(reply), message.keep_alive() && buffer.size() == 0);
  }

  void AwaitDeadline(const call_ptr& call) {
    call->timer.expires_at(call->deadline);
    call->timer.async_wait([self = weak_from_this(), call](error_code error) {
      const auto client = self.lock();
      if (client && !error) {
        client->OnDeadline(call);
      }
    });
  }

  static std::size_t ArrivedBytes(pending_call* call) {
    return call->parser.is_header_done() ? 1 + call->parser.get().body().size()
                                         : 0;
  }

  // Extends the deadline if more of the response has arrived since the last
  // deadline. Returns whether it was extended.
  bool ExtendDeadline(const call_ptr& call) {
    const std::size_t arrived_bytes = ArrivedBytes(call.get());
    const bool is_arriving = call->is_sent &&
                             arrived_bytes > call->arrived_bytes &&
                             call->deadline < call->max_deadline;
    if (is_arriving) {
      call->arrived_bytes = arrived_bytes;
      call->deadline =
          std::min(call->deadline + options_.stall_timeout, call->max_deadline);
      AwaitDeadline(call);
    }
    return is_arriving;
  }

  void OnDeadline(const call_ptr& call) {
    if (call->is_finished || ExtendDeadline(call)) {
      return;
    }
    const bool is_queued = call->active_connection == nullptr;
    if (is_queued) {
      std::erase(queued_calls_, call);
      call->is_finished = true;
      CallHandler(call, {call_outcome::kNotSent, 0, {}});
      return;
    }
    const call_outcome outcome =
        call->is_sent ? call_outcome::kUnanswered : call_outcome::kNotSent;
    if (call->is_sent) {
      DropIdleSince(call->sent_at);
    }
    if (call->is_sent && call->late.extra_wait.count() > 0) {
      AwaitLateResponse(call);
      return;
    }
    Finish(call, {outcome, 0, {}}, false);
  }

  void AwaitLateResponse(const call_ptr& call) {
    call->deadline += std::exchange(call->late.extra_wait, {});
    call->max_deadline = std::max(call->max_deadline, call->deadline);
    AwaitDeadline(call);
    const auto on_late = std::exchange(call->late.on_late, nullptr);
    if (on_late && !is_closed_) {
      on_late();
    }
  }

  // Closes the idle connections that have not delivered a response since
  // `sent_at`. After a temporary network failure, all connections that were
  // idle at that time may be dead without a reset. Each would cost another call
  // its whole timeout, up to twenty in a row, while a new connection costs one
  // round trip. Connections that have delivered a response since then are
  // usable.
  void DropIdleSince(steady_clock::time_point sent_at) {
    std::erase_if(idle_, [&](const connection_ptr& idle) {
      return idle->idle_since < sent_at;
    });
  }

  void Finish(const call_ptr& call, client_reply reply, bool is_reusable) {
    sent_calls_.erase(call);
    if (call->introduced_call) {
      if (ContinueIntroduced(call, reply, is_reusable)) {
        return;
      }
      is_reusable = is_reusable && call->active_connection->is_introduced;
    }
    const bool identifies_peer = call->introduces &&
                                 introduction_.is_expected &&
                                 reply.outcome == call_outcome::kAnswered;
    if (identifies_peer) {
      call->active_connection->is_introduced = introduction_.is_expected(reply);
    }
    is_reusable =
        is_reusable && call->active_connection->peer_number == peer_number_;
    call->is_finished = true;
    call->timer.cancel();
    --connections_in_use_;
    if (is_reusable && !is_closed_) {
      call->active_connection->idle_since = steady_clock::now();
      // Releases the memory of a large response, which the next small response
      // does not need.
      call->active_connection->buffer.consume(
          call->active_connection->buffer.size());
      call->active_connection->buffer.shrink_to_fit();
      idle_.push_back(std::move(call->active_connection));
    } else {
      error_code ignored;
      // Resets the connection, so that the data of an abandoned call is not
      // retransmitted: the peer would otherwise execute the call when the
      // network recovers, long after its timeout.
      call->active_connection->stream.socket().set_option(
          asio::socket_base::linger(true, 0), ignored);
      call->active_connection->stream.socket().close(ignored);
      // The pending handlers reference the connection through the call, which
      // they keep alive.
    }
    CallHandler(call, std::move(reply));
    StartNext();
  }

  void CallHandler(const call_ptr& call, client_reply reply) {
    const reply_handler on_reply = std::move(call->on_reply);
    call->on_reply = nullptr;
    if (on_reply && !is_closed_) {
      on_reply(std::move(reply));
    }
  }

  asio::io_context& context_;
  asio::ip::tcp::endpoint endpoint_;
  std::string host_;
  http_client_options options_;
  std::deque<call_ptr> queued_calls_;
  std::set<call_ptr> sent_calls_;
  std::vector<connection_ptr> idle_;
  std::size_t connections_in_use_ = 0;
  std::uint64_t opened_connections_ = 0;
  peer_introduction introduction_;
  /// Counts the peers that have been expected.
  std::uint64_t peer_number_ = 0;
  bool is_closed_ = false;
};

http_client::http_client(asio::io_context* context,
                         const std::string& address,
                         const http_client_options& options)
    : impl_(std::make_shared<impl>(context, address, options)) {}

http_client::~http_client() {
  impl_->Close();
}

void http_client::Send(const client_request& request,
                       std::chrono::milliseconds timeout,
                       reply_handler on_reply) {
  impl_->Send(request, timeout, {}, std::move(on_reply));
}

void http_client::Send(const client_request& request,
                       std::chrono::milliseconds timeout,
                       late_response_policy late,
                       reply_handler on_reply) {
  impl_->Send(request, timeout, std::move(late), std::move(on_reply));
}

void http_client::SetIntroduction(peer_introduction introduction) {
  impl_->SetIntroduction(std::move(introduction));
}

void http_client::ExpectNewPeer() {
  impl_->ExpectNewPeer();
}

std::uint64_t http_client::OpenedConnections() const {
  return impl_->opened_connections();
}

}  // namespace plantainhead::net
