#ifndef PLANTAINHEAD_TESTS_LOOPBACK_H_
#define PLANTAINHEAD_TESTS_LOOPBACK_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <utility>

/// Raw sockets on 127.0.0.1, for tests that send byte sequences which no HTTP
/// library would produce.
namespace plantainhead::testing {

/// Sets a timeout for each read and accept, so that a test whose peer sends
/// nothing fails instead of hanging.
inline void SetReceiveTimeout(int socket) {
  const timeval most = {20, 0};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof(most));
}

class raw_connection {
 public:
  explicit raw_connection(int socket) : socket_(socket) {
    SetReceiveTimeout(socket);
  }
  raw_connection(raw_connection&& other) noexcept
      : socket_(std::exchange(other.socket_, -1)) {}
  raw_connection& operator=(raw_connection&&) = delete;
  ~raw_connection() { Close(); }

  void Send(const std::string& bytes) const {
    send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Sends all bytes. Returns false if the peer has closed the connection or
  /// reads nothing for long.
  bool TrySend(const std::string& bytes) const {
    const timeval most = {20, 0};
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof(most));
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads until `end` has been received. Returns fewer bytes if the peer
  /// closes the connection first.
  std::string ReadUntil(const std::string& end) const {
    std::string all;
    char byte = 0;
    while (all.find(end) == std::string::npos &&
           recv(socket_, &byte, 1, 0) == 1) {
      all += byte;
    }
    return all;
  }

  /// Reads until the peer closes the connection.
  std::string ReadAll() const {
    std::string all;
    char byte = 0;
    while (recv(socket_, &byte, 1, 0) == 1) {
      all += byte;
    }
    return all;
  }

  /// Reads an HTTP message head and the `size` bytes that follow it.
  std::string ReadMessage(std::size_t size = 0) const {
    std::string all = ReadUntil("\r\n\r\n");
    char byte = 0;
    for (std::size_t i = 0; i < size && recv(socket_, &byte, 1, 0) == 1; ++i) {
      all += byte;
    }
    return all;
  }

  void Close() {
    if (socket_ >= 0) {
      close(std::exchange(socket_, -1));
    }
  }

  /// Makes Close() send a reset (RST) instead of closing the connection
  /// gracefully.
  void ResetOnClose() const {
    const linger now = {1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

 private:
  int socket_;
};

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline raw_connection ConnectTo(std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = LoopbackAddress(port);
  connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return raw_connection(socket);
}

class raw_listener {
 public:
  raw_listener() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = LoopbackAddress(0);
    socklen_t size = sizeof(address);
    bind(socket_, reinterpret_cast<const sockaddr*>(&address), size);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    SetReceiveTimeout(socket_);
    listen(socket_, 16);
  }
  raw_listener(const raw_listener&) = delete;
  raw_listener& operator=(const raw_listener&) = delete;
  ~raw_listener() { Close(); }

  std::uint16_t port() const { return port_; }
  raw_connection Accept() const {
    return raw_connection(accept(socket_, nullptr, nullptr));
  }
  /// Stops listening; later connections are refused.
  void Close() {
    if (socket_ >= 0) {
      close(std::exchange(socket_, -1));
    }
  }

 private:
  int socket_;
  std::uint16_t port_ = 0;
};

}  // namespace plantainhead::testing

#endif  // PLANTAINHEAD_TESTS_LOOPBACK_H_
