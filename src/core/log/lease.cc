#include "plantainhead/core/log/lease.h"

#include "core/jitter.h"

namespace plantainhead::core {

planner_lease_holder::planner_lease_holder(planner_lease_settings settings,
                                           random_source* random)
    : settings_(settings), random_(random) {}

void planner_lease_holder::Observe(time_point now, const fleet_state& state) {
  const bool is_member = state.members.contains(settings_.self);
  if (state.lease != seen_) {
    ObserveOwnLease(state.lease);
    seen_ = state.lease;
    no_renewal_since_ = now;
    take_jitter_ = Jitter(*random_, settings_.take_jitter);
    // A record that takes the lease names the lease that its writer saw, so a
    // pending one can only be a conflict from now on.
    take_sent_.reset();
    next_take_ = now;
  }
  const bool is_holder = is_member && seen_.holder == settings_.self;
  epoch_ = is_holder ? seen_.epoch : 0;
}

// Called when the lease has changed. Only one renewal is pending at a time, so
// a newer `renewed_at` of the same epoch is that renewal.
void planner_lease_holder::ObserveOwnLease(const planner_lease& changed) {
  if (changed.holder != settings_.self) {
    renewal_sent_.reset();
    return;
  }
  const bool is_taken = changed.epoch != seen_.epoch;
  const std::optional<time_point>& sent = is_taken ? take_sent_ : renewal_sent_;
  if (sent) {
    confirmed_sent_at_ = *sent;
    next_renewal_ = *sent + settings_.lease / 3;
  }
  renewal_sent_.reset();
}

void planner_lease_holder::OnTick(time_point now,
                                  const fleet_state& state,
                                  bool readable,
                                  effects& out) {
  // After a pause of this process or an outage of the log there may be renewals
  // that this entry has not read. If that time counted, the entry would take
  // the lease of a live holder after every outage.
  const bool was_paused =
      !last_tick_ || now - *last_tick_ > settings_.pause_threshold || !readable;
  last_tick_ = now;
  Observe(now, state);
  if (was_paused) {
    no_renewal_since_ = now;
  }
  if (!readable || !state.members.contains(settings_.self)) {
    return;
  }
  if (epoch_ != 0) {
    Renew(now, out);
  }
  TryTake(now, state, out);
}

void planner_lease_holder::Renew(time_point now, effects& out) {
  if (renewal_sent_ || now < next_renewal_) {
    return;
  }
  renewal_sent_ = now;
  out.Append(renew_planner_lease{settings_.self, epoch_});
}

// The holder also takes the lease again when its renewal was lost permanently.
// It cannot send a second renewal, because it could not tell which of the two
// was read back and might measure the lease from the later one.
void planner_lease_holder::TryTake(time_point now,
                                   const fleet_state& state,
                                   effects& out) {
  const bool is_free = state.lease.holder == incarnation::kNone;
  const duration wait = is_free ? duration::zero() : settings_.lease;
  if (now < no_renewal_since_ + wait + take_jitter_ || now < next_take_) {
    return;
  }
  if (!take_sent_) {
    take_sent_ = now;
  }
  next_take_ = now + settings_.lease;
  out.Append(take_planner_lease{settings_.self, state.lease.epoch,
                                state.lease.renewed_at});
}

// A holder that was frozen detects from the clock alone that the lease has
// expired, before it reads anything. The lease is measured from the time its
// newest confirmed record was sent, which is before any other entry could read
// it.
bool planner_lease_holder::Holds(time_point now) const {
  return epoch_ != 0 &&
         now < confirmed_sent_at_ + settings_.lease - settings_.margin;
}

}  // namespace plantainhead::core
