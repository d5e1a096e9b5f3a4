#include <iterator>
#include <string>

#include "core/hex.h"
#include "core/log/fold_rules.h"

namespace plantainhead::core::fold_rules {
namespace {

bool IsMember(const fleet_state& state, incarnation who) {
  return state.members.contains(who);
}

void ForgetOldestDeparted(fleet_state& state) {
  auto oldest = state.departed.begin();
  for (auto it = state.departed.begin(); it != state.departed.end(); ++it) {
    if (it->second < oldest->second) {
      oldest = it;
    }
  }
  state.departed.erase(oldest);
}

// Takes a member out of the view, with all that it said about others.
void Remove(fleet_state& state, incarnation who) {
  state.members.erase(who);
  for (auto& [other, member] : state.members) {
    member.accusers.erase(who);
  }
  state.departed.emplace(who, state.offset);
  if (state.departed.size() > kRetainedIncarnations) {
    ForgetOldestDeparted(state);
  }
  state.view = state.offset;
}

// Returns a member that more than half of the others accuse.
incarnation FindExpelled(const fleet_state& state) {
  const std::size_t others = state.members.size() - 1;
  for (const auto& [who, member] : state.members) {
    if (member.accusers.size() * 2 > others) {
      return who;
    }
  }
  return incarnation::kNone;
}

// A member that goes leaves fewer others, so that fewer accusers are enough for
// the next; the rule holds again after each record.
void ExpelAccused(fleet_state& state) {
  while (!state.members.empty()) {
    const incarnation expelled = FindExpelled(state);
    if (expelled == incarnation::kNone) {
      return;
    }
    Remove(state, expelled);
  }
}

std::string DescribeLease(const fleet_state& state) {
  const planner_lease& lease = state.lease;
  if (lease.holder == incarnation::kNone) {
    return "epoch " + std::to_string(lease.epoch) + " has no holder";
  }
  std::string text = "epoch " + std::to_string(lease.epoch) + " held by ";
  const auto member = state.members.find(lease.holder);
  text += member == state.members.end() ? "a former member"
                                        : member->second.name.value();
  return text + " (" + ToHex(lease.holder) + "), renewed at offset " +
         std::to_string(lease.renewed_at);
}

}  // namespace

bool IsPlanner(const fleet_state& state, lease_epoch epoch) {
  return epoch != 0 && epoch == state.lease.epoch &&
         IsMember(state, state.lease.holder);
}

fold_result StalePlanner(const fleet_state& state, lease_epoch epoch) {
  return Conflict("planner epoch " + std::to_string(epoch) +
                  " isn't in force: " + DescribeLease(state));
}

fold_result ApplyRecord(fleet_state& state, const join_entry& body) {
  if (body.who == incarnation::kNone || body.name.empty()) {
    return Ignored("joins without an incarnation or a name");
  }
  if (IsMember(state, body.who)) {
    return Ignored("is a member already");
  }
  if (const auto it = state.departed.find(body.who);
      it != state.departed.end()) {
    return Conflict("incarnation " + ToHex(body.who) + " departed at offset " +
                    std::to_string(it->second) + " and can't join again");
  }
  // A restarted VM: its former process is gone, though nobody has expelled it.
  for (auto it = state.members.begin(); it != state.members.end();) {
    const auto member = it++;
    if (member->second.name == body.name) {
      Remove(state, member->first);
    }
  }
  state.members.emplace(body.who, entry_member{body.who,
                                               body.name,
                                               body.zone,
                                               body.host,
                                               body.peer_port,
                                               body.http_port,
                                               {}});
  state.view = state.offset;
  ExpelAccused(state);
  return Applied();
}

fold_result ApplyRecord(fleet_state& state, const leave_entry& body) {
  if (!IsMember(state, body.who)) {
    return Ignored("leaves without being a member");
  }
  Remove(state, body.who);
  // A holder that leaves has stopped acting before it wrote this, so the lease
  // is free at once. One that is expelled may still act until it lapses.
  if (state.lease.holder == body.who) {
    state.lease.holder = incarnation::kNone;
  }
  ExpelAccused(state);
  return Applied();
}

fold_result ApplyRecord(fleet_state& state, const accuse_entry& body) {
  const auto accused = state.members.find(body.accused);
  if (body.accuser == body.accused || !IsMember(state, body.accuser) ||
      accused == state.members.end()) {
    return Ignored("accuser and accused must be two members");
  }
  if (!accused->second.accusers.insert(body.accuser).second) {
    return Ignored("accuses again");
  }
  ExpelAccused(state);
  return Applied();
}

fold_result ApplyRecord(fleet_state& state, const withdraw_accusation& body) {
  const auto accused = state.members.find(body.accused);
  if (accused == state.members.end() ||
      accused->second.accusers.erase(body.accuser) == 0) {
    return Ignored("withdraws an accusation that isn't there");
  }
  return Applied();
}

fold_result ApplyRecord(fleet_state& state, const take_planner_lease& body) {
  planner_lease& lease = state.lease;
  if (!IsMember(state, body.holder)) {
    return Ignored("takes the planner lease without being a member");
  }
  if (body.expected != lease.epoch) {
    return Conflict(DescribeLease(state));
  }
  // Without this check a taker that reads the log late would take a lease that
  // its holder has just renewed, and both would act for a while.
  if (body.renewed_at != 0 && body.renewed_at != lease.renewed_at) {
    return Conflict(DescribeLease(state));
  }
  lease.holder = body.holder;
  ++lease.epoch;
  lease.renewed_at = state.offset;
  return Applied();
}

fold_result ApplyRecord(fleet_state& state, const renew_planner_lease& body) {
  if (body.holder != state.lease.holder || !IsPlanner(state, body.epoch)) {
    return StalePlanner(state, body.epoch);
  }
  state.lease.renewed_at = state.offset;
  return Applied();
}

}  // namespace plantainhead::core::fold_rules
