#ifndef PLANTAINHEAD_FAKES_NARROW_LINK_H_
#define PLANTAINHEAD_FAKES_NARROW_LINK_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>

#include "net/http_message.h"

namespace boost::asio {
class io_context;
}

namespace plantainhead::fakes {

/// Carries the answers to one process one after the other, as a link of little
/// capacity does. Each answer arrives whole, when its time is over. It takes
/// its time also when nobody waits for it any more: its bytes are under way.
/// Not thread-safe.
class narrow_link {
 public:
  /// Precondition: `bytes_per_second` is positive. It may be set at any time.
  narrow_link(boost::asio::io_context* context, std::int64_t bytes_per_second);

  /// Returns a responder whose answers go through the link to `respond`.
  /// Precondition: the link outlives it.
  net::responder Carry(net::responder respond);

  std::int64_t bytes_per_second;

 private:
  struct answer {
    net::server_response response;
    net::responder respond;
  };

  void CarryNext();

  boost::asio::steady_timer timer_;
  std::deque<answer> waiting_;
  bool is_busy_ = false;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_NARROW_LINK_H_
