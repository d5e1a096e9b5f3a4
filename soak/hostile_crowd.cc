#include "hostile_crowd.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <limits>
#include <utility>

#include "net/address.h"

namespace plantainhead::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kReconnectGap(200);
constexpr milliseconds kPieceGap(4);
constexpr milliseconds kSlowGap(100);
constexpr std::size_t kTrailerSize = 8000;
constexpr std::size_t kTrailersOfPiece = 8;
constexpr std::size_t kLargeChunk = 16384;
constexpr std::size_t kSmallChunksOfPiece = 8192;
// 16 KiB short of the limit of a body (256 KiB).
constexpr std::size_t kBodySize = 245760;
constexpr std::size_t kEndless = std::numeric_limits<std::size_t>::max();
constexpr const char* kHead =
    "POST /q/ffffffffffffffff HTTP/1.1\r\nHost: a.example\r\n";
constexpr const char* kChunkedHead =
    "POST /q/ffffffffffffffff HTTP/1.1\r\nHost: a.example\r\n"
    "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a client sends: `start`, and then `pieces` times `piece`.
struct hostile_script {
  std::string start;
  std::string piece;
  std::size_t pieces = 0;
  milliseconds gap = kPieceGap;
};

std::string Repeat(const std::string& text, std::size_t times) {
  std::string all;
  all.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

hostile_script EndlessTrailers() {
  const std::string line = "X-T: " + std::string(kTrailerSize, 'a') + "\r\n";
  return {std::string(kChunkedHead) + "2\r\n{}\r\n0\r\n",
          Repeat(line, kTrailersOfPiece), kEndless};
}

hostile_script LargeChunks() {
  return {kChunkedHead, "4000\r\n" + std::string(kLargeChunk, ' ') + "\r\n",
          kBodySize / kLargeChunk};
}

hostile_script SmallChunks() {
  return {kChunkedHead, Repeat("1\r\n \r\n", kSmallChunksOfPiece),
          kBodySize / kSmallChunksOfPiece};
}

hostile_script SlowHead() {
  return {kHead, "X", kEndless, kSlowGap};
}

}  // namespace

class hostile_crowd::client : public std::enable_shared_from_this<client> {
 public:
  client(asio::io_context* context,
         const std::string& address,
         hostile_script script)
      : endpoint_(net::ParseAddress(address)),
        script_(std::move(script)),
        timer_(*context),
        socket_(*context) {}

  void Connect() {
    socket_ = tcp::socket(socket_.get_executor());
    socket_.async_connect(endpoint_,
                          [self = shared_from_this()](error_code error) {
                            if (error) {
                              self->ConnectLater();
                              return;
                            }
                            self->left_ = self->script_.pieces;
                            self->AwaitEnd();
                            self->Write(self->script_.start);
                          });
  }

  void Stop() {
    is_stopped_ = true;
    timer_.cancel();
    Close();
  }

 private:
  void Close() {
    error_code ignored;
    socket_.close(ignored);
  }

  void ConnectLater() {
    Close();
    After(kReconnectGap, &client::Connect);
  }

  void After(milliseconds gap, void (client::*action)()) {
    if (is_stopped_) {
      return;
    }
    timer_.expires_after(gap);
    timer_.async_wait([self = shared_from_this(), action](error_code error) {
      if (!error && !self->is_stopped_) {
        (self.get()->*action)();
      }
    });
  }

  // Reads whatever is answered, until the connection is closed.
  void AwaitEnd() {
    socket_.async_read_some(
        asio::buffer(answer_),
        [self = shared_from_this()](error_code error, std::size_t /*size*/) {
          if (error) {
            self->ConnectLater();
          } else {
            self->AwaitEnd();
          }
        });
  }

  // A failed write is noticed by the read as well.
  void Write(const std::string& text) {
    asio::async_write(
        socket_, asio::buffer(text),
        [self = shared_from_this()](error_code error, std::size_t /*size*/) {
          if (!error && self->socket_.is_open() && self->left_ > 0) {
            self->After(self->script_.gap, &client::WritePiece);
          }
        });
  }

  void WritePiece() {
    --left_;
    Write(script_.piece);
  }

  tcp::endpoint endpoint_;
  hostile_script script_;
  asio::steady_timer timer_;
  tcp::socket socket_;
  std::array<char, 4096> answer_{};
  std::size_t left_ = 0;
  bool is_stopped_ = false;
};

hostile_crowd::hostile_crowd(asio::io_context* context,
                             const std::string& address) {
  const std::vector<hostile_script> scripts = {
      EndlessTrailers(), EndlessTrailers(), EndlessTrailers(), LargeChunks(),
      LargeChunks(),     SmallChunks(),     SmallChunks(),     SlowHead()};
  for (const hostile_script& script : scripts) {
    clients_.push_back(std::make_shared<client>(context, address, script));
    clients_.back()->Connect();
  }
}

hostile_crowd::~hostile_crowd() {
  for (const auto& one : clients_) {
    one->Stop();
  }
}

}  // namespace plantainhead::soak
