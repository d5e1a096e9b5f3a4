#ifndef PLANTAINHEAD_CORE_LOG_LEASE_H_
#define PLANTAINHEAD_CORE_LOG_LEASE_H_

#include <optional>

#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/random.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

struct planner_lease_settings {
  incarnation self = incarnation::kNone;
  /// Others take the lease once they have read no renewal for so long.
  duration lease = std::chrono::seconds(9);
  /// The holder stops acting so much earlier. Covers clocks that run at
  /// different speeds and an action that is under way when the lease lapses.
  duration margin = std::chrono::seconds(2);
  /// Each entry waits for a random time up to this before it takes the lease.
  duration take_jitter = std::chrono::seconds(1);
  /// A longer time between two ticks means that this process was paused.
  duration pause_threshold = std::chrono::milliseconds(500);
};

/// Takes, renews and loses the planner lease for one entry.
///
/// Two entries never hold it at one moment, as long as their clocks' speeds
/// differ by less than `margin` in `lease`: a holder counts from when it sent
/// its newest renewal, others from when they read that renewal, which is later;
/// and a taking names the renewal that its writer has read, so that one which
/// missed a newer renewal is a conflict in the fold.
///
/// The owner calls `OnTick` at least every `kTickInterval` and `Observe` after
/// each change of the fold. Thread safety: none.
class planner_lease_holder {
 public:
  /// Preconditions: `margin` is below two thirds of `lease`, so that a renewal
  /// can be read back in time; `random` outlives this.
  planner_lease_holder(planner_lease_settings settings, random_source* random);

  /// Takes in what the fold says of the lease.
  void Observe(time_point now, const fleet_state& state);

  /// Appends a renewal or a taking when one is due. `readable` is false while
  /// the log can't be read: then nobody's renewals are seen, and the time
  /// without one starts anew once it can be.
  void OnTick(time_point now,
              const fleet_state& state,
              bool readable,
              effects& out);

  /// Returns true while this entry may act as the planner. Asked just before
  /// each action, also after a pause of this process: it depends only on `now`
  /// and on what was read before.
  bool Holds(time_point now) const;

  /// The epoch for this entry's records; 0 when it isn't the holder in the
  /// fold.
  lease_epoch epoch() const { return epoch_; }

 private:
  void ObserveOwnLease(const planner_lease& changed);
  void Renew(time_point now, effects& out);
  void TryTake(time_point now, const fleet_state& state, effects& out);

  planner_lease_settings settings_;
  random_source* random_;
  /// What was last seen of the fold's lease.
  planner_lease seen_;
  /// Since when there was no renewal, no pause and no outage.
  time_point no_renewal_since_{};
  std::optional<time_point> last_tick_;
  /// This entry's wait before it takes the lease that was last seen.
  duration take_jitter_{};
  lease_epoch epoch_ = 0;
  /// When the newest record that was read back was sent.
  time_point confirmed_sent_at_{};
  /// When the renewal, and the first taking of the lease that was last seen,
  /// were sent that aren't read back yet.
  std::optional<time_point> renewal_sent_;
  std::optional<time_point> take_sent_;
  time_point next_renewal_{};
  time_point next_take_{};
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_LEASE_H_
