#ifndef PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_
#define PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_

#include <mutex>
#include <string>

#include "plantainhead/caller/route.h"
#include "plantainhead/core/entry_core.h"
#include "plantainhead/core/request.h"
#include "plantainhead/entry/peer_link.h"
#include "plantainhead/observe/burn.h"
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

/// What one entry shows of itself: metrics and the service-level burn.
/// Thread safety: all methods are safe from any thread.
class entry_observer {
 public:
  explicit entry_observer(core::time_point start);

  void OnAnswer(const observed_answer& item, core::time_point now);

  /// Takes over targets, if their version differs from the last.
  void OnTargets(const core::fleet_state& fleet);

  observe::burn_report Report(core::time_point now) const;

  /// Returns all metrics as Prometheus text, with the newest figures of the
  /// decisions and the link.
  std::string Text(const core::entry_core& core,
                   const entry::peer_link_counters& link,
                   core::time_point now);

 private:
  void SetDecisionGauges(const core::entry_core& core, core::time_point now);
  void SetLinkGauges(const entry::peer_link_counters& link);

  observe::metrics metrics_;
  mutable std::mutex mutex_;
  observe::burn_counter burn_;
  core::generation targets_version_ = 0;
};

}  // namespace plantainhead::runtime

#endif  // PLANTAINHEAD_SRC_RUNTIME_ENTRY_OBSERVER_H_
