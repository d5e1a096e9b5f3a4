#ifndef PLANTAINHEAD_CORE_REQUESTS_ROUTING_CONTEXT_H_
#define PLANTAINHEAD_CORE_REQUESTS_ROUTING_CONTEXT_H_

#include <set>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/requests/endpoint_table.h"

namespace plantainhead::core {

/// The state that `request_core` reads but does not own, built anew for each
/// event. The references must outlive the call.
struct routing_context {
  const fleet_state& fleet;
  const endpoint_table& endpoints;
  /// Members from which this entry currently receives no heartbeats.
  const std::set<incarnation>& suspects;
  incarnation self = incarnation::kNone;
  /// False until the entry has caught up with the log.
  bool ready = false;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_ROUTING_CONTEXT_H_
