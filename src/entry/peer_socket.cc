#include "entry/peer_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace plantainhead::entry {
namespace {

// Maximum number of SYN retransmissions. With the kernel's default, a failed
// handshake takes two minutes.
constexpr int kMaxSynRetries = 2;

struct socket_address {
  sockaddr_storage storage{};
  socklen_t size = 0;
};

std::optional<socket_address> ParseAddress(const std::string& host,
                                           std::uint16_t port) {
  socket_address result;
  sockaddr_in v4{};
  if (::inet_pton(AF_INET, host.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    std::memcpy(&result.storage, &v4, sizeof(v4));
    result.size = sizeof(v4);
    return result;
  }
  sockaddr_in6 v6{};
  if (::inet_pton(AF_INET6, host.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    std::memcpy(&result.storage, &v6, sizeof(v6));
    result.size = sizeof(v6);
    return result;
  }
  return std::nullopt;
}

}  // namespace

std::optional<int> StartConnecting(const std::string& host,
                                   std::uint16_t port,
                                   core::duration stall_timeout) {
  const std::optional<socket_address> address = ParseAddress(host, port);
  if (!address) {
    return std::nullopt;
  }
  const int handle = ::socket(address->storage.ss_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (handle < 0) {
    return std::nullopt;
  }
  const auto milliseconds = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(stall_timeout)
          .count());
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
               sizeof(milliseconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_SYNCNT, &kMaxSynRetries,
               sizeof(kMaxSynRetries));
  const int result =
      ::connect(handle, reinterpret_cast<const sockaddr*>(&address->storage),
                address->size);
  if (result != 0 && errno != EINPROGRESS) {
    ::close(handle);
    return std::nullopt;
  }
  return handle;
}

void Abort(int socket) {
  ::shutdown(socket, SHUT_RDWR);
}

}  // namespace plantainhead::entry
