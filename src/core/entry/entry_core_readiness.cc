#include "plantainhead/core/entry/entry_core.h"

#include <utility>

// When an entry takes requests, and how it stops.
namespace plantainhead::core {
namespace {

/// How long an entry that serves may lack records that others have applied.
constexpr duration kMaxLag = std::chrono::seconds(1);
/// Time in which all have had a heartbeat that says that this entry stops.
constexpr duration kHandoverDelay = std::chrono::milliseconds(500);

}  // namespace

// Peers often tell of a record some milliseconds before it is read here; to
// refuse requests then would cost callers something at each record. The drain
// of a VM waits for each member's own word, so what is missing here meanwhile
// harms nobody. An entry that has just started or stood still may lack much,
// also its own expulsion, and has no such time.
void entry_core::UpdateLag(time_point now) {
  // What an entry knew before it stood still says nothing of what it lacks: a
  // VM may drain, or reboot, since. Until it has read the log anew it would
  // send requests there.
  if (resumed_at_) {
    return;
  }
  if (control_.caught_up()) {
    behind_since_.reset();
    lag_exceeded_ = false;
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  lag_exceeded_ = lag_exceeded_ || now - *behind_since_ >= kMaxLag;
}

// A log that lost its end looks whole to an entry that starts on it. Members
// that know more don't read its join there, so it hears none of them; an entry
// that has heard more than half of the others since its start shares their log.
// Members that are dead don't hold it up for long: the others expel them.
void entry_core::UpdatePeerQuorum() {
  if (heard_by_quorum_) {
    return;
  }
  std::size_t others = 0;
  std::size_t heard = 0;
  for (const auto& [who, member] : fleet().members) {
    if (who == options_.self.who) {
      continue;
    }
    ++others;
    heard += membership_.StatusOf(who) != nullptr ? 1 : 0;
  }
  const bool is_member = fleet().members.contains(options_.self.who);
  heard_by_quorum_ = is_member && (2 * heard > others || others == 0);
}

std::string entry_core::NotServingReason() const {
  if (membership_.expelled()) {
    return "expelled from the view";
  }
  if (lag_exceeded_) {
    return "not caught up with the log";
  }
  if (!fleet().members.contains(options_.self.who)) {
    return "not yet a member of the view";
  }
  if (!heard_by_quorum_) {
    return "too few other members have been heard";
  }
  if (listed_at_ == time_point()) {
    return "the platform's VM list has not been read";
  }
  return "";
}

void entry_core::UpdateReadiness(time_point now, effects& out) {
  UpdateLag(now);
  UpdatePeerQuorum();
  std::string reason = NotServingReason();
  // The balancer takes some time to see that this entry is to end; what it
  // sends until then is served.
  serving_ = reason.empty();
  if (stopping()) {
    reason = "stopping";
  }
  const bool ready = reason.empty();
  if (ready == ready_ && reason == not_ready_reason_) {
    return;
  }
  ready_ = ready;
  not_ready_reason_ = std::move(reason);
  out.Do(set_ready{ready_, not_ready_reason_});
}

// The others must hear that this entry stops before it sends them what was its
// own: a key's next home refuses the key until it takes itself for the home.
void entry_core::StartHandover(time_point now) {
  const bool is_due = stopping() && now >= *stop_requested_at_ + kHandoverDelay;
  if (is_due && stopping_members_.insert(options_.self.who).second) {
    list_changed_ = true;
  }
}

void entry_core::UpdateShutdown(time_point now, effects& out) {
  if (exited_) {
    return;
  }
  StartHandover(now);
  // An entry that the others expelled while it was frozen owns nothing any
  // more; it ends what it has and starts anew, since its incarnation is void.
  const bool expelled = membership_.expelled();
  const bool notice_over =
      stopping() && now >= *stop_requested_at_ + options_.stop_notice;
  if (!rejecting_requests_ && (expelled || notice_over)) {
    rejecting_requests_ = true;
    requests_.OnStop();
    UpdateClaimsView(now, out);
  }
  if (!rejecting_requests_ || !requests_.Idle()) {
    return;
  }
  if (!leave_requested_at_) {
    leave_requested_at_ = now;
    AppendRequestCounts(now, out);
    membership_.Leave(fleet(), out);
  }
  const bool left = !fleet().members.contains(options_.self.who);
  if (left || now >= *leave_requested_at_ + options_.leave_timeout) {
    exited_ = true;
    out.Do(exit_process{expelled && !stopping()});
  }
}

}  // namespace plantainhead::core
