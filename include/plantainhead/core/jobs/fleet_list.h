#ifndef PLANTAINHEAD_CORE_JOBS_FLEET_LIST_H_
#define PLANTAINHEAD_CORE_JOBS_FLEET_LIST_H_

#include <vector>

#include "plantainhead/core/jobs/maintenance.h"

namespace plantainhead::core::jobs {

/// Returns `readable` extended by the hosts whose rows in the fleet list could
/// not be read. They are listed as down, so that they are neither moved nor
/// serviced. If they were omitted, they would appear to have left the fleet,
/// and a wave that includes them would count as complete.
///
/// `unreadable` holds the host names of those rows; a name is empty if it
/// cannot be read either. Such a row may stand for any host of `previous`, the
/// preceding list. Thread safety: safe from any thread.
std::vector<fleet_host> AddUnreadableHosts(
    std::vector<fleet_host> readable,
    const std::vector<host_id>& unreadable,
    const std::vector<fleet_host>& previous);

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_FLEET_LIST_H_
