#ifndef PLANTAINHEAD_ENDPOINT_SOCKET_STREAM_H_
#define PLANTAINHEAD_ENDPOINT_SOCKET_STREAM_H_

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "endpoint/header_escaper.h"

namespace plantainhead::endpoint {

/// A connected socket as cpp-httplib reads and writes it, with deadlines for
/// the whole instead of a timeout for each read.
///
/// cpp-httplib's own stream takes a timeout for each read, so a peer that sends
/// a byte now and then holds its thread for ever; it also drops what it has
/// read beyond one message. This one keeps those bytes and shows them.
/// Thread safety: none. Doesn't own the socket.
class socket_stream : public httplib::Stream {
 public:
  using clock = std::chrono::steady_clock;

  socket_stream(int socket,
                clock::time_point read_deadline,
                std::chrono::milliseconds write_timeout);

  void set_read_deadline(clock::time_point deadline) {
    read_deadline_ = deadline;
  }

  /// True when bytes were received that nobody has read yet.
  bool HasBuffered() const { return begin_ != end_; }

  /// What is read next is the head of a message.
  void StartMessage() { head_.Restart(); }

  /// True once a byte of the current message has been handed to the system.
  bool has_written() const { return written_ > 0; }

  /// The last bytes that were read, at most `kTailSize`.
  std::string_view tail() const { return tail_; }

  static constexpr std::size_t kTailSize = 5;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  /// Returns 0: cpp-httplib refuses numbers from FD_SETSIZE on, because of its
  /// select(); here poll() is used, which has no such limit.
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
  // What is left of an escaped byte.
  std::string_view pending_escape_;
};

/// Waits until `socket` has one of `events` (of poll()) or `deadline` has
/// passed; returns whether it has.
/// Thread safety: safe from any thread.
bool WaitFor(int socket,
             short events,
             socket_stream::clock::time_point deadline);

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_SOCKET_STREAM_H_
