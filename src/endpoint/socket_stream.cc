#include "endpoint/socket_stream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace plantainhead::endpoint {
namespace {

// Reads the IP address and the port with `getter`, which is getpeername() or
// getsockname().
template <typename Getter>
void ReadAddress(Getter getter, int socket, std::string* ip, int* port) {
  sockaddr_storage address = {};
  socklen_t size = sizeof(address);
  if (getter(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return;
  }
  std::array<char, INET6_ADDRSTRLEN> text = {};
  if (address.ss_family == AF_INET) {
    const auto* in = reinterpret_cast<const sockaddr_in*>(&address);
    inet_ntop(AF_INET, &in->sin_addr, text.data(), text.size());
    *port = ntohs(in->sin_port);
  } else if (address.ss_family == AF_INET6) {
    const auto* in = reinterpret_cast<const sockaddr_in6*>(&address);
    inet_ntop(AF_INET6, &in->sin6_addr, text.data(), text.size());
    *port = ntohs(in->sin6_port);
  }
  *ip = text.data();
}

// The characters after the first one in an escaped percent sign, "%25".
constexpr std::string_view kEscapeSuffix = "25";

}  // namespace

bool WaitFor(int socket,
             short events,
             socket_stream::clock::time_point deadline) {
  while (true) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - socket_stream::clock::now());
    const auto most = std::chrono::milliseconds(std::chrono::minutes(1));
    const auto wait = std::clamp(left, std::chrono::milliseconds::zero(), most);
    pollfd item = {socket, events, 0};
    const int count = poll(&item, 1, static_cast<int>(wait.count()));
    if (count > 0) {
      return true;
    }
    const bool interrupted = count < 0 && errno == EINTR;
    if (count < 0 && !interrupted) {
      return false;
    }
    if (left <= std::chrono::milliseconds::zero()) {
      return false;
    }
  }
}

socket_stream::socket_stream(int socket,
                             clock::time_point read_deadline,
                             std::chrono::milliseconds write_timeout)
    : socket_(socket),
      read_deadline_(read_deadline),
      write_timeout_(write_timeout) {}

bool socket_stream::is_readable() const {
  return HasBuffered() || WaitFor(socket_, POLLIN, read_deadline_);
}

bool socket_stream::is_writable() const {
  return WaitFor(socket_, POLLOUT, clock::now() + write_timeout_);
}

void socket_stream::Interrupt(bool writing) {
  interrupted_ = true;
  // Wakes the thread that waits.
  shutdown(socket_, writing ? SHUT_RDWR : SHUT_RD);
}

ssize_t socket_stream::Receive(char* data, std::size_t size) {
  while (true) {
    // Past the deadline nothing more is read, whether or not it is there.
    if (clock::now() >= read_deadline_) {
      return -1;
    }
    const ssize_t count = recv(socket_, data, size, MSG_DONTWAIT);
    const bool again = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK ||
                                     errno == EINTR);
    if (!again) {
      return count;
    }
    if (interrupted_ || !WaitFor(socket_, POLLIN, read_deadline_)) {
      return -1;
    }
  }
}

ssize_t socket_stream::read(char* data, size_t size) {
  return head_.InHead() && size > 0 ? ReadHeadByte(data) : ReadRaw(data, size);
}

ssize_t socket_stream::ReadHeadByte(char* data) {
  if (!pending_escape_.empty()) {
    *data = pending_escape_.front();
    pending_escape_.remove_prefix(1);
    return 1;
  }
  if (head_left_ == 0) {
    head_too_large_ = true;
    return -1;
  }
  const ssize_t count = ReadRaw(data, 1);
  head_left_ -= count == 1 ? 1 : 0;
  if (count == 1 && head_.Consume(*data)) {
    pending_escape_ = kEscapeSuffix;
  }
  return count;
}

ssize_t socket_stream::ReadRaw(char* data, std::size_t size) {
  if (!HasBuffered()) {
    begin_ = 0;
    end_ = 0;
    if (size >= buffer_.size()) {
      const ssize_t count = Receive(data, size);
      if (count > 0) {
        UpdateTail(data, static_cast<std::size_t>(count));
      }
      return count;
    }
    const ssize_t count = Receive(buffer_.data(), buffer_.size());
    if (count <= 0) {
      return count;
    }
    end_ = static_cast<std::size_t>(count);
  }
  const std::size_t count = std::min(size, end_ - begin_);
  std::memcpy(data, buffer_.data() + begin_, count);
  begin_ += count;
  UpdateTail(data, count);
  return static_cast<ssize_t>(count);
}

void socket_stream::UpdateTail(const char* data, std::size_t size) {
  const std::size_t count = std::min(size, kTailSize);
  tail_.append(data + size - count, count);
  if (tail_.size() > kTailSize) {
    tail_.erase(0, tail_.size() - kTailSize);
  }
}

ssize_t socket_stream::write(const char* data, size_t size) {
  while (true) {
    const ssize_t count =
        send(socket_, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      written_ += static_cast<std::size_t>(count);
    }
    const bool again = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK ||
                                     errno == EINTR);
    if (!again) {
      return count;
    }
    if (interrupted_ || !is_writable()) {
      return -1;
    }
  }
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ReadAddress(getpeername, socket_, &ip, &port);
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const {
  ReadAddress(getsockname, socket_, &ip, &port);
}

}  // namespace plantainhead::endpoint
