#ifndef PLANTAINHEAD_SRC_NET_ADDRESS_H_
#define PLANTAINHEAD_SRC_NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace plantainhead::net {

/// Parses an address of the form "IP:PORT". Throws `std::invalid_argument` if
/// the text has another form.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text);

/// Returns whether the text is an address of the form "IP:PORT" with a non-zero
/// port.
/// Thread safety: safe from any thread.
bool IsAddress(const std::string& text);

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_ADDRESS_H_
