#include <algorithm>

#include "plantainhead/core/membership/membership.h"

// Suspicion, accusation and recovery of other members.
namespace plantainhead::core {
namespace {

// The delay of withdrawals for a member that fails and recovers repeatedly
// grows at most by a factor of 2^5.
constexpr int kMaxDoublings = 5;

}  // namespace

void membership::UpdateSuspicions(const fleet_state& fleet,
                                  const heartbeat_contents& contents,
                                  time_point now,
                                  effects& out) {
  CountReports();
  missed_members_.clear();
  for (member_entry& item : others_) {
    known_member& member = item.second;
    const bool silent = IsSilent(item, now);
    // A suspicion ends only when the member is heard again: after a change of
    // the ring, its new watchers need a full timeout to detect its absence.
    const bool not_heard_since =
        member.suspected && member.last_heard_at <= member.suspected_at;
    member.suspected = silent || not_heard_since;
    if (silent) {
      member.suspected_at = now;
    }
    // A watcher continues to report what it has detected itself, even if the
    // ring has changed since. It does not repeat the reports of others;
    // otherwise a false report would keep itself alive.
    member.missed_directly =
        member.suspected && (member.missed_directly || IsWatched(member, now));
    if (member.missed_directly) {
      missed_members_.insert(item.first);
    }
    // While the log is unreachable, the view does not change. Members that are
    // still suspected when the log is back are accused then; accusing the
    // others would have been wrong.
    if (contents.log_unreachable) {
      continue;
    }
    const auto found = fleet.members.find(item.first);
    const bool accused = found != fleet.members.end() &&
                         found->second.accusers.contains(self_.who);
    if (!accused && member.suspected) {
      Accuse(item, now, out);
    }
    if (accused && HasRecovered(member, now) &&
        now - member.withdraw_asked_at >= options_.record_retry_interval) {
      member.withdraw_asked_at = now;
      member.accuse_asked_at = time_point();
      out.Append(withdraw_accusation{self_.who, item.first});
    }
  }
}

bool membership::IsSilent(const member_entry& item, time_point now) const {
  const auto& [who, member] = item;
  if (now - member.last_heard_at < options_.suspicion_timeout) {
    return false;
  }
  const bool watched_long =
      now - member.watched_since >= options_.suspicion_timeout;
  return (IsWatched(member, now) && watched_long) ||
         MajorityOfWatchersSuspects(who);
}

bool membership::IsWatched(const known_member& member, time_point now) {
  return member.watched || now < member.watched_until;
}

void membership::CountReports() {
  reports_.clear();
  for (const auto& [who, member] : others_) {
    // A suspected member can neither receive heartbeats nor report.
    if (member.suspected || !member.status) {
      continue;
    }
    for (const incarnation missed_directly : member.status->last.suspected) {
      ++reports_[missed_directly];
    }
  }
}

// Reports of members that were watchers before the ring changed also count.
// When a zone is lost, the first expulsions change the ring, and the new
// watchers of the other failed members would have to wait a full timeout.
bool membership::MajorityOfWatchersSuspects(incarnation who) const {
  const auto reports = reports_.find(who);
  if (reports == reports_.end()) {
    return false;
  }
  const std::vector<incarnation>& watchers = ring_.WatchersOf(who);
  const auto voters = std::count_if(
      watchers.begin(), watchers.end(),
      [&](incarnation item) { return item == self_.who || !Suspects(item); });
  return reports->second * 2 > voters;
}

bool membership::HasRecovered(const known_member& member,
                              time_point now) const {
  // An entry that is suspended repeatedly would cost each member two records
  // each time. Doubling the delay limits their number.
  const int doublings = std::clamp(member.accusations - 1, 0, kMaxDoublings);
  return !member.suspected && now - member.suspected_at >=
                                  options_.withdraw_after * (1 << doublings);
}

void membership::Accuse(member_entry& item, time_point now, effects& out) {
  known_member& member = item.second;
  if (now - member.accuse_asked_at < options_.record_retry_interval) {
    return;
  }
  const duration forget_after = options_.withdraw_after * (2 << kMaxDoublings);
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
