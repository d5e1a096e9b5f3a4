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

// After an accept failed for want of descriptors the next try waits this long.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

// Of a session's buffer: nearly all requests fit, so that each is read at once.
// The library reads no more at a time than the buffer has room for.
constexpr std::size_t kRequestBytes = std::size_t{4} << 10U;

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
      self->TakeConnection(error, std::move(socket));
    });
  }

  void BeginStop() { is_stopping_ = true; }

  void CloseIdle() {
    error_code ignored;
    acceptor_.close(ignored);
    const auto copy = sessions_;
    for (const auto& open : copy) {
      if (!open->is_active) {
        open->stream.socket().close(ignored);
      }
    }
  }

  void CloseAll() {
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    handler_ = nullptr;
    const auto copy = sessions_;
    for (const auto& open : copy) {
      open->stream.socket().close(ignored);
    }
    sessions_.clear();
  }

  std::size_t active() const { return active_; }

 private:
  struct session {
    explicit session(asio::ip::tcp::socket socket) : stream(std::move(socket)) {
      buffer.reserve(kRequestBytes);
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    bool is_active = false;
  };
  using session_ptr = std::shared_ptr<session>;

  void TakeConnection(error_code error, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      accept_timer_.expires_after(kAcceptPause);
      accept_timer_.async_wait([self = shared_from_this()](error_code stopped) {
        if (!stopped) {
          self->Accept();
        }
      });
      return;
    }
    if (sessions_.size() < options_.most_connections) {
      SetSocketOptions(socket.native_handle());
      auto opened = std::make_shared<session>(std::move(socket));
      sessions_.insert(opened);
      Read(opened);
    }
    Accept();
  }

  void Read(const session_ptr& open) {
    open->is_active = false;
    open->parser.emplace();
    open->parser->body_limit(options_.body_limit);
    open->stream.expires_after(options_.idle_limit);
    http::async_read(
        open->stream, open->buffer, *open->parser,
        [self = shared_from_this(), open](error_code error, std::size_t) {
          self->TakeRequest(open, error);
        });
  }

  void TakeRequest(const session_ptr& open, error_code error) {
    if (error == http::error::body_limit) {
      Begin(open);
      Write(open,
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
      Begin(open);
      Write(open, {kBadRequest, {}, R"({"error":"malformed HTTP request"})"},
            false);
      return;
    }
    if (error) {
      Drop(open);
      return;
    }
    Begin(open);
    auto message = open->parser->release();
    open->parser.reset();
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
    handler_(std::move(request), [self = weak_from_this(), open,
                                  keep_alive](server_response response) {
      if (const auto server = self.lock()) {
        server->Write(open, std::move(response), keep_alive);
      }
    });
  }

  void Begin(const session_ptr& open) {
    open->is_active = true;
    ++active_;
    open->stream.expires_never();
  }

  void Write(const session_ptr& open,
             server_response response,
             bool keep_alive) {
    open->response = {};
    open->response.version(11);
    open->response.result(response.status);
    for (const auto& [name, value] : response.headers) {
      open->response.set(name, value);
    }
    if (!response.body.empty()) {
      open->response.set(http::field::content_type, response.content_type);
    }
    open->response.body() = std::move(response.body);
    open->response.keep_alive(keep_alive && !is_stopping_);
    open->response.prepare_payload();
    open->stream.expires_after(options_.transfer_limit);
    http::async_write(
        open->stream, open->response,
        [self = shared_from_this(), open](error_code error, std::size_t) {
          --self->active_;
          self->AfterWrite(open, error);
        });
  }

  void AfterWrite(const session_ptr& open, error_code error) {
    if (error || !open->response.keep_alive()) {
      error_code ignored;
      open->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                     ignored);
      Drop(open);
      return;
    }
    Read(open);
  }

  void Drop(const session_ptr& open) {
    error_code ignored;
    open->stream.socket().close(ignored);
    sessions_.erase(open);
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  http_server_options options_;
  request_handler handler_;
  std::set<session_ptr> sessions_;
  std::size_t active_ = 0;
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
  return impl_->active();
}

}  // namespace plantainhead::net
