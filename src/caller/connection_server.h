#ifndef PLANTAINHEAD_CALLER_CONNECTION_SERVER_H_
#define PLANTAINHEAD_CALLER_CONNECTION_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "caller/idle_connections.h"
#include "caller/request_parser.h"
#include "caller/transfer_table.h"
#include "plantainhead/core/requests/request.h"

namespace plantainhead::caller {

/// What the HTTP library would change about a request or lose of it, kept for
/// the handler that runs on the same thread.
struct exchange {
  /// Decoded path.
  std::string path;
  /// Headers as the caller sent them.
  core::header_list headers;
  /// The handler sets it when the rest of the connection can't be trusted.
  bool close = false;
  endpoint::socket_stream* stream = nullptr;
  transfer_table::transfer* transfer = nullptr;
  /// Set when the length of the body is in doubt or the body isn't allowed.
  std::string framing_fault;
};

/// Returns the exchange of the request that this thread handles.
/// Precondition: called from a handler of a `connection_server`.
exchange& CurrentExchange();

/// Returns the refusal of a request whose head has more than `limit` bytes.
refusal HeadTooLarge(std::size_t limit);

/// Returns the refusal of a request that was interrupted for the sake of
/// others, or that got no memory.
refusal Overloaded();

/// cpp-httplib's server with threads for requests instead of connections.
///
/// It replaces only how connections are waited for. Parsing, routing and
/// writing stay the library's.
class connection_server : public httplib::Server {
 public:
  struct limits {
    std::size_t threads;
    std::size_t most_idle;
    std::chrono::milliseconds idle_timeout;
    std::size_t most_requests;
    std::chrono::milliseconds read_limit;
    std::chrono::milliseconds write_limit;
    /// Bytes of a request's head.
    std::size_t head;
    /// Bytes of all bodies at once.
    std::size_t bodies;
  };

  explicit connection_server(limits bounds);
  ~connection_server() override;

  /// Binds and accepts. Throws `std::runtime_error` when it can't bind.
  std::uint16_t Start(const std::string& host, std::uint16_t port);

  /// Ends each connection after its next answer.
  void EndConnections() { ending_ = true; }
  bool ending() const { return ending_; }

  /// Returns once every request in progress has its answer.
  void Stop();

  std::size_t IdleConnections() const { return idle_.size(); }
  std::size_t TurnedAway() const { return turned_away_; }
  const transfer_table& transfers() const { return transfers_; }

 private:
  bool process_and_close_socket(socket_t socket) override;
  bool Bind(const std::string& host, int port);
  void Listen(const std::string& host);
  void Serve(connection_ptr item);
  bool AwaitNextRequest(connection* item) const;
  bool ServeOne(connection* item);
  // Answers a request of which the library has made nothing.
  void Refuse(endpoint::socket_stream* stream, const refusal& why);
  void Enqueue(connection_ptr item);
  // Interrupts exchanges that wait for their callers while connections wait for
  // a thread. Returns whether any do.
  bool Relieve();

  const limits limits_;
  transfer_table transfers_;
  std::atomic<std::size_t> queued_ = 0;
  std::atomic<std::size_t> turned_away_ = 0;
  std::atomic<std::size_t> busy_threads_ = 0;
  httplib::ThreadPool pool_;
  idle_connections idle_;
  std::atomic<bool> ending_ = false;
  std::atomic<bool> stopping_ = false;
  int port_ = 0;
  std::thread listener_;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_CONNECTION_SERVER_H_
