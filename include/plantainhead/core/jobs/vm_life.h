#ifndef PLANTAINHEAD_CORE_JOBS_VM_LIFE_H_
#define PLANTAINHEAD_CORE_JOBS_VM_LIFE_H_

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhead::core::jobs {

/// A VM. One that begins anew has another id, or another `vm_incarnation`.
using vm_id = std::string;
/// Tells one life of a VM from others under the same id: when it began, in
/// milliseconds since 1970 by its own clock. Nothing: it isn't told.
using vm_incarnation = std::optional<std::int64_t>;

/// Returns whether the marks are surely of two lives. Thread safety: safe from
/// any thread.
inline bool AreDifferentIncarnations(const vm_incarnation& one,
                                     const vm_incarnation& other) {
  return one && other && *one != *other;
}

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_VM_LIFE_H_
