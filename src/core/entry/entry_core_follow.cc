#include "plantainhead/core/entry/entry_core.h"

#include <algorithm>
#include <utility>
#include <variant>

// Propagation of changes between the modules of an entry.
namespace plantainhead::core {

void entry_core::PropagateChanges(time_point now, effects& out) {
  UpdateFromFleetState(now, out);
  UpdateSuspects(now, out);
  ProcessClaims(now, out);
  UpdateReadiness(now, out);
  // Must precede the shutdown step, whose final counts include the answers to
  // this event.
  RecordMetrics(out.actions, now);
  UpdateShutdown(now, out);
  control_.Submit(now, std::exchange(out.records, {}), out);
}

void entry_core::UpdateFromFleetState(time_point now, effects& out) {
  const bool state_changed = followed_offset_ != fleet().offset;
  if (!state_changed && !list_changed_) {
    return;
  }
  followed_offset_ = fleet().offset;
  list_changed_ = false;
  lease_.Observe(now, fleet());
  endpoints_.Rebuild(fleet(), vms_, options_.self.who, stopping_members_);
  UpdateMembers(now, out);
  requests_.OnEndpointsChanged(Context(), now, out);
}

void entry_core::UpdateMembers(time_point now, effects& out) {
  std::set<incarnation> members;
  for (const auto& [who, member] : fleet().members) {
    members.insert(who);
  }
  for (const incarnation who : known_members_) {
    if (!members.contains(who)) {
      stopping_members_.erase(who);
      suspects_.erase(who);
      disconnected_members_.erase(who);
      requests_.OnPeerDisconnected(who, Context(), now, out);
    }
  }
  known_members_ = std::move(members);
  fleet_meter_.Retain(fleet().members);
  UpdateClaimsView(now, out);
}

// A key's coordinator that is suspected or disconnected is skipped like one
// that is stopping; otherwise its keys would be rejected until it is expelled.
// If it is still alive, both entries write claims, and the order of the log
// decides.
void entry_core::UpdateClaimsView(time_point now, effects& out) {
  std::set<incarnation> excluded = stopping_members_;
  excluded.insert(suspects_.begin(), suspects_.end());
  excluded.insert(disconnected_members_.begin(), disconnected_members_.end());
  // A stopping entry remains coordinator of its keys until its stop notice has
  // elapsed: the others need several heartbeats to learn of the stop, and their
  // callers would be rejected meanwhile.
  if (!rejecting_requests_) {
    excluded.erase(options_.self.who);
  }
  claims_.OnViewChanged(fleet(), excluded, now, out);
}

void entry_core::UpdateSuspects(time_point now, effects& out) {
  const std::set<incarnation> before = suspects_;
  for (const incarnation who : known_members_) {
    const bool suspected = membership_.Suspects(who);
    if (suspected && suspects_.insert(who).second) {
      requests_.OnPeerSuspected(who, Context(), now, out);
    }
    if (!suspected) {
      suspects_.erase(who);
    }
  }
  if (suspects_ != before) {
    UpdateClaimsView(now, out);
  }
}

const work_class* entry_core::ClassOf(const request_envelope& request) const {
  const service_routes* routes = endpoints_.Find(request.service);
  if (routes == nullptr) {
    return nullptr;
  }
  if (request.work.empty() && routes->classes.size() == 1) {
    return &routes->classes.front();
  }
  return routes->FindClass(request.work);
}

bool entry_core::IsInMaintenance(const service_name& service) const {
  const service_spec* spec = fleet().targets.FindService(service);
  if (spec == nullptr) {
    return false;
  }
  return std::any_of(fleet().vms.begin(), fleet().vms.end(),
                     [&](const auto& item) {
                       return item.second.phase != vm_phase::kServing &&
                              std::find(spec->pools.begin(), spec->pools.end(),
                                        item.second.pool) != spec->pools.end();
                     });
}

void entry_core::RecordMetrics(const action_list& actions, time_point now) {
  for (const action& item : actions) {
    if (const auto* call = std::get_if<call_endpoint>(&item)) {
      meter_.OnCall(*call, now);
    }
    if (const auto* answer = std::get_if<answer_caller>(&item)) {
      const bool is_done = answer->answer.result == outcome::kDone;
      const service_name* service = meter_.ServiceOf(answer->sequence);
      // Looked up only for requests that were not completed, because only they
      // can miss their target.
      const bool in_maintenance =
          service != nullptr && !is_done && IsInMaintenance(*service);
      meter_.OnAnswer(*answer, in_maintenance, now);
    }
  }
}

void entry_core::AppendRequestCounts(time_point now, effects& out) {
  counted_at_ = now;
  std::map<class_name, request_counts> counts = meter_.TakeUnrecorded();
  if (!counts.empty()) {
    out.Append(count_requests{options_.self.who, now, std::move(counts)});
  }
}

void entry_core::ProcessClaims(time_point now, effects& out) {
  // A decision may make the request module submit further claim requests (for
  // another key, or a release), so this repeats until neither module has
  // output.
  while (true) {
    for (const claim_command& question : requests_.TakeClaimCommands()) {
      switch (question.operation) {
        case claim_operation::kAcquire:
          claims_.Acquire(question.key, question.request, question.deadline,
                          now, out, decisions_);
          break;
        case claim_operation::kRelease:
          claims_.Release(question.key, question.request, now, out);
          break;
        case claim_operation::kComplete:
          claims_.Complete(question.key, question.request, *question.answer,
                           now);
          break;
      }
    }
    if (decisions_.empty()) {
      return;
    }
    for (const claim_decision& decision : std::exchange(decisions_, {})) {
      requests_.OnClaimDecision(decision, Context(), now, out);
    }
  }
}

}  // namespace plantainhead::core
