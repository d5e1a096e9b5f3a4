#ifndef PLANTAINHEAD_CORE_JOBS_VM_LIFE_H_
#define PLANTAINHEAD_CORE_JOBS_VM_LIFE_H_

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhead::core::jobs {

/// Identifies a VM. A VM that restarts has another id, or the same id and
/// another `vm_incarnation`.
using vm_id = std::string;
/// Distinguishes the incarnations of a VM under the same id. It is the time at
/// which the incarnation started, in milliseconds since 1970 on the VM's own
/// clock. Empty if the VM does not report it.
using vm_incarnation = std::optional<std::int64_t>;

/// Returns whether both values are known and differ. Thread safety: safe from
/// any thread.
inline bool AreDifferentIncarnations(const vm_incarnation& one,
                                     const vm_incarnation& other) {
  return one && other && *one != *other;
}

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VM_LIFE_H_
