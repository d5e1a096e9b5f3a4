#ifndef PLANTAINHEAD_SRC_JOBS_FENCING_TOKENS_H_
#define PLANTAINHEAD_SRC_JOBS_FENCING_TOKENS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "plantainhead/core/jobs/vm_life.h"

namespace plantainhead::jobs {

/// Assigns the fencing tokens of an owner's calls to its VMs.
///
/// The first token is the epoch of the owner. Calls to a VM that has restarted
/// under its id get a higher one: the next incarnation has seen no token, and
/// would carry out calls that were made for the former one. A higher token is
/// used only after it was stored, so that the next owner begins above it. Pure;
/// not thread-safe.
class fencing_tokens {
 public:
  explicit fencing_tokens(std::uint64_t epoch)
      : reserved_(epoch), stored_(epoch), first_(epoch) {}

  /// Returns the token of calls to the VM.
  std::uint64_t TokenOf(const core::jobs::vm_id& vm) const;
  /// Returns the highest token that may be stored.
  std::uint64_t highest() const { return reserved_; }

  /// Records that the VM has restarted. Its token rises with the next
  /// reservation.
  void NoteRestart(const core::jobs::vm_id& vm);
  /// Returns whether the token of the VM is about to rise.
  bool IsRising(const core::jobs::vm_id& vm) const;
  /// Returns the token to store for the restarts that have been noted, or
  /// nothing if there are none. Precondition: the token that was returned
  /// before is stored.
  std::optional<std::uint64_t> Reserve();
  /// Records that the reserved token is stored.
  void OnStored();

  /// Handles a call that the VM has rejected for its token. Returns whether a
  /// newer owner has fenced this one. Otherwise a higher token of this owner
  /// did; the VM gets the highest one.
  bool IsFencedByOther(const core::jobs::vm_id& vm, std::uint64_t token);

 private:
  std::uint64_t reserved_;
  std::uint64_t stored_;
  std::uint64_t first_;
  /// The tokens above the first one.
  std::map<core::jobs::vm_id, std::uint64_t> raised_;
  std::set<core::jobs::vm_id> restarted_;
  /// The VMs for which the reserved token is.
  std::set<core::jobs::vm_id> reserving_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FENCING_TOKENS_H_
