#ifndef PLANTAINHEAD_CORE_LOG_FLEET_STATE_H_
#define PLANTAINHEAD_CORE_LOG_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/fleet/error_budget.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

/// A member of the view.
struct entry_member {
  incarnation who = incarnation::kNone;
  entry_id name;
  zone_id zone;
  std::string host;
  std::uint16_t peer_port = 0;
  std::uint16_t http_port = 0;
  /// Members that hear nothing from it.
  std::set<incarnation> accusers;

  friend bool operator==(const entry_member&, const entry_member&) = default;
};

/// Who plans, under which epoch.
struct planner_lease {
  incarnation holder = incarnation::kNone;
  lease_epoch epoch = 0;
  /// Offset of the newest record that took or renewed it.
  log_offset renewed_at = 0;

  friend bool operator==(const planner_lease&, const planner_lease&) = default;
};

/// What is agreed about one VM.
struct fleet_vm {
  pool_id pool;
  vm_phase phase = vm_phase::kServing;
  generation version = 0;
  operation_id operation;
  wave_id wave;
  bool quarantined = false;
  std::string reason;
  /// Who wrote the newest change.
  std::string author;

  friend bool operator==(const fleet_vm&, const fleet_vm&) = default;
};

/// What is agreed about one wave.
struct fleet_wave {
  std::vector<pool_id> pools;
  time_point finish_by;
  wave_state state = wave_state::kRunning;
  generation version = 0;
  /// VMs that have been rebooted and are back.
  std::set<vm_id> visited;
  std::string author;
  std::string reason;

  friend bool operator==(const fleet_wave&, const fleet_wave&) = default;
};

/// What is agreed about one job.
struct fleet_job {
  job_requirements spec;
  job_status state = job_status::kWaiting;
  generation version = 0;
  vm_id vm;
  operation_id operation;
  /// Tasks of this job that failed, for parking.
  std::uint32_t failures = 0;
  std::string reason;
  /// Who wrote the newest change.
  std::string author;

  friend bool operator==(const fleet_job&, const fleet_job&) = default;
};

/// The newest record of one entry process.
struct writer_position {
  /// Its number in the record's id, see `MakeRecordId`.
  std::uint64_t number = 0;
  /// Offset at which it was read.
  log_offset offset = 0;

  friend bool operator==(const writer_position&,
                         const writer_position&) = default;
};

/// The fold of the control stream up to `offset`. Equal offsets mean equal
/// states at every entry. The maps are ordered so that digests and plans are
/// the same everywhere. Thread safety: none; each core owns one.
struct fleet_state {
  log_offset offset = 0;
  configuration targets;
  generation targets_version = 0;
  std::string targets_author;
  /// Offset of the record that published `targets`.
  log_offset targets_offset = 0;
  std::map<incarnation, entry_member> members;
  /// Offset of the newest change of `members`: the number of the view.
  log_offset view = 0;
  planner_lease lease;
  std::map<vm_id, fleet_vm> vms;
  std::map<wave_id, fleet_wave> waves;
  std::map<job_id, fleet_job> jobs;
  /// Requests of each class that the targets name.
  std::map<class_name, class_ledger> ledgers;
  /// Incarnations that left, were expelled or were replaced, with the offset of
  /// that record: none of them can join again. Bounded by
  /// `kRetainedIncarnations`.
  std::map<incarnation, log_offset> departed;
  /// Cancelled and finished waves and jobs by the offset of that record, for
  /// forgetting the oldest. Bounded by `kRetainedEndedWaves`,
  /// `kRetainedEndedJobs`.
  std::map<log_offset, wave_id> ended_waves;
  std::map<log_offset, job_id> ended_jobs;
  /// How far each entry process has written. A process numbers its records and
  /// appends them in order, one append at a time, so that a record with a
  /// number up to its mark is a second copy. Bounded by
  /// `kRetainedIncarnations`.
  std::map<incarnation, writer_position> writers;
  /// Offsets and ids of recent records whose ids have another form, to drop
  /// second copies. Bounded by `kRetainedRecordIds`.
  std::map<log_offset, record_id> recent_records;
  std::set<record_id> recent_ids;

  friend bool operator==(const fleet_state&, const fleet_state&) = default;
};

/// How many record ids the fold remembers one by one. A second copy comes from
/// an append that is repeated within seconds; no entry process writes such ids.
inline constexpr std::size_t kRetainedRecordIds = 8192;

/// How many incarnations the fold remembers as writers, and how many as
/// departed. An append that is repeated, or a join that arrives after its
/// process was expelled, comes within minutes; entry processes start some tens
/// of times a day.
inline constexpr std::size_t kRetainedIncarnations = 1024;

/// How many ended waves and jobs the fold keeps for operators to look at.
inline constexpr std::size_t kRetainedEndedWaves = 100;
inline constexpr std::size_t kRetainedEndedJobs = 1000;

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_FLEET_STATE_H_
