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

// Removes a member from the view together with its accusations of other
// members.
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

// Returns a member that is accused by more than half of the others, or `kNone`.
incarnation FindExpelled(const fleet_state& state) {
  const std::size_t others = state.members.size() - 1;
  for (const auto& [who, member] : state.members) {
    if (member.accusers.size() * 2 > others) {
      return who;
    }
  }
  return incarnation::kNone;
}

// Removing a member reduces the number of others, so fewer accusers suffice for
// the next. The loop restores the rule after each record.
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
                  " is not in force: " + DescribeLease(state));
}

fold_result ApplyRecord(fleet_state& state, const join_entry& body) {
  if (body.who == incarnation::kNone || body.name.empty()) {
    return Ignored("a joining entry needs an incarnation and a name");
  }
  if (IsMember(state, body.who)) {
    return Ignored("the entry is already a member");
  }
  if (const auto it = state.departed.find(body.who);
      it != state.departed.end()) {
    return Conflict("incarnation " + ToHex(body.who) + " departed at offset " +
                    std::to_string(it->second) + " and cannot join again");
  }
  // A process with the same name restarted. Its previous process has ended even
  // though nobody has expelled it.
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
    return Ignored("the leaving entry is not a member");
  }
  Remove(state, body.who);
  // A holder that leaves stops acting before it writes this record, so the
  // lease is free at once. An expelled holder may still act until its lease
  // expires.
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
    return Ignored("the accuser has already accused this member");
  }
  ExpelAccused(state);
  return Applied();
}

fold_result ApplyRecord(fleet_state& state, const withdraw_accusation& body) {
  const auto accused = state.members.find(body.accused);
  if (accused == state.members.end() ||
      accused->second.accusers.erase(body.accuser) == 0) {
    return Ignored("there is no accusation to withdraw");
  }
  return Applied();
}

fold_result ApplyRecord(fleet_state& state, const take_planner_lease& body) {
  planner_lease& lease = state.lease;
  if (!IsMember(state, body.holder)) {
    return Ignored("an entry that takes the planner lease must be a member");
  }
  if (body.expected != lease.epoch) {
    return Conflict(DescribeLease(state));
  }
  // Without this check an entry that reads the log late could take a lease that
  // its holder has just renewed, and both would act as planner for a while.
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
