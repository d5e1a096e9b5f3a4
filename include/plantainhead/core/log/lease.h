#ifndef PLANTAINHEAD_CORE_LOG_LEASE_H_
#define PLANTAINHEAD_CORE_LOG_LEASE_H_

#include <optional>

#include "plantainhead/core/entry/effects.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/random.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Settings of a planner_lease_holder.
struct planner_lease_settings {
  incarnation self = incarnation::kNone;
  /// Lease duration: other entries take the lease when they have read no
  /// renewal for this long.
  duration lease = std::chrono::seconds(9);
  /// Safety margin by which the holder stops acting before the lease expires.
  /// It covers clocks that run at different rates and an action that is in
  /// progress at expiry.
  duration margin = std::chrono::seconds(2);
  /// Each entry waits for a random time up to this before it takes a free or
  /// expired lease.
  duration take_jitter = std::chrono::seconds(1);
  /// A gap between two ticks longer than this means that the process was
  /// paused.
  duration pause_threshold = std::chrono::milliseconds(500);
};

/// Acquires and renews the planner lease for one entry and tracks whether the
/// entry holds it.
///
/// Two entries never hold the lease at the same time, as long as their clock
/// rates differ by less than `margin` per `lease`. The holder measures the
/// lease from the time it sent its newest renewal, while others measure it from
/// the time they read that renewal, which is later. In addition, a record that
/// takes the lease names the newest renewal that its writer has read, so that
/// it is a conflict if the writer missed a newer renewal.
///
/// The owner calls `OnTick` at least every `kTickInterval` and `Observe` after
/// each change of the fleet state. Thread safety: none.
class planner_lease_holder {
 public:
  /// Preconditions: `margin` is less than two thirds of `lease`, so that a
  /// renewal can be read back in time; `random` outlives this object.
  planner_lease_holder(planner_lease_settings settings, random_source* random);

  /// Updates this object from the lease in the fleet state.
  void Observe(time_point now, const fleet_state& state);

  /// Appends a record that renews or takes the lease when one is due.
  /// `readable` is false while the log cannot be read: renewals are not seen
  /// during that time, so the lease timeout restarts when the log becomes
  /// readable.
  void OnTick(time_point now,
              const fleet_state& state,
              bool readable,
              effects& out);

  /// Returns true while this entry may act as the planner. Must be checked
  /// immediately before each action. The result is also correct right after a
  /// pause of the process, because it depends only on `now` and on records read
  /// before.
  bool Holds(time_point now) const;

  /// Epoch for this entry's records, or 0 if this entry is not the holder in
  /// the fleet state.
  lease_epoch epoch() const { return epoch_; }

 private:
  void ObserveOwnLease(const planner_lease& changed);
  void Renew(time_point now, effects& out);
  void TryTake(time_point now, const fleet_state& state, effects& out);

  planner_lease_settings settings_;
  random_source* random_;
  /// Lease in the fleet state as last observed.
  planner_lease seen_;
  /// Time since which there has been no renewal, no pause and no log outage.
  time_point no_renewal_since_{};
  std::optional<time_point> last_tick_;
  /// Random delay before this entry takes the lease that was last observed.
  duration take_jitter_{};
  lease_epoch epoch_ = 0;
  /// Time at which the newest lease record that has been read back was sent.
  time_point confirmed_sent_at_{};
  /// Times at which the pending renewal, and the first pending record that
  /// takes the lease last observed, were sent. Empty if none is pending.
  std::optional<time_point> renewal_sent_;
  std::optional<time_point> take_sent_;
  time_point next_renewal_{};
  time_point next_take_{};
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_LEASE_H_
