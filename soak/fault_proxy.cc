#include "fault_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "net/address.h"

namespace plantainhead::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class fault_proxy::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context* context, const std::string& server)
      : context_(*context),
        server_(net::ParseAddress(server)),
        acceptor_(*context, net::ParseAddress("127.0.0.1:0")) {}

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  void SetFault(link_fault fault, std::chrono::milliseconds delay) {
    fault_ = fault;
    delay_ = delay;
    if (fault != link_fault::kDark) {
      const auto waiting = std::move(waiting_);
      waiting_.clear();
      for (const pair_ptr& one : waiting) {
        Connect(one);
      }
    }
  }

  void Accept() {
    auto next = std::make_shared<pair>(context_);
    acceptor_.async_accept(next->caller,
                           [self = shared_from_this(), next](error_code error) {
                             if (error) {
                               return;
                             }
                             if (self->fault_ == link_fault::kDark) {
                               next->was_held = true;
                               self->waiting_.push_back(next);
                             } else {
                               self->Connect(next);
                             }
                             self->Accept();
                           });
  }

  void SilenceOpen() {
    for (const auto& one : pairs_) {
      one->is_silent = true;
    }
  }

  void ResetAll() {
    const auto open = std::move(pairs_);
    pairs_.clear();
    for (const auto& one : open) {
      Reset(one);
    }
  }

  void Close() {
    error_code ignored;
    acceptor_.close(ignored);
    waiting_.clear();
    ResetAll();
  }

 private:
  struct pair {
    explicit pair(asio::io_context& context)
        : caller(context), server(context) {}
    tcp::socket caller;
    tcp::socket server;
    std::array<std::array<char, 16384>, 2> buffers{};
    bool is_silent = false;
    bool was_held = false;
  };
  using pair_ptr = std::shared_ptr<pair>;

  void Connect(const pair_ptr& one) {
    pairs_.push_back(one);
    one->server.async_connect(
        server_, [self = shared_from_this(), one](error_code refused) {
          if (refused) {
            self->Reset(one);
            return;
          }
          self->Pump(one, true);
          self->Pump(one, false);
        });
  }

  void Reset(const pair_ptr& one) {
    error_code ignored;
    for (tcp::socket* socket : {&one->caller, &one->server}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    pairs_.remove(one);
  }

  // Passes on what one side sends, piece by piece.
  void Pump(const pair_ptr& one, bool is_request) {
    tcp::socket& from = is_request ? one->caller : one->server;
    auto& buffer = one->buffers[is_request ? 0 : 1];
    from.async_read_some(
        asio::buffer(buffer), [self = shared_from_this(), one, is_request](
                                  error_code error, std::size_t size) {
          if (error == asio::error::eof && one->was_held && is_request) {
            // A reset would drop what was sent before.
            error_code ignored;
            one->server.shutdown(tcp::socket::shutdown_send, ignored);
            return;
          }
          if (error) {
            self->Reset(one);
            return;
          }
          self->Pass(one, is_request, size);
        });
  }

  void Pass(const pair_ptr& one, bool is_request, std::size_t size) {
    const bool is_lost = one->is_silent || fault_ == link_fault::kSilent ||
                         fault_ == link_fault::kDark ||
                         (fault_ == link_fault::kLosesAnswers && !is_request);
    if (is_lost) {
      // The connection stays silent for good: bytes of it are missing.
      return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(
        fault_ == link_fault::kDelay ? delay_ : std::chrono::milliseconds(0));
    timer->async_wait([self = shared_from_this(), one, is_request, size,
                       timer](error_code /*error*/) {
      tcp::socket& to = is_request ? one->server : one->caller;
      asio::async_write(
          to, asio::buffer(one->buffers[is_request ? 0 : 1].data(), size),
          [self, one, is_request](error_code error, std::size_t) {
            if (error) {
              self->Reset(one);
            } else {
              self->Pump(one, is_request);
            }
          });
    });
  }

  asio::io_context& context_;
  tcp::endpoint server_;
  tcp::acceptor acceptor_;
  std::list<pair_ptr> pairs_;
  std::list<pair_ptr> waiting_;
  link_fault fault_ = link_fault::kNone;
  std::chrono::milliseconds delay_{0};
};

fault_proxy::fault_proxy(asio::io_context* context, const std::string& server)
    : impl_(std::make_shared<impl>(context, server)) {
  impl_->Accept();
}

fault_proxy::~fault_proxy() {
  impl_->Close();
}

std::string fault_proxy::address() const {
  return impl_->address();
}

void fault_proxy::SetFault(link_fault fault, std::chrono::milliseconds delay) {
  impl_->SetFault(fault, delay);
}

void fault_proxy::Cut() {
  impl_->Close();
}

void fault_proxy::SilenceOpen() {
  impl_->SilenceOpen();
}

void fault_proxy::ResetAll() {
  impl_->ResetAll();
}

}  // namespace plantainhead::soak
