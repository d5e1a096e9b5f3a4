#include "plantainhead/core/entry/entry_core.h"

#include <utility>

// Readiness and shutdown of an entry.
namespace plantainhead::core {
namespace {

/// How long a serving entry may lack records that other entries have applied.
constexpr duration kMaxLag = std::chrono::seconds(1);
/// Time in which all entries have received a heartbeat that announces the stop
/// of this entry.
constexpr duration kHandoverDelay = std::chrono::milliseconds(500);

}  // namespace

// Heartbeats of peers often announce a record some milliseconds before it is
// read here. Rejecting requests during that time would cost callers some
// requests for each record. It is also unnecessary, because the drain of a VM
// waits for each member's own report. An entry that has just started or resumed
// gets no such grace period: it may lack many records, including its own
// expulsion.
void entry_core::UpdateLag(time_point now) {
  // After a pause, previous knowledge does not show which records are missing:
  // a VM may have started to drain or reboot. Until the log has been read
  // again, the entry could send requests to that VM.
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

// A truncated log looks complete to an entry that starts on it. Members that
// have applied more records do not read its join record there, so they send it
// nothing. An entry that has heard from more than half of the other members
// since its start therefore shares their log. Dead members do not delay this
// for long, because the others expel them.
void entry_core::UpdatePeerQuorum() {
  if (has_heard_quorum_) {
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
  has_heard_quorum_ = is_member && (2 * heard > others || others == 0);
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
  if (!has_heard_quorum_) {
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
  // The load balancer takes some time to detect that this entry is stopping;
  // requests that arrive until then are served.
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

// The other entries must learn that this entry is stopping before it forwards
// its keys to them: a key's next coordinator rejects the key until it considers
// itself the coordinator.
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
  // An entry that was expelled while frozen no longer owns anything. It
  // completes its running work and restarts, since its incarnation is no longer
  // valid.
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
