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

/// Records of the platform's log. What must be agreed or last is a record; the
/// state of the fleet is the fold of the records in the order of their offsets.
namespace plantainhead::core {

/// The stream of configuration, membership, pools, waves and jobs.
inline const stream_name kControlStream{"control"};
/// The stream of snapshots of the fold of `kControlStream`.
inline const stream_name kSnapshotStream{"control-snapshots"};

// --- configuration ---------------------------------------------------------

/// Replaces the configuration if it still has the generation `expected`.
struct publish_configuration {
  configuration document;
  generation expected = 0;
};

// --- membership ------------------------------------------------------------

/// An entry process starts to take part.
struct join_entry {
  incarnation who = incarnation::kNone;
  entry_id name;
  zone_id zone;
  /// Where other entries reach it.
  std::string host;
  std::uint16_t peer_port = 0;
  /// Where operators and callers reach it.
  std::uint16_t http_port = 0;
};

/// An entry process ends in good order.
struct leave_entry {
  incarnation who = incarnation::kNone;
};

/// One entry hears nothing from another. The fold expels the accused once more
/// than half of the other members accuse it.
struct accuse_entry {
  incarnation accuser = incarnation::kNone;
  incarnation accused = incarnation::kNone;
};

/// The accuser hears the accused again.
struct withdraw_accusation {
  incarnation accuser = incarnation::kNone;
  incarnation accused = incarnation::kNone;
};

// --- planner ---------------------------------------------------------------

/// Takes the planner lease with epoch `expected` + 1, if `expected` is still
/// the epoch in force.
struct take_planner_lease {
  incarnation holder = incarnation::kNone;
  lease_epoch expected = 0;
  /// Offset of the newest renewal that the taker has read (`renewed_at` of the
  /// fold), or 0 to take without this check. A renewal that the taker has not
  /// read yet makes the taking a conflict.
  log_offset renewed_at = 0;
};

/// Shows that the holder is alive; others count the lease's time from the
/// moment they read it.
struct renew_planner_lease {
  incarnation holder = incarnation::kNone;
  lease_epoch epoch = 0;
};

// --- VMs -------------------------------------------------------------------

/// Where a VM stands between serving and maintenance.
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

/// Puts a VM into a pool. `expected` is the generation of the VM, 0 for one
/// that the fold doesn't know yet.
struct assign_vm {
  lease_epoch epoch = 0;
  vm_id vm;
  generation expected = 0;
  pool_id pool;
  /// Why, for `plantainctl explain`.
  std::string reason;
};

/// Moves a VM to the next phase; the commitment that precedes each operation.
struct set_vm_phase {
  lease_epoch epoch = 0;
  vm_id vm;
  generation expected = 0;
  vm_phase phase = vm_phase::kServing;
  /// The operation at the platform that this record allows, if any.
  operation_id operation;
  /// The wave that asked for it, if any.
  wave_id wave;
  std::string reason;
};

/// Forgets a VM that the platform no longer lists.
struct forget_vm {
  lease_epoch epoch = 0;
  vm_id vm;
  generation expected = 0;
};

// --- waves -----------------------------------------------------------------

/// An operator's intention: reboot every VM of these pools before `finish_by`.
struct start_wave {
  wave_id wave;
  std::vector<pool_id> pools;
  /// 1970-01-01 when there is no limit.
  time_point finish_by;
};

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

/// Sets a wave's state. `epoch` is 0 when an operator asks for it, else that of
/// the planner.
struct set_wave_state {
  lease_epoch epoch = 0;
  wave_id wave;
  generation expected = 0;
  wave_state state = wave_state::kRunning;
  std::string reason;
};

// --- jobs ------------------------------------------------------------------

/// What one job asks of a worker. Declared figures are often far off.
struct job_requirements {
  job_id name;
  team_id team;
  pool_id pool;
  std::uint32_t processors = 1;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  duration declared_run_time{};
  /// 1970-01-01 when there is no limit.
  time_point finish_by;
  bool urgent = false;

  friend bool operator==(const job_requirements&,
                         const job_requirements&) = default;
};

struct submit_job {
  job_requirements spec;
};

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

/// Moves a job to a state, on a VM where the state has one. `epoch` is 0 when
/// an operator cancels or frees a parked job.
struct set_job_state {
  lease_epoch epoch = 0;
  job_id job;
  generation expected = 0;
  job_status state = job_status::kWaiting;
  vm_id vm;
  operation_id operation;
  std::string reason;
};

/// Takes a worker that fails every task out of use, or back.
struct set_quarantine {
  lease_epoch epoch = 0;
  vm_id vm;
  generation expected = 0;
  bool quarantined = false;
  std::string reason;
};

// --- error budgets ---------------------------------------------------------

/// Requests that one entry answered since its previous such record. Each entry
/// writes its own, so that the fold's ledgers lose at most one interval of an
/// entry that is killed.
struct count_requests {
  incarnation who = incarnation::kNone;
  time_point at;
  std::map<class_name, request_counts> classes;
};

// --- claims (on the claim streams, not on the control stream) ---------------

/// The first claim of a key in its stream may dispatch; all others may not.
struct claim_request {
  claim_key key;
  incarnation claimant = incarnation::kNone;
  request_id request;
  /// When the claim was written, for the claim window.
  time_point at;
};

/// The claimant has not dispatched and never will; the key is free again.
struct release_claim {
  claim_key key;
  incarnation claimant = incarnation::kNone;
  request_id request;
};

// --- snapshots (on the snapshot stream) -------------------------------------

struct fleet_state;

/// The whole fold of the control stream up to `state->offset`.
struct snapshot_taken {
  /// Never null.
  std::shared_ptr<const fleet_state> state;
  /// Digest of `state`; a reader that computes another one ignores the
  /// snapshot.
  std::uint64_t digest = 0;
};

// --- others ------------------------------------------------------------------

/// A record of a type that this version doesn't know; the fold skips it.
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

/// One record. Its id makes it safe to append again when the answer to an
/// append was lost: the fold drops the second copy.
struct record {
  record_id id;
  /// The operator or the entry that wrote it.
  std::string author;
  record_body body;
};

/// A record as read back from a stream.
struct log_entry {
  log_offset offset = 0;
  record content;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_RECORDS_H_
