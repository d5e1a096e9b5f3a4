#ifndef PLANTAINHEAD_SOAK_FAULT_PROXY_H_
#define PLANTAINHEAD_SOAK_FAULT_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <string>

namespace plantainhead::soak {

/// What a proxy does to the bytes that pass it.
enum class link_fault {
  kNone,
  /// Each piece is passed on later.
  kDelay,
  /// What the server answers is lost.
  kLosesAnswers,
  /// Nothing passes, and nobody is told.
  kSilent,
  /// As `kSilent`, but connections that are opened reach the server when the
  /// fault is over, as by SYNs that are sent again.
  kDark,
};

/// Passes connections to a server on, with faults between. Not thread-safe.
class fault_proxy {
 public:
  /// Listens on a free port of 127.0.0.1.
  fault_proxy(boost::asio::io_context* context, const std::string& server);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  std::string address() const;
  void SetFault(link_fault fault, std::chrono::milliseconds delay = {});
  /// Lets the connections that are open fall silent for good: nothing passes,
  /// nobody is told, and later connections are as good as ever.
  void SilenceOpen();
  /// Resets the connections that are open.
  void ResetAll();
  /// Takes no connection any more.
  void Cut();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::soak

#endif  // PLANTAINHEAD_SOAK_FAULT_PROXY_H_
