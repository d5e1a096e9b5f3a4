#ifndef PLANTAINHEAD_CORE_FLEET_FLEET_METER_H_
#define PLANTAINHEAD_CORE_FLEET_FLEET_METER_H_

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/fleet/planner_types.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Computes the demand on the whole fleet and the burn rates of the error
/// budgets from the counts that entries send in their heartbeats. Thread
/// safety: none.
class fleet_meter {
 public:
  /// Length of the sliding window over which demand and burn rates are
  /// measured.
  static constexpr duration kWindow = std::chrono::seconds(60);
  static constexpr duration kBucketWidth = std::chrono::seconds(5);

  /// Adds the counts of an entry, which are cumulative since the start of that
  /// entry. The first report of an entry only sets the baseline for later
  /// reports, because its counts may be hours old. Empty lists have no effect.
  void Observe(incarnation who,
               const std::vector<class_counts>& classes,
               const std::vector<service_times>& times,
               time_point now);

  /// Drops the baselines of entries that are not in `members`.
  void Retain(const std::map<incarnation, entry_member>& members);

  std::map<service_name, service_demand> Demand(const configuration& targets,
                                                time_point now) const;
  std::map<class_name, class_burn> Budgets(const fleet_state& fleet,
                                           time_point now) const;

 private:
  struct totals {
    std::map<class_name, request_counts> classes;
    std::map<service_name, service_times> times;
  };
  struct bucket {
    time_point start;
    totals sum;
  };

  totals& BucketAt(time_point now);
  totals Sum(time_point now) const;

  std::map<incarnation, totals> latest_totals_;
  std::deque<bucket> buckets_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_FLEET_METER_H_
