#ifndef PLANTAINHEAD_CALLER_IDLE_CONNECTIONS_H_
#define PLANTAINHEAD_CALLER_IDLE_CONNECTIONS_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "endpoint/socket_stream.h"

namespace plantainhead::caller {

/// One caller's connection. Owns the socket.
struct connection {
  connection(int socket, std::chrono::milliseconds write_limit);
  ~connection();

  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  const int socket;
  endpoint::socket_stream stream;
  std::size_t requests = 0;
};

using connection_ptr = std::unique_ptr<connection>;

/// Connections that have no request at present, watched by one thread.
///
/// cpp-httplib keeps a thread for each connection, so as many silent
/// connections as threads would keep every new caller waiting. Here a
/// connection gets a thread only once it can be read.
class idle_connections {
 public:
  struct limits {
    std::size_t most;
    std::chrono::milliseconds timeout;
  };

  /// `wake` takes each connection that can be read; it is called from the
  /// watching thread and must not block. So is `sweep`, now and then; it is
  /// called again soon while it returns true. Throws `std::system_error` when
  /// the system gives no epoll or eventfd.
  idle_connections(limits bounds,
                   std::function<void(connection_ptr)> wake,
                   std::function<bool()> sweep);
  ~idle_connections();

  idle_connections(const idle_connections&) = delete;
  idle_connections& operator=(const idle_connections&) = delete;

  /// Takes a connection that is to be read next. Closes the one that has been
  /// idle longest when there are too many. Returns the connection when `Stop()`
  /// has been called, else null.
  /// Thread safety: safe from any thread.
  connection_ptr Add(connection_ptr item);

  /// Hands over those that can be read already, closes the others and ends the
  /// thread. Thread safety: safe from any thread but the watching one.
  void Stop();

  /// Thread safety: safe from any thread.
  std::size_t size() const;

 private:
  struct parked {
    connection_ptr item;
    endpoint::socket_stream::clock::time_point since;
  };
  using parked_list = std::list<parked>;

  void Run();
  connection_ptr Take(int socket);
  connection_ptr TakeOldest(endpoint::socket_stream::clock::time_point before);
  connection_ptr Remove(parked_list::iterator position);

  const limits limits_;
  const std::function<void(connection_ptr)> wake_;
  const std::function<bool()> sweep_;
  int epoll_ = -1;
  int stop_event_ = -1;
  mutable std::mutex mutex_;
  bool stopped_ = false;
  // In the order of arrival; the front has been idle longest.
  parked_list parked_;
  std::unordered_map<int, parked_list::iterator> by_socket_;
  std::thread thread_;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_IDLE_CONNECTIONS_H_
