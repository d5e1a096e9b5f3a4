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

/// A VM through all its lives.
using host_id = std::string;

/// What operators want serviced.
struct maintenance_wave {
  std::uint64_t number = 0;
  std::vector<host_id> hosts;
  /// Within this time after the wave was published.
  duration time_limit = duration::zero();
  /// None: at some time before this process began to read waves.
  std::optional<time_point> published_at;
  /// Hosts that may be down for it at once.
  std::uint32_t max_concurrent = 1;
};

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

/// A VM as the platform's list of the fleet shows it.
struct fleet_host {
  host_id host;
  pool_id pool;
  host_state state = host_state::kDown;
  std::vector<std::string> labels;
  /// Its present life; empty when it has none.
  vm_id vm;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_MAINTENANCE_H_
