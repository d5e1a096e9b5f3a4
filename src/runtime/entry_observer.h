#ifndef PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_
#define PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_

#include <string>

#include "plantainhead/caller/route.h"
#include "plantainhead/core/entry_core.h"
#include "plantainhead/core/request.h"
#include "plantainhead/entry/peer_link.h"
#include "plantainhead/observe/metrics.h"

namespace plantainhead::runtime {

/// One answer to a caller as the report and the metrics see it.
struct observed_answer {
  /// Null when the request named no class that is in the targets.
  const core::work_class* work = nullptr;
  const core::response& answer;
  core::duration elapsed{};
  /// Maintenance keeps VMs of the service from work.
  bool in_maintenance = false;
};

/// The metrics of one entry.
/// Thread safety: all methods are safe from any thread.
class entry_observer {
 public:
  void OnAnswer(const observed_answer& item);

  /// Returns all metrics as Prometheus text, with the newest figures of the
  /// decisions and the link.
  std::string Text(const core::entry_core& core,
                   const entry::peer_link_counters& link,
                   core::time_point now);

 private:
  void SetDecisionGauges(const core::entry_core& core, core::time_point now);
  void SetLinkGauges(const entry::peer_link_counters& link);

  observe::metrics metrics_;
};

}  // namespace plantainhead::runtime

#endif  // PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_
