#ifndef PLANTAINHEAD_SOAK_HOSTILE_CROWD_H_
#define PLANTAINHEAD_SOAK_HOSTILE_CROWD_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace plantainhead::soak {

/// Clients of one listener that don't behave: trailers without end, chunked
/// bodies that stop short of their end and stay open, and slow heads. Each
/// connects again when its connection is closed. Not thread-safe.
class hostile_crowd {
 public:
  hostile_crowd(boost::asio::io_context* context, const std::string& address);
  hostile_crowd(const hostile_crowd&) = delete;
  hostile_crowd& operator=(const hostile_crowd&) = delete;
  /// Closes all connections.
  ~hostile_crowd();

 private:
  class client;
  std::vector<std::shared_ptr<client>> clients_;
};

}  // namespace plantainhead::soak

#endif  // PLANTAINHEAD_SOAK_HOSTILE_CROWD_H_
