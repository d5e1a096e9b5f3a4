#ifndef PLANTAINHEAD_TESTS_FREE_ADDRESS_H_
#define PLANTAINHEAD_TESTS_FREE_ADDRESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "net/address.h"

namespace plantainhead::testing {

/// Returns a free port on 127.0.0.1 as "IP:PORT".
inline std::string FreeAddress() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context,
                                          net::ParseAddress("127.0.0.1:0"));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}  // namespace plantainhead::testing

#endif  // PLANTAINHEAD_TESTS_FREE_ADDRESS_H_
