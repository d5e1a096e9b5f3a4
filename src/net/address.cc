#include "net/address.h"

#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace plantainhead::net {

boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  std::uint16_t port = 0;
  bool is_valid = colon != std::string::npos;
  boost::system::error_code error;
  boost::asio::ip::address ip;
  if (is_valid) {
    ip = boost::asio::ip::make_address(text.substr(0, colon), error);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    is_valid = !error && parsed.ec == std::errc() && parsed.ptr == end;
  }
  if (!is_valid) {
    throw std::invalid_argument("not an address of the form IP:PORT: " + text);
  }
  return {ip, port};
}

}  // namespace plantainhead::net
