#ifndef PLANTAINHEAD_SRC_PLATFORM_RECORD_FIELDS_H_
#define PLANTAINHEAD_SRC_PLATFORM_RECORD_FIELDS_H_

#include <map>
#include <memory>
#include <set>

#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/log/records.h"
#include "platform/json_archive.h"

/// The fields of every struct in a record or in the fleet state, by their names
/// in the log. A name must never be reused with another meaning.
namespace plantainhead::platform {

// `Archive::ref<T>` is `const T&` for `json_writer` and `T&` for `json_reader`.

// --- configuration -----------------------------------------------------------

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::work_class> x) {
  a("name", x.name);
  a("service", x.service);
  a("served", x.served);
  a("within_us", x.within);
  a("unavailability", x.unavailability);
  a("window_us", x.window);
  a("can_wait", x.can_wait);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::service_spec> x) {
  a("name", x.name);
  a("pools", x.pools);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::pool_spec> x) {
  a("name", x.name);
  a("team", x.team);
  a("least_vms", x.min_vms);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::team_spec> x) {
  a("name", x.name);
  a("vms", x.vms);
  a("accelerators", x.accelerators);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::objective_priorities> x) {
  a("buffer_cost", x.buffer_cost);
  a("roll_out_time", x.roll_out_time);
  a("moves", x.moves);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::configuration> x) {
  a("services", x.services);
  a("classes", x.classes);
  a("pools", x.pools);
  a("teams", x.teams);
  a("priorities", x.priorities);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::publish_configuration> x) {
  a("document", x.document);
  a("expected", x.expected);
}

// --- membership and planner --------------------------------------------------

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::join_entry> x) {
  a("who", x.who);
  a("name", x.name);
  a("zone", x.zone);
  a("host", x.host);
  a("peer_port", x.peer_port);
  a("http_port", x.http_port);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::leave_entry> x) {
  a("who", x.who);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::accuse_entry> x) {
  a("accuser", x.accuser);
  a("accused", x.accused);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::withdraw_accusation> x) {
  a("accuser", x.accuser);
  a("accused", x.accused);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::take_planner_lease> x) {
  a("holder", x.holder);
  a("expected", x.expected);
  a("renewed_at", x.renewed_at);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::renew_planner_lease> x) {
  a("holder", x.holder);
  a("epoch", x.epoch);
}

// --- VMs, waves and jobs -----------------------------------------------------

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::assign_vm> x) {
  a("epoch", x.epoch);
  a("vm", x.vm);
  a("expected", x.expected);
  a("pool", x.pool);
  a("reason", x.reason);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::set_vm_phase> x) {
  a("epoch", x.epoch);
  a("vm", x.vm);
  a("expected", x.expected);
  a("phase", x.phase);
  a("operation", x.operation);
  a("wave", x.wave);
  a("reason", x.reason);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::forget_vm> x) {
  a("epoch", x.epoch);
  a("vm", x.vm);
  a("expected", x.expected);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::start_wave> x) {
  a("wave", x.wave);
  a("pools", x.pools);
  a("finish_by_us", x.finish_by);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::set_wave_state> x) {
  a("epoch", x.epoch);
  a("wave", x.wave);
  a("expected", x.expected);
  a("state", x.state);
  a("reason", x.reason);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::job_requirements> x) {
  a("name", x.name);
  a("team", x.team);
  a("pool", x.pool);
  a("processors", x.processors);
  a("memory_mb", x.memory_mb);
  a("accelerators", x.accelerators);
  a("declared_run_time_us", x.declared_run_time);
  a("finish_by_us", x.finish_by);
  a("urgent", x.urgent);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::submit_job> x) {
  a("spec", x.spec);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::set_job_state> x) {
  a("epoch", x.epoch);
  a("job", x.job);
  a("expected", x.expected);
  a("state", x.state);
  a("vm", x.vm);
  a("operation", x.operation);
  a("reason", x.reason);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::set_quarantine> x) {
  a("epoch", x.epoch);
  a("vm", x.vm);
  a("expected", x.expected);
  a("quarantined", x.quarantined);
  a("reason", x.reason);
}

