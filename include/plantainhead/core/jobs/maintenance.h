#ifndef PLANTAINHEAD_CORE_JOBS_MAINTENANCE_H_
#define PLANTAINHEAD_CORE_JOBS_MAINTENANCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core::jobs {

/// Identifies a host: a VM across all its incarnations.
using host_id = std::string;

/// A set of hosts that operators want serviced together.
struct maintenance_wave {
  std::uint64_t number = 0;
  std::vector<host_id> hosts;
  /// The wave should be complete within this time after it was published.
  duration time_limit = duration::zero();
  /// Empty if the wave was published before this process began to read waves.
  std::optional<time_point> published_at;
  /// Maximum number of hosts that may be down for the wave at the same time.
  std::uint32_t max_concurrent = 1;
};

/// State of a host as reported by the platform.
enum class host_state { kUp, kMoving, kInService, kDown };

inline constexpr name_table<host_state, 4> kHostStateNames = {{
    {host_state::kUp, "up"},
    {host_state::kMoving, "moving"},
    {host_state::kInService, "in service"},
    {host_state::kDown, "down"},
}};
inline constexpr const auto& NamesOf(host_state) {
  return kHostStateNames;
}

/// Progress of a host in a maintenance wave.
enum class host_phase {
  /// Waits for its turn.
  kDue,
  /// Its VM is being drained, or is drained and waits for its turn.
  kClosing,
  /// Its service was ordered and may have begun.
  kOrdered,
  /// Its service has begun, and its return has not been seen yet.
  kDown,
  kDone,
};

inline constexpr name_table<host_phase, 5> kHostPhaseNames = {{
    {host_phase::kDue, "due"},
    {host_phase::kClosing, "closing"},
    {host_phase::kOrdered, "ordered"},
    {host_phase::kDown, "down"},
    {host_phase::kDone, "done"},
}};
inline constexpr const auto& NamesOf(host_phase) {
  return kHostPhaseNames;
}

/// A host as shown in the platform's fleet list.
struct fleet_host {
  host_id host;
  pool_id pool;
  host_state state = host_state::kDown;
  std::vector<std::string> labels;
  /// Its current incarnation; empty if there is none.
  vm_id vm;
  /// False if only the name could be read; `state` is then not the actual one.
  bool is_readable = true;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_MAINTENANCE_H_
