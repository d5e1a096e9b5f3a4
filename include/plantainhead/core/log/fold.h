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

/// What a record did to the fold.
enum class fold_outcome {
  kApplied,
  /// A second copy of a record that was seen before.
  kDuplicate,
  /// The object isn't as the record expected: another generation, epoch, phase.
  kConflict,
  /// It can't be applied to any state: an unknown type, an empty name.
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

struct fold_result {
  fold_outcome outcome = fold_outcome::kApplied;
  /// For a conflict: what is in force and who wrote it. For an ignored record:
  /// what is wrong with it. Else empty.
  std::string detail;

  friend bool operator==(const fold_result&, const fold_result&) = default;
};

/// Thrown when an entry isn't the next one of the stream. The state is
/// unchanged.
class offset_error : public std::logic_error {
 public:
  offset_error(log_offset applied, log_offset got);

  /// Offset that the state had reached. Thread safety: safe from any thread.
  log_offset applied() const { return applied_; }
  /// Offset of the refused entry. Thread safety: safe from any thread.
  log_offset got() const { return got_; }

 private:
  log_offset applied_;
  log_offset got_;
};

/// How many waves and jobs the fold takes, ended ones included. A script that
/// submits without end would else fill the memory of every entry at once.
inline constexpr std::size_t kMaxWaves = 1000;
inline constexpr std::size_t kMaxJobs = 20000;

/// Applies one entry of the control stream. It is deterministic: equal states
/// and equal entries give equal states and results at every entry process. The
/// state's offset advances whatever the outcome.
///
/// Generations of VMs, waves and jobs start at the offset of the record that
/// made the object and count up from there. Each change takes an offset of its
/// own, so an object that is forgotten and made again never repeats a
/// generation, and a record that was meant for its earlier life is a conflict.
///
/// Precondition: `entry.offset` is `state.offset` + 1, else throws
/// `offset_error`.
/// Thread safety: none; the caller owns `state`.
fold_result Apply(fleet_state& state, const log_entry& entry);

/// Returns true if a VM may go from one phase to the other in one record.
/// Thread safety: safe from any thread.
bool IsAllowed(vm_phase from, vm_phase to);

/// Returns true if a job may go from one state to the other in one record.
/// Thread safety: safe from any thread.
bool IsAllowed(job_status from, job_status to);

/// Returns true if a wave may go from one state to the other in one record.
/// Thread safety: safe from any thread.
bool IsAllowed(wave_state from, wave_state to);

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_FOLD_H_
