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

/// The way from the HTTP threads to the one thread that owns the decisions. The
/// runtime fills the functions in; tests put their own. All three may be called
/// from any thread.
struct core_gateway {
  /// Hands in a caller's request; the future becomes ready exactly once, when
  /// its final answer is known.
  std::function<std::future<response>(request_envelope)> submit;
  /// Hands in an operator's command; ready once its record was read back,
  /// refused, or given up on.
  std::function<std::future<answer_operator>(std::string author, record_body)>
      command;
  /// Runs a read-only function beside the decisions and returns its text.
  std::function<std::string(std::function<std::string(const entry_core&)>)>
      query;
  /// Returns true while the balancer may send callers here. Cheap.
  std::function<bool()> ready;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_GATEWAY_H_
