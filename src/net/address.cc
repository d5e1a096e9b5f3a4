#include "net/address.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <stdexcept>

namespace plantainhead::net {

namespace {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> TryParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

}  // namespace

tcp::endpoint ParseAddress(const std::string& text) {
  const auto endpoint = TryParseAddress(text);
  if (!endpoint) {
    throw std::invalid_argument("not an address of the form IP:PORT: " + text);
  }
  return *endpoint;
}

bool IsAddress(const std::string& text) {
  const auto endpoint = TryParseAddress(text);
  return endpoint && endpoint->port() != 0;
}

}  // namespace plantainhead::net