// --- error budgets -----------------------------------------------------------

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::request_counts> x) {
  a("served", x[core::slo_outcome::kServed]);
  a("late", x[core::slo_outcome::kLate]);
  a("overload", x[core::slo_outcome::kOverload]);
  a("maintenance", x[core::slo_outcome::kMaintenance]);
  a("failure", x[core::slo_outcome::kFailure]);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::count_requests> x) {
  a("who", x.who);
  a("at_us", x.at);
  a("classes", x.classes);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::class_ledger> x) {
  a("five_minutes", x.periods[0]);
  a("hours", x.periods[1]);
  a("days", x.periods[2]);
}

// --- claims ------------------------------------------------------------------

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::request_id> x) {
  a("entry", x.entry);
  a("sequence", x.sequence);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::claim_request> x) {
  a("key", x.key);
  a("claimant", x.claimant);
  a("request", x.request);
  a("at_us", x.at);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::release_claim> x) {
  a("key", x.key);
  a("claimant", x.claimant);
  a("request", x.request);
}

// --- fleet state -------------------------------------------------------------

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::entry_member> x) {
  a("who", x.who);
  a("name", x.name);
  a("zone", x.zone);
  a("host", x.host);
  a("peer_port", x.peer_port);
  a("http_port", x.http_port);
  a("accusers", x.accusers);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::planner_lease> x) {
  a("holder", x.holder);
  a("epoch", x.epoch);
  a("renewed_at", x.renewed_at);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::fleet_vm> x) {
  a("pool", x.pool);
  a("phase", x.phase);
  a("version", x.version);
  a("operation", x.operation);
  a("wave", x.wave);
  a("quarantined", x.quarantined);
  a("reason", x.reason);
  a("author", x.author);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::fleet_wave> x) {
  a("pools", x.pools);
  a("finish_by_us", x.finish_by);
  a("state", x.state);
  a("version", x.version);
  a("visited", x.visited);
  a("author", x.author);
  a("reason", x.reason);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::fleet_job> x) {
  a("spec", x.spec);
  a("state", x.state);
  a("version", x.version);
  a("vm", x.vm);
  a("operation", x.operation);
  a("failures", x.failures);
  a("reason", x.reason);
  a("author", x.author);
}

template <typename Archive>
void Fields(Archive& a,
            typename Archive::template ref<core::writer_position> x) {
  a("number", x.number);
  a("offset", x.offset);
}

inline std::set<core::record_id> IdsOf(
    const std::map<core::log_offset, core::record_id>& records) {
  std::set<core::record_id> ids;
  for (const auto& [offset, id] : records) {
    ids.insert(id);
  }
  return ids;
}

// The recent ids make up most of a snapshot and usually equal the ids of the
// recent records. They are omitted only in that case.
inline void RecentIdsField(json_writer& a, const core::fleet_state& x) {
  if (x.recent_ids != IdsOf(x.recent_records)) {
    a("recent_ids", x.recent_ids);
  }
}

inline void RecentIdsField(json_reader& a, core::fleet_state& x) {
  x.recent_ids = IdsOf(x.recent_records);
  a("recent_ids", x.recent_ids);
}

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<core::fleet_state> x) {
  a("offset", x.offset);
  a("targets", x.targets);
  a("targets_version", x.targets_version);
  a("targets_author", x.targets_author);
  a("targets_offset", x.targets_offset);
  a("members", x.members);
  a("view", x.view);
  a("lease", x.lease);
  a("vms", x.vms);
  a("waves", x.waves);
  a("jobs", x.jobs);
  a("ledgers", x.ledgers);
  a("departed", x.departed);
  a("ended_waves", x.ended_waves);
  a("ended_jobs", x.ended_jobs);
  a("writers", x.writers);
  a("recent_records", x.recent_records);
  RecentIdsField(a, x);
}

template <typename Archive>
void Fields(Archive&, typename Archive::template ref<core::unknown_record>) {}

inline void Fields(json_writer& a, const core::snapshot_taken& x) {
  a("state", *x.state);
  a("digest", hex_field{x.digest});
}

inline void Fields(json_reader& a, core::snapshot_taken& x) {
  auto state = std::make_shared<core::fleet_state>();
  json_reader::Read(a.Require("state"), *state, a.place() + "/state");
  x.state = std::move(state);
  a("digest", hex_field{x.digest});
}

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_RECORD_FIELDS_H_
