#ifndef PLANTAINHEAD_CORE_LOG_RECORDS_H_
#define PLANTAINHEAD_CORE_LOG_RECORDS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/requests/request_counts.h"
#include "plantainhead/core/time.h"

/// Records of the platform's log. Everything that entries must agree on or that
/// must persist is a record; the state of the fleet results from applying the
/// records in the order of their offsets.
namespace plantainhead::core {

/// Stream of configuration, membership, pools, waves and jobs.
inline const stream_name kControlStream{"control"};
/// Stream of snapshots of the fleet state that results from `kControlStream`.
inline const stream_name kSnapshotStream{"control-snapshots"};

// --- configuration ---------------------------------------------------------

/// Replaces the configuration if its generation is still `expected`.
struct publish_configuration {
  configuration document;
  generation expected = 0;
};

// --- membership ------------------------------------------------------------

/// Adds an entry process to the view.
struct join_entry {
  incarnation who = incarnation::kNone;
  entry_id name;
  zone_id zone;
  /// Address for other entries.
  std::string host;
  std::uint16_t peer_port = 0;
  /// Port for operators and callers.
  std::uint16_t http_port = 0;
};

/// Removes an entry process that shuts down gracefully.
struct leave_entry {
  incarnation who = incarnation::kNone;
};

/// Reports that one entry receives nothing from another. A member is expelled
/// once more than half of the other members accuse it.
struct accuse_entry {
  incarnation accuser = incarnation::kNone;
  incarnation accused = incarnation::kNone;
};

/// Withdraws an accusation: the accuser receives messages from the accused
/// again.
struct withdraw_accusation {
  incarnation accuser = incarnation::kNone;
  incarnation accused = incarnation::kNone;
};

// --- planner ---------------------------------------------------------------

/// Takes the planner lease with epoch `expected` + 1, if `expected` is still
/// the current epoch.
struct take_planner_lease {
  incarnation holder = incarnation::kNone;
  lease_epoch expected = 0;
  /// Offset of the newest renewal that the writer has read (`renewed_at` of the
  /// fleet state), or 0 to skip this check. If there is a newer renewal that
  /// the writer has not read, the record is a conflict.
  log_offset renewed_at = 0;
};

/// Renews the planner lease. Other entries measure the lease from the time they
/// read this record.
struct renew_planner_lease {
  incarnation holder = incarnation::kNone;
  lease_epoch epoch = 0;
};

// --- VMs -------------------------------------------------------------------

/// Phase of a VM between serving and maintenance.
enum class vm_phase { kServing, kDraining, kDrained, kRebooting, kReturning };

inline constexpr name_table<vm_phase, 5> kVmPhaseNames = {{
    {vm_phase::kServing, "serving"},
    {vm_phase::kDraining, "draining"},
    {vm_phase::kDrained, "drained"},
    {vm_phase::kRebooting, "rebooting"},
    {vm_phase::kReturning, "returning"},
}};
inline constexpr const auto& NamesOf(vm_phase) {
  return kVmPhaseNames;
}

/// Assigns a VM to a pool. `expected` is the generation of the VM, or 0 if the
/// fleet state does not contain it yet.
struct assign_vm {
  lease_epoch epoch = 0;
  vm_id vm;
  generation expected = 0;
  pool_id pool;
  /// Reason shown by `plantainctl explain`.
  std::string reason;
};

/// Changes the phase of a VM. This record is written before the platform
/// operation that it allows.
struct set_vm_phase {
  lease_epoch epoch = 0;
  vm_id vm;
  generation expected = 0;
  vm_phase phase = vm_phase::kServing;
  /// The platform operation that this record allows, if any.
  operation_id operation;
  /// The wave that requires the change, if any.
  wave_id wave;
  std::string reason;
};

/// Deletes a VM that the platform no longer lists.
struct forget_vm {
  lease_epoch epoch = 0;
  vm_id vm;
  generation expected = 0;
};

// --- waves -----------------------------------------------------------------

/// Starts a maintenance wave requested by an operator: reboot every VM of these
/// pools before `finish_by`.
struct start_wave {
  wave_id wave;
  std::vector<pool_id> pools;
  /// 1970-01-01 if there is no deadline.
  time_point finish_by;
};

/// State of a maintenance wave.
enum class wave_state { kRunning, kPaused, kCancelled, kFinished };

inline constexpr name_table<wave_state, 4> kWaveStateNames = {{
    {wave_state::kRunning, "running"},
    {wave_state::kPaused, "paused"},
    {wave_state::kCancelled, "cancelled"},
    {wave_state::kFinished, "finished"},
}};
inline constexpr const auto& NamesOf(wave_state) {
  return kWaveStateNames;
}

/// Sets the state of a wave. `epoch` is 0 if an operator requests it, otherwise
/// the epoch of the planner.
struct set_wave_state {
  lease_epoch epoch = 0;
  wave_id wave;
  generation expected = 0;
  wave_state state = wave_state::kRunning;
  std::string reason;
};

// --- jobs ------------------------------------------------------------------

/// Resources that a job requires of a worker, and its limits. Declared values
/// are often inaccurate.
struct job_requirements {
  job_id name;
  team_id team;
  pool_id pool;
  std::uint32_t processors = 1;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  duration declared_run_time{};
  /// 1970-01-01 if there is no deadline.
  time_point finish_by;
  bool urgent = false;

