#ifndef PLANTAINHEAD_CORE_JOBS_FLEET_LIST_H_
#define PLANTAINHEAD_CORE_JOBS_FLEET_LIST_H_

#include <vector>

#include "plantainhead/core/jobs/maintenance.h"

namespace plantainhead::core::jobs {

/// Returns the list with the hosts whose rows can't be read: they are there,
/// and neither moved nor serviced. If they were left out, they would seem to
/// have left the fleet, and a wave that names them would count as complete.
///
/// `unreadable` are the names in those rows; empty where that can't be read
/// either. Then any host of `previous`, the list before this one, may be meant.
/// Thread safety: safe from any thread.
std::vector<fleet_host> AddUnreadableHosts(
    std::vector<fleet_host> readable,
    const std::vector<host_id>& unreadable,
    const std::vector<fleet_host>& previous);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_FLEET_LIST_H_
