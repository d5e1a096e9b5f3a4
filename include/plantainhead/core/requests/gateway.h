#ifndef PLANTAINHEAD_CORE_REQUESTS_GATEWAY_H_
#define PLANTAINHEAD_CORE_REQUESTS_GATEWAY_H_

#include <functional>
#include <future>
#include <string>

#include "plantainhead/core/entry/actions.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/requests/request.h"

namespace plantainhead::core {

class entry_core;

/// Passes requests, commands and queries from the HTTP threads to the single
/// thread that runs `entry_core`. The runtime sets the functions; tests set
/// their own. All of them may be called from any thread.
struct core_gateway {
  /// Submits a caller's request. The future becomes ready exactly once, when
  /// the final answer is known.
  std::function<std::future<response>(request_envelope)> submit;
  /// Submits an operator's command. The future becomes ready once the command's
  /// record was read back, refused or timed out.
  std::function<std::future<answer_operator>(std::string author, record_body)>
      command;
  /// Runs a read-only function on the core's thread and returns its result.
  std::function<std::string(std::function<std::string(const entry_core&)>)>
      query;
  /// Returns true while the load balancer may send callers to this entry. Cheap
  /// to call.
  std::function<bool()> ready;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_GATEWAY_H_
