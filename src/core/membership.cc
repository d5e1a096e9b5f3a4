#include "plantainhead/core/membership.h"

#include <utility>

namespace plantainhead::core {

membership::membership(entry_member self, membership_options options)
    : self_(std::move(self)), options_(options) {}

void membership::OnTick(const fleet_state& fleet,
                        const heartbeat_contents& contents,
                        time_point now,
                        effects& out) {
  NoteOwnPause(now);
  FollowFold(fleet, now);
  if (expelled_) {
    return;
  }
  if (!was_member_) {
    Join(contents, now, out);
  }
  SendHeartbeats(fleet, contents, now, out);
  if (was_member_) {
    Judge(fleet, contents, now, out);
  }
}

void membership::OnFrame(const peer_frame& frame, time_point now) {
  const auto found = watched_.find(frame.from);
  if (found != watched_.end()) {
    watched_peer& peer = found->second;
    if (now - peer.heard_at >= options_.suspicion_timeout) {
      peer.steady_since = now;
    }
    peer.heard_at = now;
    peer.suspected = false;
  }
  if (const auto* beat = std::get_if<heartbeat>(&frame.message)) {
    statuses_[frame.from] = {*beat, frame.view, now};
  }
}

void membership::Leave(const fleet_state& fleet, effects& out) {
  leaving_ = true;
  if (fleet.members.contains(self_.who)) {
    out.Append(leave_entry{self_.who});
  }
}

bool membership::Suspects(incarnation peer) const {
  const auto found = watched_.find(peer);
  return found != watched_.end() && found->second.suspected;
}

const peer_status* membership::StatusOf(incarnation peer) const {
  const auto found = statuses_.find(peer);
  return found == statuses_.end() ? nullptr : &found->second;
}

void membership::NoteOwnPause(time_point now) {
  // An entry that was frozen wakes up with old times for all others and would
  // accuse the whole fleet at once, though it alone had stood still. Its own
  // ticks show the gap; from here on every peer gets a whole timeout again.
  const bool paused =
      last_tick_ && now - *last_tick_ >= options_.suspicion_timeout;
  last_tick_ = now;
  if (!paused) {
    return;
  }
  for (auto& [who, peer] : watched_) {
    peer.heard_at = now;
    peer.steady_since = now;
  }
}

void membership::FollowFold(const fleet_state& fleet, time_point now) {
  const bool is_member = fleet.members.contains(self_.who);
  if (was_member_ && !is_member) {
    expelled_ = !leaving_;
  }
  was_member_ = is_member;
  for (const auto& [who, member] : fleet.members) {
    if (who != self_.who) {
      watched_.try_emplace(who, watched_peer{now, now, false, {}});
    }
  }
  std::erase_if(watched_, [&](const auto& item) {
    return !fleet.members.contains(item.first);
  });
  std::erase_if(statuses_, [&](const auto& item) {
    return !fleet.members.contains(item.first);
  });
}

void membership::Join(const heartbeat_contents& contents,
                      time_point now,
                      effects& out) {
  if (leaving_ || contents.stopping || contents.log_out ||
      !contents.caught_up) {
    return;
  }
  // The record may be on its way; a second one at once would only add load to a
  // slow log.
  if (join_asked_at_ && now - *join_asked_at_ < options_.record_pause) {
    return;
  }
  join_asked_at_ = now;
  out.Append(join_entry{self_.who, self_.name, self_.zone, self_.host,
                        self_.peer_port, self_.http_port});
}

void membership::SendHeartbeats(const fleet_state& fleet,
                                const heartbeat_contents& contents,
                                time_point now,
                                effects& out) {
  if (sent_at_ && now - *sent_at_ < options_.heartbeat_interval) {
    return;
  }
  sent_at_ = now;
  const peer_frame frame{
      self_.who, fleet.view,
      heartbeat{++sequence_, contents.offset, contents.digest, contents.ready,
                contents.stopping, contents.load, contents.in_flight}};
  for (const auto& [who, member] : fleet.members) {
    if (who != self_.who) {
      out.Do(send_frame{who, member.host, member.peer_port, frame});
    }
  }
}

void membership::Judge(const fleet_state& fleet,
                       const heartbeat_contents& contents,
                       time_point now,
                       effects& out) {
  for (auto& [who, peer] : watched_) {
    peer.suspected = now - peer.heard_at >= options_.suspicion_timeout;
    const bool accused = fleet.members.at(who).accusers.contains(self_.who);
    const bool trusted =
        !peer.suspected && now - peer.steady_since >= options_.trust_after;
    const bool change = accused ? trusted : peer.suspected;
    const bool waits = now - peer.asked_at < options_.record_pause;
    if (!change || waits || contents.log_out) {
      continue;
    }
    peer.asked_at = now;
    if (accused) {
      out.Append(withdraw_accusation{self_.who, who});
    } else {
      out.Append(accuse_entry{self_.who, who});
    }
  }
}

}  // namespace plantainhead::core
