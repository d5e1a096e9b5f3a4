#include "peers/forwarded_request.h"

#include <charconv>
#include <string>

#include "platform/ingress_codec.h"

namespace plantainhead::peers {
namespace {

constexpr const char* kHopsHeader = "Plantain-Hops";

}  // namespace

net::client_request MakeForwardedRequest(const net::server_request& request,
                                         std::chrono::milliseconds timeout) {
  net::client_request forwarded;
  forwarded.verb = request.verb;
  forwarded.target = request.target;
  forwarded.body = request.body;
  forwarded.headers.emplace_back("Host", request.host);
  forwarded.headers.push_back(adapter::EncodeTimeout(timeout));
  forwarded.headers.emplace_back(kHopsHeader,
                                 std::to_string(HopCountOf(request) + 1));
  return forwarded;
}

unsigned HopCountOf(const net::server_request& request) {
  const std::string& text = net::FindHeader(request.headers, kHopsHeader);
  unsigned hops = 0;
  std::from_chars(text.data(), text.data() + text.size(), hops);
  return hops;
}

}  // namespace plantainhead::peers
