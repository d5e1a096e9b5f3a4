#ifndef PLANTAINHEAD_CORE_LOG_FOLD_H_
#define PLANTAINHEAD_CORE_LOG_FOLD_H_

#include <cstddef>
#include <stdexcept>
#include <string>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/names.h"

namespace plantainhead::core {

/// Effect of a record on the fleet state.
enum class fold_outcome {
  kApplied,
  /// The record is a duplicate of one that was applied before.
  kDuplicate,
  /// The object is not in the state that the record expects: its generation,
  /// epoch or phase differs.
  kConflict,
  /// The record cannot be applied to any state, for example because its type is
  /// unknown or a name is empty.
  kIgnored,
};

inline constexpr name_table<fold_outcome, 4> kFoldOutcomeNames = {{
    {fold_outcome::kApplied, "applied"},
    {fold_outcome::kDuplicate, "duplicate"},
    {fold_outcome::kConflict, "conflict"},
    {fold_outcome::kIgnored, "ignored"},
}};
inline constexpr const auto& NamesOf(fold_outcome) {
  return kFoldOutcomeNames;
}

/// Result of applying one record.
struct fold_result {
  fold_outcome outcome = fold_outcome::kApplied;
  /// For a conflict: the value in force and its author. For an ignored record:
  /// the reason. Otherwise empty.
  std::string detail;

  friend bool operator==(const fold_result&, const fold_result&) = default;
};

/// Thrown when a log entry is not the next one of the stream. The state is
/// unchanged.
class offset_error : public std::logic_error {
 public:
  offset_error(log_offset applied, log_offset got);

  /// Offset up to which the state had been applied. Thread safety: safe from
  /// any thread.
  log_offset applied() const { return applied_; }
  /// Offset of the rejected entry. Thread safety: safe from any thread.
  log_offset got() const { return got_; }

 private:
  log_offset applied_;
  log_offset got_;
};

/// Maximum number of waves and jobs in the fleet state, including ended ones.
/// Without a limit, a script that submits jobs in an endless loop would exhaust
/// the memory of every entry at the same time.
inline constexpr std::size_t kMaxWaves = 1000;
inline constexpr std::size_t kMaxJobs = 20000;

/// Applies one entry of the control stream to the fleet state. Deterministic:
/// equal states and equal entries give equal states and results in every entry
/// process. The state's offset advances regardless of the outcome.
///
/// Generations of VMs, waves and jobs start at the offset of the record that
/// created the object and are incremented by each change. Each change has an
/// offset of its own, so an object that is deleted and created again never
/// repeats a generation, and a record meant for its earlier instance is a
/// conflict.
///
/// Precondition: `entry.offset` is `state.offset` + 1; otherwise throws
/// `offset_error`. Thread safety: none; the caller owns `state`.
fold_result Apply(fleet_state& state, const log_entry& entry);

/// Returns true if a single record may change a VM from phase `from` to phase
/// `to`. Thread safety: safe from any thread.
bool IsAllowed(vm_phase from, vm_phase to);

/// Returns true if a single record may change a job from status `from` to
/// status `to`. Thread safety: safe from any thread.
bool IsAllowed(job_status from, job_status to);

/// Returns true if a single record may change a wave from state `from` to state
/// `to`. Thread safety: safe from any thread.
bool IsAllowed(wave_state from, wave_state to);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_FOLD_H_
