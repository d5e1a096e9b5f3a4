#include "net/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "net/address.h"
#include "net/http_status.h"
#include "net/socket_options.h"

namespace plantainhead::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// The delay before the next attempt if an accept has failed because no file
// descriptor was available.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

// The initial size of a session's read buffer. Nearly all requests fit, so that
// each is read with one call.
constexpr std::size_t kInitialBufferBytes = std::size_t{4} << 10U;
constexpr std::size_t kMinReadBytes = 512;
// The bytes of a connection that are not counted in the budget.
constexpr std::size_t kUncountedBytes = 2 * kInitialBufferBytes;
// What the HTTP library holds for a header in addition to its text.
constexpr std::size_t kHeaderOverheadBytes = 64;
constexpr const char* kRetryAfterSeconds = "1";

method ToMethod(http::verb verb) {
  switch (verb) {
    case http::verb::get:
      return method::kGet;
    case http::verb::post:
      return method::kPost;
    case http::verb::delete_:
      return method::kDelete;
    default:
      return method::kOther;
  }
}

}  // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context* context,
       const std::string& address,
       const http_server_options& options,
       request_handler handler)
      : acceptor_(*context, ParseAddress(address)),
        accept_timer_(*context),
        options_(options),
        handler_(std::move(handler)) {}

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](
                               error_code error, asio::ip::tcp::socket socket) {
      self->OnAccept(error, std::move(socket));
    });
  }

  void BeginStop() { is_stopping_ = true; }

  void CloseIdle() {
    error_code ignored;
    acceptor_.close(ignored);
    const auto copy = sessions_;
    for (const auto& client_session : copy) {
      if (!client_session->is_active) {
        client_session->stream.socket().close(ignored);
      }
    }
  }

  void CloseAll() {
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    handler_ = nullptr;
    options_.on_limit = nullptr;
    const auto copy = sessions_;
    for (const auto& client_session : copy) {
      client_session->stream.socket().close(ignored);
    }
    closable_.clear();
    sessions_.clear();
  }

  std::size_t active_requests() const { return active_requests_; }

 private:
  struct session {
    session(asio::ip::tcp::socket socket, std::size_t buffer_limit)
        : stream(std::move(socket)), buffer(buffer_limit) {
      buffer.reserve(kInitialBufferBytes);
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    // What the parsed headers take, once the head is complete.
    std::size_t header_bytes = 0;
    bool is_active = false;
    bool has_begun = false;
    // Its place among the connections that can be closed, if it is one.
    std::pair<bool, std::uint64_t> place;
    std::optional<memory_budget::holding> memory;
  };
  using session_ptr = std::shared_ptr<session>;

  void OnAccept(error_code error, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      accept_timer_.expires_after(kAcceptRetryDelay);
      accept_timer_.async_wait([self = shared_from_this()](error_code stopped) {
        if (!stopped) {
          self->Accept();
        }
      });
      return;
    }
    if (sessions_.size() >= options_.max_connections) {
      NoteLimit(server_limit::kConnections);
      if (!closable_.empty()) {
        CloseSession(session_ptr(closable_.begin()->second));
      }
    }
    if (sessions_.size() < options_.max_connections) {
      SetSocketOptions(socket.native_handle());
      auto new_session =
          std::make_shared<session>(std::move(socket), 2 * options_.head_limit);
      new_session->memory.emplace(
          options_.budget,
          [self = weak_from_this(), evicted = std::weak_ptr(new_session)] {
            const auto server = self.lock();
            const auto client_session = evicted.lock();
            if (server && client_session) {
              server->NoteLimit(server_limit::kMemory);
              client_session->parser.reset();
              server->CloseSession(client_session);
            }
          });
      sessions_.insert(new_session);
      Read(new_session);
    }
    Accept();
  }

  void Read(const session_ptr& client_session) {
    client_session->is_active = false;
    client_session->has_begun = false;
    MakeClosable(client_session);
    client_session->header_bytes = 0;
    client_session->parser.emplace();
    client_session->parser->eager(true);
    client_session->parser->header_limit(
        static_cast<std::uint32_t>(options_.head_limit));
    client_session->parser->body_limit(options_.body_limit);
    beast::flat_buffer& buffer = client_session->buffer;
    if (buffer.size() == 0 && buffer.capacity() > kInitialBufferBytes) {
      buffer.shrink_to_fit();
      buffer.reserve(kInitialBufferBytes);
    }
    client_session->stream.expires_after(options_.idle_timeout);
    if (buffer.size() == 0) {
      ReadMore(client_session);
    } else {
      Parse(client_session);
    }
  }

  void ReadMore(const session_ptr& client_session) {
    beast::flat_buffer& buffer = client_session->buffer;
    const std::size_t size =
        std::min(std::max(kMinReadBytes, buffer.capacity() - buffer.size()),
                 buffer.max_size() - buffer.size());
    if (size == 0) {
      RefuseHead(client_session);
      return;
    }
    client_session->stream.async_read_some(
        buffer.prepare(size), [self = shared_from_this(), client_session](
                                  error_code error, std::size_t received) {
          // An evicted connection may have a completed read.
          if (error == beast::error::timeout && client_session->has_begun) {
            self->NoteLimit(server_limit::kRequestTime);
          }
          if (error || !client_session->stream.socket().is_open()) {
            self->CloseSession(client_session);
            return;
          }
          client_session->buffer.commit(received);
          self->Parse(client_session);
        });
  }

  void Parse(const session_ptr& client_session) {
    auto& parser = *client_session->parser;
    beast::flat_buffer& buffer = client_session->buffer;
    if (!client_session->has_begun) {
      client_session->has_begun = true;
      client_session->memory->BeginRequest();
      client_session->stream.expires_after(options_.request_timeout);
      MakeClosable(client_session);
    }
    error_code error;
    std::size_t parsed = 1;
    while (!error && parsed > 0 && buffer.size() > 0 && !parser.is_done()) {
      parsed = parser.put(buffer.data(), error);
      buffer.consume(parsed);
    }
    if (error && error != http::error::need_more) {
      RefuseInvalid(client_session, error);
      return;
    }
    if (!CheckHeaders(client_session)) {
      RefuseHead(client_session);
      return;
    }
    if (!client_session->memory->TryResize(BytesOf(*client_session))) {
      Refuse(client_session, server_limit::kMemory,
             {kUnavailable,
              {{"Retry-After", kRetryAfterSeconds}},
              R"({"error":"too many large requests"})"});
      return;
    }
    if (parser.is_done()) {
      OnRequestRead(client_session);
    } else {
      ReadMore(client_session);
    }
  }

  // Returns whether the request has no more headers than allowed.
  bool CheckHeaders(const session_ptr& client_session) const {
    const auto& parser = *client_session->parser;
    const bool has_new_headers =
        parser.is_done() ||
        (parser.is_header_done() && client_session->header_bytes == 0);
    if (!has_new_headers) {
      return true;
    }
    const auto& message = parser.get();
    std::size_t count = 0;
    client_session->header_bytes = message.target().size();
    for (const auto& field : message) {
      ++count;
      client_session->header_bytes += field.name_string().size() +
                                      field.value().size() +
                                      kHeaderOverheadBytes;
    }
    return count <= options_.header_count_limit;
  }

  // Returns the bytes of an incomplete request that count in the budget.
  static std::size_t BytesOf(const session& client_session) {
    const std::size_t bytes = client_session.buffer.capacity() +
                              client_session.header_bytes +
                              client_session.parser->get().body().capacity();
    return bytes - std::min(bytes, kUncountedBytes);
  }

  void RefuseInvalid(const session_ptr& client_session, error_code error) {
    if (error == http::error::body_limit) {
      Refuse(client_session, server_limit::kBody,
             {kContentTooLarge, {}, R"({"error":"the body is too large"})"});
    } else if (error == http::error::header_limit) {
      RefuseHead(client_session);
    } else {
      BeginRequest(client_session);
      Write(client_session,
            {kBadRequest, {}, R"({"error":"malformed HTTP request"})"}, false);
    }
  }

  void RefuseHead(const session_ptr& client_session) {
    Refuse(client_session, server_limit::kHead,
           {kHeadersTooLarge, {}, R"({"error":"the headers are too large"})"});
  }

  // Answers an incomplete request, which is never handled.
  void Refuse(const session_ptr& client_session,
              server_limit limit,
              server_response response) {
    NoteLimit(limit);
    BeginRequest(client_session);
    client_session->parser.reset();
    client_session->memory->Resize(0);
    Write(client_session, std::move(response), false);
  }

  void NoteLimit(server_limit limit) const {
    if (options_.on_limit) {
      options_.on_limit(limit);
    }
  }

  void OnRequestRead(const session_ptr& client_session) {
    BeginRequest(client_session);
    auto message = client_session->parser->release();
    client_session->parser.reset();
    const bool keep_alive = message.keep_alive();
    server_request request;
    request.verb = ToMethod(message.method());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    for (const auto& field : message) {
      request.headers.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
    }
    request.body = std::move(message.body());
    if (!handler_) {
      return;
    }
    handler_(std::move(request), [self = weak_from_this(), client_session,
                                  keep_alive](server_response response) {
      if (const auto server = self.lock()) {
        server->Write(client_session, std::move(response), keep_alive);
      }
    });
  }

  // The connection is the last one to be closed among those in its state.
  void MakeClosable(const session_ptr& client_session) {
    closable_.erase(client_session->place);
    client_session->place = {client_session->has_begun, ++last_place_};
    closable_.emplace(client_session->place, client_session);
  }

  void BeginRequest(const session_ptr& client_session) {
    closable_.erase(client_session->place);
    client_session->memory->Pin();
    client_session->is_active = true;
    ++active_requests_;
    client_session->stream.expires_never();
  }

  void Write(const session_ptr& client_session,
             server_response response,
             bool keep_alive) {
    client_session->response = {};
    client_session->response.version(11);
    client_session->response.result(response.status);
    for (const auto& [name, value] : response.headers) {
      client_session->response.set(name, value);
    }
    if (!response.body.empty()) {
      client_session->response.set(http::field::content_type,
                                   response.content_type);
    }
    client_session->memory->Resize(response.body.size());
    client_session->response.body() = std::move(response.body);
    client_session->response.keep_alive(keep_alive && !is_stopping_);
    client_session->response.prepare_payload();
    client_session->stream.expires_after(options_.transfer_timeout);
    http::async_write(client_session->stream, client_session->response,
                      [self = shared_from_this(), client_session](
                          error_code error, std::size_t) {
                        --self->active_requests_;
                        client_session->memory->Resize(0);
                        self->OnResponseWritten(client_session, error);
                      });
  }

  void OnResponseWritten(const session_ptr& client_session, error_code error) {
    if (error || !client_session->response.keep_alive()) {
      error_code ignored;
      client_session->stream.socket().shutdown(
          asio::ip::tcp::socket::shutdown_send, ignored);
      CloseSession(client_session);
      return;
    }
    Read(client_session);
  }

  void CloseSession(const session_ptr& client_session) {
    error_code ignored;
    client_session->stream.socket().close(ignored);
    closable_.erase(client_session->place);
    sessions_.erase(client_session);
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  http_server_options options_;
  request_handler handler_;
  std::set<session_ptr> sessions_;
  // Connections without a request in progress: those that are idle, then those
  // with an incomplete request, each in the order of their beginnings.
  std::map<std::pair<bool, std::uint64_t>, session_ptr> closable_;
  std::uint64_t last_place_ = 0;
  std::size_t active_requests_ = 0;
  bool is_stopping_ = false;
};

http_server::http_server(asio::io_context* context,
                         const std::string& address,
                         const http_server_options& options,
                         request_handler handler)
    : impl_(std::make_shared<impl>(context,
                                   address,
                                   options,
                                   std::move(handler))) {
  impl_->Accept();
}

http_server::~http_server() {
  impl_->CloseAll();
}

void http_server::BeginStop() {
  impl_->BeginStop();
}

void http_server::CloseIdle() {
  impl_->CloseIdle();
}

std::size_t http_server::ActiveRequests() const {
  return impl_->active_requests();
}

}  // namespace plantainhead::net
