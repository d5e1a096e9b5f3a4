#ifndef PLANTAINHEAD_OPERATORS_ENTRY_VIEW_H_
#define PLANTAINHEAD_OPERATORS_ENTRY_VIEW_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/time.h"

namespace plantainhead::operators {

/// What one entry knows at one moment: all that the operators' routes show. A
/// plain value, so that the routes are tested without an entry.
struct entry_view {
  /// The fold; null until the entry has one.
  std::shared_ptr<const core::fleet_state> state;
  core::entry_id name;
  core::zone_id zone;
  core::incarnation who = core::incarnation::kNone;
  bool ready = false;
  /// Why it is not ready; empty when it is.
  std::string reason;
  bool stopping = false;
  /// False while the platform's log can't be read.
  bool log_available = true;
  /// Greatest offset of the control stream that the entry has heard of.
  core::log_offset log_end = 0;
  /// Slots and queued requests of this entry's own endpoints, by service.
  std::vector<core::service_load> load;
  core::time_point now;
};

/// Returns the present view. May be called from any thread.
using view_function = std::function<entry_view()>;

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_OPERATORS_ENTRY_VIEW_H_
