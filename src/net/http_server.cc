#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
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
// each is read with one call; the library reads at most as many bytes at once
// as the buffer has capacity for.
constexpr std::size_t kInitialBufferBytes = std::size_t{4} << 10U;

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
    const auto copy = sessions_;
    for (const auto& client_session : copy) {
      client_session->stream.socket().close(ignored);
    }
    sessions_.clear();
  }

  std::size_t active_requests() const { return active_requests_; }

 private:
  struct session {
    explicit session(asio::ip::tcp::socket socket) : stream(std::move(socket)) {
      buffer.reserve(kInitialBufferBytes);
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    bool is_active = false;
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
    if (sessions_.size() < options_.max_connections) {
      SetSocketOptions(socket.native_handle());
      auto new_session = std::make_shared<session>(std::move(socket));
      sessions_.insert(new_session);
      Read(new_session);
    }
    Accept();
  }

  void Read(const session_ptr& client_session) {
    client_session->is_active = false;
    client_session->parser.emplace();
    client_session->parser->body_limit(options_.body_limit);
    client_session->stream.expires_after(options_.idle_timeout);
    http::async_read(client_session->stream, client_session->buffer,
                     *client_session->parser,
                     [self = shared_from_this(), client_session](
                         error_code error, std::size_t) {
                       self->OnRequestRead(client_session, error);
                     });
  }

  void OnRequestRead(const session_ptr& client_session, error_code error) {
    if (error == http::error::body_limit) {
      BeginRequest(client_session);
      Write(client_session,
            {kContentTooLarge, {}, R"({"error":"the body is too large"})"},
            false);
      return;
    }
    const bool is_malformed =
        error &&
        error.category() ==
            make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    if (is_malformed) {
      BeginRequest(client_session);
      Write(client_session,
            {kBadRequest, {}, R"({"error":"malformed HTTP request"})"}, false);
      return;
    }
    if (error) {
      CloseSession(client_session);
      return;
    }
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

  void BeginRequest(const session_ptr& client_session) {
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
    client_session->response.body() = std::move(response.body);
    client_session->response.keep_alive(keep_alive && !is_stopping_);
    client_session->response.prepare_payload();
    client_session->stream.expires_after(options_.transfer_timeout);
    http::async_write(client_session->stream, client_session->response,
                      [self = shared_from_this(), client_session](
                          error_code error, std::size_t) {
                        --self->active_requests_;
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
    sessions_.erase(client_session);
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  http_server_options options_;
  request_handler handler_;
  std::set<session_ptr> sessions_;
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
