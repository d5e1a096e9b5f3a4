#include "jobs/refusal.h"

#include "net/http_status.h"
#include "platform/ingress_codec.h"

namespace plantainhead::jobs {

net::server_response Refuse(const std::string& why,
                            std::chrono::seconds retry_after) {
  net::server_response response = adapter::EncodeError(net::kUnavailable, why);
  response.headers.emplace_back("Retry-After",
                                std::to_string(retry_after.count()));
  return response;
}

}  // namespace plantainhead::jobs
