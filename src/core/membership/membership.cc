#include "plantainhead/core/membership/membership.h"

#include <algorithm>
#include <utility>

namespace plantainhead::core {

frame_status FrameStatusOf(const fleet_state& fleet, const peer_frame& frame) {
  if (!fleet.members.contains(frame.from)) {
    return frame_status::kNotMember;
  }
  if (frame.view == fleet.view) {
    return frame_status::kCurrent;
  }
  return frame.view < fleet.view ? frame_status::kOlderView
                                 : frame_status::kNewerView;
}

membership::membership(entry_member self, membership_options options)
    : self_(std::move(self)), options_(options) {}

void membership::OnTick(const fleet_state& fleet,
                        const heartbeat_contents& contents,
                        time_point now,
                        effects& out) {
  DetectLocalPause(now);
  UpdateView(fleet, now);
  if (expelled_) {
    return;
  }
  if (!was_member_) {
    Join(contents, now, out);
    return;
  }
  if (leaving_ && now - *leave_asked_at_ >= options_.record_retry_interval) {
    leave_asked_at_ = now;
    out.Append(leave_entry{self_.who});
  }
  UpdateSuspicions(fleet, contents, now, out);
  SendHeartbeats(fleet, contents, now, out);
}

void membership::OnFrame(const peer_frame& frame, time_point now) {
  const auto found = others_.find(frame.from);
  if (found == others_.end()) {
    return;
  }
  known_member& member = found->second;
  member.last_heard_at = now;
  const auto* beat = std::get_if<heartbeat>(&frame.message);
  if (beat == nullptr) {
    return;
  }
  if (!member.status) {
    member.status.emplace();
  }
  peer_status& status = *member.status;
  // After a reconnect, messages that were buffered in the old connection may
  // arrive out of order.
  if (beat->sequence <= status.sequence) {
    return;
  }
  status.sequence = beat->sequence;
  status.view = frame.view;
  status.last_heard_at = now;
  if (beat->complete) {
    status.last = *beat;
    return;
  }
  status.last.ready = beat->ready;
  status.last.stopping = beat->stopping;
  status.last.suspected = beat->suspected;
}

void membership::Leave(const fleet_state& fleet, effects& out) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  leave_asked_at_ = last_tick_.value_or(time_point());
  if (fleet.members.contains(self_.who)) {
    out.Append(leave_entry{self_.who});
  }
}

bool membership::Suspects(incarnation peer) const {
  const auto found = others_.find(peer);
  return found != others_.end() && found->second.suspected;
}

const peer_status* membership::StatusOf(incarnation peer) const {
  const auto found = others_.find(peer);
  if (found == others_.end() || !found->second.status) {
    return nullptr;
  }
  return &*found->second.status;
}

void membership::DetectLocalPause(time_point now) {
  // An entry that was suspended resumes with outdated receive times for all
  // other members and would accuse the whole fleet at once, although only this
  // entry was stopped. The gap between its own ticks reveals this; every member
  // then gets a full timeout again.
  const bool paused =
      last_tick_ && now - *last_tick_ >= options_.suspicion_timeout;
  last_tick_ = now;
  if (!paused) {
    return;
  }
  for (auto& [who, member] : others_) {
    member.last_heard_at = now;
  }
  // The other members may suspect this entry, and only its watchers would
  // notice its return by its regular heartbeats.
  notify_all_ = true;
}

void membership::UpdateView(const fleet_state& fleet, time_point now) {
  if (view_ == fleet.view) {
    return;
  }
  view_ = fleet.view;
  const bool is_member = fleet.members.contains(self_.who);
  if (was_member_ && !is_member) {
    expelled_ = !leaving_;
  }
  was_member_ = is_member;
  ring_ = watch_ring(fleet.members, options_.watchers);
  std::erase_if(others_, [&](const auto& item) {
    return !fleet.members.contains(item.first);
  });
  for (const auto& [who, member] : fleet.members) {
    if (who != self_.who) {
      UpdateWatch(who, now);
    }
  }
}

void membership::UpdateWatch(incarnation who, time_point now) {
  const auto [found, is_new] = others_.try_emplace(who);
  known_member& member = found->second;
  if (is_new) {
    member.last_heard_at = now;
  }
  const bool watched = ring_.Watches(self_.who, who);
  // A member that was not watched before may not have sent heartbeats to this
  // entry.
  if (watched && !member.watched) {
    member.watched_since = now;
  }
  // When a zone is lost, the first expulsions change the ring while the other
  // failed members are about to be suspected; their new watchers would have to
  // wait a full timeout again. A live member was heard shortly before the
  // change, so that half a timeout more does not make it suspected.
  if (member.watched && !watched) {
    member.watched_until = now + options_.suspicion_timeout / 2;
  }
  member.watched = watched;
}

void membership::Join(const heartbeat_contents& contents,
                      time_point now,
                      effects& out) {
  if (leaving_ || contents.stopping || contents.log_unreachable ||
      !contents.caught_up) {
    return;
  }
  // The record may still be in transit; a second one immediately would only add
  // load to a slow log.
  if (join_asked_at_ &&
      now - *join_asked_at_ < options_.record_retry_interval) {
    return;
  }
  join_asked_at_ = now;
  out.Append(join_entry{self_.who, self_.name, self_.zone, self_.host,
                        self_.peer_port, self_.http_port});
}

}  // namespace plantainhead::core
