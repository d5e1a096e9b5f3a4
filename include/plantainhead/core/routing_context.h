#ifndef PLANTAINHEAD_CORE_ROUTING_CONTEXT_H_
#define PLANTAINHEAD_CORE_ROUTING_CONTEXT_H_

#include <set>

#include "plantainhead/core/endpoint_table.h"
#include "plantainhead/core/fleet_state.h"
#include "plantainhead/core/ids.h"

namespace plantainhead::core {

/// What `request_core` looks at but doesn't own; made anew for each event. The
/// references must outlive the call.
struct routing_context {
  const fleet_state& fleet;
  const endpoint_table& endpoints;
  /// Members that this entry doesn't hear at the moment.
  const std::set<incarnation>& suspects;
  incarnation self = incarnation::kNone;
  /// False until the entry has caught up with the log.
  bool ready = false;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_ROUTING_CONTEXT_H_
