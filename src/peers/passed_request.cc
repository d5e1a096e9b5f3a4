#include "peers/passed_request.h"

#include <charconv>
#include <string>

#include "platform/ingress_codec.h"

namespace plantainhead::peers {
namespace {

constexpr const char* kHopsHeader = "Plantain-Hops";

}  // namespace

net::client_request MakeForwardedRequest(const net::server_request& request,
                                         std::chrono::milliseconds timeout) {
  net::client_request passed;
  passed.verb = request.verb;
  passed.target = request.target;
  passed.body = request.body;
  passed.headers.emplace_back("Host", request.host);
  passed.headers.push_back(adapter::EncodeTimeout(timeout));
  passed.headers.emplace_back(kHopsHeader,
                              std::to_string(HopCountOf(request) + 1));
  return passed;
}

unsigned HopCountOf(const net::server_request& request) {
  const std::string& text = net::FindHeader(request.headers, kHopsHeader);
  unsigned hops = 0;
  std::from_chars(text.data(), text.data() + text.size(), hops);
  return hops;
}

}  // namespace plantainhead::peers
