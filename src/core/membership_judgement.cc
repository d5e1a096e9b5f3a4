#include <algorithm>

#include "plantainhead/core/membership.h"

// How a membership comes to suspect, accuse and trust the others.
namespace plantainhead::core {
namespace {

// Withdrawals of a member that comes and goes wait at most 2^5 times as long.
constexpr int kMostDoublings = 5;

}  // namespace

void membership::Judge(const fleet_state& fleet,
                       const heartbeat_contents& contents,
                       time_point now,
                       effects& out) {
  unheard_.clear();
  for (member_entry& item : others_) {
    known_member& member = item.second;
    const bool silent = IsSilent(item, now);
    // A suspicion ends only by hearing from the member: when the ring changes,
    // its new watchers need their time to miss it, too.
    const bool not_heard_since =
        member.suspected && member.heard_at <= member.suspected_at;
    member.suspected = silent || not_heard_since;
    if (silent) {
      member.suspected_at = now;
    }
    if (member.suspected && ring_.Watches(self_.who, item.first)) {
      unheard_.insert(item.first);
    }
    // With the log out the view is frozen. What is still so when the log is
    // back is said then; the rest would have been wrong.
    if (contents.log_out) {
      continue;
    }
    const auto found = fleet.members.find(item.first);
    const bool accused = found != fleet.members.end() &&
                         found->second.accusers.contains(self_.who);
    if (!accused && member.suspected) {
      Accuse(item, now, out);
    }
    if (accused && IsTrustedAgain(member, now) &&
        now - member.withdraw_asked_at >= options_.record_pause) {
      member.withdraw_asked_at = now;
      member.accuse_asked_at = time_point();
      out.Append(withdraw_accusation{self_.who, item.first});
    }
  }
}

bool membership::IsSilent(const member_entry& item, time_point now) const {
  const auto& [who, member] = item;
  if (now - member.heard_at < options_.suspicion_timeout) {
    return false;
  }
  return ring_.Watches(self_.who, who) || MostWatchersSuspect(who);
}

bool membership::MostWatchersSuspect(incarnation who) const {
  std::size_t voices = 0;
  std::size_t against = 0;
  for (const incarnation watcher : ring_.WatchersOf(who)) {
    const auto found = others_.find(watcher);
    // A watcher that is gone itself can neither hear nor tell.
    if (found == others_.end() || found->second.suspected) {
      continue;
    }
    ++voices;
    if (!found->second.status) {
      continue;
    }
    const auto& list = found->second.status->last.suspected;
    against += std::find(list.begin(), list.end(), who) != list.end();
  }
  return against * 2 > voices;
}

bool membership::IsTrustedAgain(const known_member& member,
                                time_point now) const {
  // An entry that freezes again and again would cost a pair of records of each
  // member each time; doubling bounds them.
  const int doublings = std::clamp(member.accusations - 1, 0, kMostDoublings);
  return !member.suspected &&
         now - member.suspected_at >= options_.trust_after * (1 << doublings);
}

void membership::Accuse(member_entry& item, time_point now, effects& out) {
  known_member& member = item.second;
  if (now - member.accuse_asked_at < options_.record_pause) {
    return;
  }
  const duration forget_after = options_.trust_after * (2 << kMostDoublings);
  if (now - member.accuse_asked_at >= forget_after &&
      member.withdraw_asked_at != time_point() &&
      now - member.withdraw_asked_at >= forget_after) {
    member.accusations = 0;
  }
  ++member.accusations;
  member.accuse_asked_at = now;
  member.withdraw_asked_at = time_point();
  out.Append(accuse_entry{self_.who, item.first});
}

}  // namespace plantainhead::core
