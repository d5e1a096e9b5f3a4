#ifndef PLANTAINHEAD_SRC_JOBS_UNAVAILABLE_RESPONSE_H_
#define PLANTAINHEAD_SRC_JOBS_UNAVAILABLE_RESPONSE_H_

#include <chrono>
#include <string>

#include "net/http_message.h"

namespace plantainhead::jobs {

/// Returns a 503 response, which states that the request was not and will not
/// be executed, with a Retry-After header. Thread safety: safe from any thread.
net::server_response MakeUnavailableResponse(const std::string& why,
                                             std::chrono::seconds retry_after);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_UNAVAILABLE_RESPONSE_H_
