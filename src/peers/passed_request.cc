#include "peers/passed_request.h"

#include <charconv>
#include <string>

#include "platform/ingress_codec.h"

namespace plantainhead::peers {
namespace {

constexpr const char* kHopsHeader = "Plantain-Hops";

}  // namespace

net::client_request PassOn(const net::server_request& request,
                           std::chrono::milliseconds patience) {
  net::client_request passed;
  passed.verb = request.verb;
  passed.target = request.target;
  passed.body = request.body;
  passed.headers.emplace_back("Host", request.host);
  passed.headers.push_back(adapter::EncodeTimeout(patience));
  passed.headers.emplace_back(kHopsHeader, std::to_string(HopsOf(request) + 1));
  return passed;
}

unsigned HopsOf(const net::server_request& request) {
  const std::string& text = net::FindHeader(request.headers, kHopsHeader);
  unsigned hops = 0;
  std::from_chars(text.data(), text.data() + text.size(), hops);
  return hops;
}

}  // namespace plantainhead::peers
