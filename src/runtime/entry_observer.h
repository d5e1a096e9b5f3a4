#ifndef PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_
#define PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_

#include "plantainhead/caller/http_server.h"
#include "plantainhead/caller/route.h"
#include "plantainhead/core/entry/entry_core.h"
#include "plantainhead/entry/peer_link.h"
#include "plantainhead/observe/metrics.h"
#include "plantainhead/observe/request_recorder.h"

namespace plantainhead::runtime {

/// The metrics of one entry.
/// Thread safety: all methods are safe from any thread.
class entry_observer {
 public:
  void OnAnswer(const core::request_envelope& request,
                const core::response& answer,
                core::time_point arrived,
                core::time_point now);
  void OnFold(const core::fleet_state& fleet);

  /// Sets the gauges that tell of the decisions.
  void SetDecisionGauges(const core::entry_core& core, core::time_point now);
  /// Sets the gauges that tell of the connections with callers.
  void SetCallerGauges(const caller::http_server_counters& callers);
  /// Sets the gauges that tell of the link to other entries.
  void SetLinkGauges(const entry::peer_link_counters& link);

  const observe::metrics& all() const { return metrics_; }

 private:
  observe::metrics metrics_;
  observe::request_recorder recorder_{&metrics_};
};

}  // namespace plantainhead::runtime

#endif  // PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_
