#ifndef PLANTAINHEAD_SRC_NET_ADDRESS_H_
#define PLANTAINHEAD_SRC_NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace plantainhead::net {

/// Returns the endpoint of "IP:PORT". Throws `std::invalid_argument` when the
/// text isn't one.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text);

/// Returns whether the text is an "IP:PORT" that can be connected to.
/// Thread safety: safe from any thread.
bool IsAddress(const std::string& text);

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_ADDRESS_H_
