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

/// An entry process that is a member of the view.
struct entry_member {
  incarnation who = incarnation::kNone;
  entry_id name;
  zone_id zone;
  std::string host;
  std::uint16_t peer_port = 0;
  std::uint16_t http_port = 0;
  /// Members that report receiving nothing from this entry.
  std::set<incarnation> accusers;

  friend bool operator==(const entry_member&, const entry_member&) = default;
};

/// Current holder and epoch of the planner lease.
struct planner_lease {
  incarnation holder = incarnation::kNone;
  lease_epoch epoch = 0;
  /// Offset of the newest record that took or renewed the lease.
  log_offset renewed_at = 0;

  friend bool operator==(const planner_lease&, const planner_lease&) = default;
};

/// Replicated state of one VM.
struct fleet_vm {
  pool_id pool;
  vm_phase phase = vm_phase::kServing;
  generation version = 0;
  operation_id operation;
  wave_id wave;
  bool quarantined = false;
  std::string reason;
  /// Author of the newest change.
  std::string author;

  friend bool operator==(const fleet_vm&, const fleet_vm&) = default;
};

/// Replicated state of one maintenance wave.
struct fleet_wave {
  std::vector<pool_id> pools;
  time_point finish_by;
  wave_state state = wave_state::kRunning;
  generation version = 0;
  /// VMs that the wave has rebooted and returned to service.
  std::set<vm_id> visited;
  std::string author;
  std::string reason;

  friend bool operator==(const fleet_wave&, const fleet_wave&) = default;
};

/// Replicated state of one job.
struct fleet_job {
  job_requirements spec;
  job_status state = job_status::kWaiting;
  generation version = 0;
  vm_id vm;
  operation_id operation;
  /// Number of failed tasks of this job. The planner parks a job after too many
  /// failures.
  std::uint32_t failures = 0;
  std::string reason;
  /// Author of the newest change.
  std::string author;

  friend bool operator==(const fleet_job&, const fleet_job&) = default;
};

/// Position of the newest record that one entry process has written.
struct writer_position {
  /// Sequence number in the record's id, see `MakeRecordId`.
  std::uint64_t number = 0;
  /// Offset of the record in the control stream.
  log_offset offset = 0;

  friend bool operator==(const writer_position&,
                         const writer_position&) = default;
};

/// Replicated state of the fleet: the result of applying (folding) the control
/// stream up to `offset`. All entries at the same offset have equal states. The
/// maps are ordered so that digests and plans are identical everywhere. Thread
/// safety: none; each core owns one.
struct fleet_state {
  log_offset offset = 0;
  configuration targets;
  generation targets_version = 0;
  std::string targets_author;
  /// Offset of the record that published `targets`.
  log_offset targets_offset = 0;
  std::map<incarnation, entry_member> members;
  /// Offset of the newest change of `members`, which serves as the view number.
  log_offset view = 0;
  planner_lease lease;
  std::map<vm_id, fleet_vm> vms;
  std::map<wave_id, fleet_wave> waves;
  std::map<job_id, fleet_job> jobs;
  /// Request counts of each class that the targets define.
  std::map<class_name, class_ledger> ledgers;
  /// Incarnations that left, were expelled or were replaced, with the offset of
  /// that record. None of them can join again. Bounded by
  /// `kRetainedIncarnations`.
  std::map<incarnation, log_offset> departed;
  /// Cancelled and finished waves and jobs by the offset of the record that
  /// ended them, so that the oldest are evicted first. Bounded by
  /// `kRetainedEndedWaves` and `kRetainedEndedJobs`.
  std::map<log_offset, wave_id> ended_waves;
  std::map<log_offset, job_id> ended_jobs;
  /// Newest record of each entry process. A process numbers its records and
  /// appends them in order, one append at a time, so a record whose number does
  /// not exceed the stored number is a duplicate. Bounded by
  /// `kRetainedIncarnations`.
  std::map<incarnation, writer_position> writers;
  /// Offsets and ids of recent records whose ids are not of the `MakeRecordId`
  /// format, used to detect duplicates. Bounded by `kRetainedRecordIds`.
  std::map<log_offset, record_id> recent_records;
  std::set<record_id> recent_ids;

  friend bool operator==(const fleet_state&, const fleet_state&) = default;
};

/// Number of individual record ids retained for duplicate detection. Duplicates
/// come from appends that are retried within seconds; entry processes do not
/// write ids of this format.
inline constexpr std::size_t kRetainedRecordIds = 8192;

/// Number of incarnations retained as writers, and number retained as departed.
/// A retried append, or a join that arrives after its process was expelled,
/// comes within minutes, while entry processes start some tens of times a day.
inline constexpr std::size_t kRetainedIncarnations = 1024;

/// Number of ended waves and jobs retained for operators to inspect.
inline constexpr std::size_t kRetainedEndedWaves = 100;
inline constexpr std::size_t kRetainedEndedJobs = 1000;

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_FLEET_STATE_H_