  friend bool operator==(const job_requirements&,
                         const job_requirements&) = default;
};

/// Submits a job.
struct submit_job {
  job_requirements spec;
};

/// Scheduling status of a job.
enum class job_status {
  kWaiting,
  kPlaced,
  kCheckpointing,
  kFinished,
  kParked,
  kCancelled,
};

inline constexpr name_table<job_status, 6> kJobStatusNames = {{
    {job_status::kWaiting, "waiting"},
    {job_status::kPlaced, "placed"},
    {job_status::kCheckpointing, "checkpointing"},
    {job_status::kFinished, "finished"},
    {job_status::kParked, "parked"},
    {job_status::kCancelled, "cancelled"},
}};
inline constexpr const auto& NamesOf(job_status) {
  return kJobStatusNames;
}

/// Sets the status of a job, and its VM if the status has one. `epoch` is 0 if
/// an operator cancels a job or resumes a parked one.
struct set_job_state {
  lease_epoch epoch = 0;
  job_id job;
  generation expected = 0;
  job_status state = job_status::kWaiting;
  vm_id vm;
  operation_id operation;
  std::string reason;
};

/// Quarantines a worker on which every task fails, or releases it from
/// quarantine.
struct set_quarantine {
  lease_epoch epoch = 0;
  vm_id vm;
  generation expected = 0;
  bool quarantined = false;
  std::string reason;
};

// --- error budgets ---------------------------------------------------------

/// Counts of the requests that one entry has answered since its previous record
/// of this type. Each entry writes its own, so that when an entry is killed the
/// ledgers lose at most one interval of its counts.
struct count_requests {
  incarnation who = incarnation::kNone;
  time_point at;
  std::map<class_name, request_counts> classes;
};

// --- claims (on the claim streams, not on the control stream) ---------------

/// Claims an idempotency key. Only the writer of the first claim of a key in
/// its stream may dispatch the request.
struct claim_request {
  claim_key key;
  incarnation claimant = incarnation::kNone;
  request_id request;
  /// Time at which the claim was written; the claim window starts here.
  time_point at;
};

/// Releases a claim: the claimant has not dispatched the request and never
/// will, so the key can be claimed again.
struct release_claim {
  claim_key key;
  incarnation claimant = incarnation::kNone;
  request_id request;
};

// --- snapshots (on the snapshot stream) -------------------------------------

struct fleet_state;

/// Snapshot of the complete fleet state after the control stream up to
/// `state->offset`.
struct snapshot_taken {
  /// Never null.
  std::shared_ptr<const fleet_state> state;
  /// Digest of `state`. A reader that computes a different one ignores the
  /// snapshot.
  std::uint64_t digest = 0;
};

// --- others ------------------------------------------------------------------

/// A record of a type that this version does not know. It is skipped when the
/// log is applied.
struct unknown_record {
  std::string type;
};

using record_body = std::variant<publish_configuration,
                                 join_entry,
                                 leave_entry,
                                 accuse_entry,
                                 withdraw_accusation,
                                 take_planner_lease,
                                 renew_planner_lease,
                                 assign_vm,
                                 set_vm_phase,
                                 forget_vm,
                                 start_wave,
                                 set_wave_state,
                                 submit_job,
                                 set_job_state,
                                 set_quarantine,
                                 count_requests,
                                 claim_request,
                                 release_claim,
                                 snapshot_taken,
                                 unknown_record>;

/// One log record. The id makes it safe to retry an append whose result was
/// lost: the second copy is ignored.
struct record {
  record_id id;
  /// Operator or entry that wrote the record.
  std::string author;
  record_body body;
};

/// A record read from a stream, with its offset.
struct log_entry {
  log_offset offset = 0;
  record content;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_RECORDS_H_
