#ifndef PLANTAINHEAD_ENDPOINT_SOCKET_STREAM_H_
#define PLANTAINHEAD_ENDPOINT_SOCKET_STREAM_H_

#include <httplib.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

#include "endpoint/header_escaper.h"

namespace plantainhead::endpoint {

/// Adapts a connected socket to cpp-httplib's stream interface, with one
/// deadline for reading a message instead of a timeout for each read.
///
/// With the timeout per read of cpp-httplib's own stream, a peer that sends
/// single bytes slowly can block a thread indefinitely. That stream also
/// discards the bytes that it has read beyond the end of a message; this class
/// keeps them and reports them with `HasBuffered()`.
/// Thread safety: none. Does not own the socket.
class socket_stream : public httplib::Stream {
 public:
  using clock = std::chrono::steady_clock;

  socket_stream(int socket,
                clock::time_point read_deadline,
                std::chrono::milliseconds write_timeout);

  void set_read_deadline(clock::time_point deadline) {
    read_deadline_ = deadline;
  }

  /// Returns true if received bytes are buffered that have not been read yet.
  bool HasBuffered() const { return begin_ != end_; }

  /// Ends a wait for the peer and fails all later waits; what has arrived can
  /// still be read. With `writing`, nothing more is sent.
  /// Thread safety: safe from any thread while the socket is open.
  void Interrupt(bool writing);
  /// Thread safety: safe from any thread.
  bool interrupted() const { return interrupted_; }

  /// Declares that the next byte read starts the head of a message, whose head
  /// may have at most `head_limit` bytes; reading beyond them fails.
  void StartMessage(
      std::size_t head_limit = std::numeric_limits<std::size_t>::max()) {
    head_.Restart();
    head_left_ = head_limit;
    head_too_large_ = false;
  }

  /// Returns true if the head of the current message exceeds its limit.
  bool head_too_large() const { return head_too_large_; }

  /// Returns true once the system has accepted at least one byte for sending.
  bool has_written() const { return written_ > 0; }

  /// Returns how many bytes the system has accepted for sending.
  std::size_t written() const { return written_; }

  /// Returns the bytes read last, at most `kTailSize`.
  std::string_view tail() const { return tail_; }

  static constexpr std::size_t kTailSize = 5;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  /// Returns 0, because cpp-httplib rejects descriptors of FD_SETSIZE and
  /// above, which its select() cannot handle. This class uses poll(), which has
  /// no such limit.
  socket_t socket() const override { return 0; }

 private:
  ssize_t ReadRaw(char* data, std::size_t size);
  ssize_t ReadHeadByte(char* data);
  ssize_t Receive(char* data, std::size_t size);
  void UpdateTail(const char* data, std::size_t size);

  static constexpr std::size_t kBufferSize = 4096;

  const int socket_;
  clock::time_point read_deadline_;
  const std::chrono::milliseconds write_timeout_;
  std::array<char, kBufferSize> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::size_t written_ = 0;
  std::string tail_;
  header_escaper head_;
  // The rest of an escape sequence that has not been read yet.
  std::string_view pending_escape_;
  std::atomic<bool> interrupted_ = false;
  std::size_t head_left_ = std::numeric_limits<std::size_t>::max();
  bool head_too_large_ = false;
};

/// Waits until one of `events`, as defined for poll(), occurs on `socket` or
/// `deadline` passes. Returns whether an event occurred.
/// Thread safety: safe from any thread.
bool WaitFor(int socket,
             short events,
             socket_stream::clock::time_point deadline);

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_SOCKET_STREAM_H_
