#include "partition_proxy.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>

#include "net/address.h"

namespace plantainhead::review {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class partition_proxy::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context* context,
       const std::string& server,
       partition_proxy* owner)
      : context_(*context),
        server_(net::ParseAddress(server)),
        acceptor_(*context, net::ParseAddress("127.0.0.1:0")),
        owner_(owner) {}

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  void Accept() {
    auto next = std::make_shared<link>(context_);
    acceptor_.async_accept(next->sockets[kClient],
                           [self = shared_from_this(), next](error_code error) {
                             if (error) {
                               return;
                             }
                             self->links_.push_back(next);
                             self->Read(next, kClient);
                             self->Flush(next);
                             self->Accept();
                           });
  }

  void LoseAnswerTo(const std::string& text) { lost_answer_to_ = text; }

  void SetPartitioned(bool is_partitioned) {
    is_partitioned_ = is_partitioned;
    const auto open = links_;
    for (const auto& one : open) {
      Flush(one);
    }
  }

  void Close() {
    owner_ = nullptr;
    error_code ignored;
    acceptor_.close(ignored);
    const auto open = links_;
    for (const auto& one : open) {
      Reset(one);
    }
  }

 private:
  static constexpr int kClient = 0;
  static constexpr int kServer = 1;

  struct link {
    explicit link(asio::io_context& context)
        : sockets{tcp::socket(context), tcp::socket(context)} {}
    std::array<tcp::socket, 2> sockets;
    std::array<std::array<char, 16384>, 2> buffers{};
    /// Bytes that each side has sent and that were not passed on yet.
    std::array<std::string, 2> pending;
    std::array<bool, 2> is_writing{};
    std::array<bool, 2> has_ended{};
    std::array<bool, 2> is_end_passed{};
    bool is_connecting = false;
    bool is_connected = false;
    bool is_closed = false;
    bool loses_answer = false;
  };
  using link_ptr = std::shared_ptr<link>;

  void Reset(const link_ptr& one) {
    one->is_closed = true;
    error_code ignored;
    for (tcp::socket& socket : one->sockets) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }
    links_.remove(one);
  }

  void Read(const link_ptr& one, int side) {
    one->sockets[side].async_read_some(
        asio::buffer(one->buffers[side]),
        [self = shared_from_this(), one, side](error_code error,
                                               std::size_t size) {
          if (one->is_closed) {
            return;
          }
          if (error == asio::error::eof) {
            one->has_ended[side] = true;
            self->Flush(one);
            return;
          }
          if (error) {
            // A reset discards what has not been passed on.
            self->Reset(one);
            return;
          }
          const std::string_view piece(one->buffers[side].data(), size);
          if (side == kClient && self->owner_ != nullptr &&
              self->owner_->on_request) {
            self->owner_->on_request(piece);
          }
          if (side == kClient && !self->lost_answer_to_.empty() &&
              piece.find(self->lost_answer_to_) != std::string_view::npos) {
            self->lost_answer_to_.clear();
            one->loses_answer = true;
          }
          if (side == kServer && one->loses_answer) {
            self->Reset(one);
            return;
          }
          one->pending[side].append(piece);
          self->Flush(one);
          self->Read(one, side);
        });
  }

  void Flush(const link_ptr& one) {
    if (is_partitioned_ || one->is_closed) {
      return;
    }
    if (!one->is_connected) {
      Connect(one);
      return;
    }
    Pass(one, kClient);
    Pass(one, kServer);
  }

  void Connect(const link_ptr& one) {
    if (one->is_connecting) {
      return;
    }
    one->is_connecting = true;
    one->sockets[kServer].async_connect(
        server_, [self = shared_from_this(), one](error_code error) {
          if (one->is_closed) {
            return;
          }
          if (error) {
            self->Reset(one);
            return;
          }
          one->is_connected = true;
          self->Read(one, kServer);
          self->Flush(one);
        });
  }

  // Passes on what `side` has sent, then the end of its stream.
  void Pass(const link_ptr& one, int side) {
    if (one->is_writing[side] || one->is_closed) {
      return;
    }
    tcp::socket& to = one->sockets[1 - side];
    if (one->pending[side].empty()) {
      if (one->has_ended[side] && !one->is_end_passed[side]) {
        one->is_end_passed[side] = true;
        error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        if (one->is_end_passed[1 - side]) {
          one->is_closed = true;
          links_.remove(one);
        }
      }
      return;
    }
    one->is_writing[side] = true;
    const auto bytes = std::make_shared<std::string>();
    bytes->swap(one->pending[side]);
    asio::async_write(to, asio::buffer(*bytes),
                      [self = shared_from_this(), one, side, bytes](
                          error_code error, std::size_t) {
                        one->is_writing[side] = false;
                        if (error) {
                          if (!one->is_closed) {
                            self->Reset(one);
                          }
                          return;
                        }
                        self->Flush(one);
                      });
  }

  asio::io_context& context_;
  tcp::endpoint server_;
  tcp::acceptor acceptor_;
  partition_proxy* owner_;
  std::list<link_ptr> links_;
  bool is_partitioned_ = false;
  std::string lost_answer_to_;
};

partition_proxy::partition_proxy(asio::io_context* context,
                                 const std::string& server)
    : impl_(std::make_shared<impl>(context, server, this)) {
  impl_->Accept();
}

partition_proxy::~partition_proxy() {
  impl_->Close();
}

std::string partition_proxy::address() const {
  return impl_->address();
}

void partition_proxy::BeginPartition() {
  impl_->SetPartitioned(true);
}

void partition_proxy::EndPartition() {
  impl_->SetPartitioned(false);
}

void partition_proxy::LoseAnswerTo(const std::string& text) {
  impl_->LoseAnswerTo(text);
}

}  // namespace plantainhead::review
