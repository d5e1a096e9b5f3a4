#include "plantainhead/core/jobs/fleet_list.h"

#include <algorithm>
#include <set>

namespace plantainhead::core::jobs {
namespace {

// A host that is down is neither moved nor serviced.
fleet_host Unusable(const host_id& name) {
  fleet_host host;
  host.host = name;
  host.state = host_state::kDown;
  host.is_readable = false;
  return host;
}

}  // namespace

std::vector<fleet_host> AddUnreadableHosts(
    std::vector<fleet_host> readable,
    const std::vector<host_id>& unreadable,
    const std::vector<fleet_host>& previous) {
  std::set<host_id> listed;
  for (const fleet_host& host : readable) {
    listed.insert(host.host);
  }
  const auto keep = [&readable, &listed](const host_id& name) {
    if (!name.empty() && listed.insert(name).second) {
      readable.push_back(Unusable(name));
    }
  };
  for (const host_id& name : unreadable) {
    keep(name);
  }
  const bool has_unnamed_row =
      std::find(unreadable.begin(), unreadable.end(), "") != unreadable.end();
  if (has_unnamed_row) {
    for (const fleet_host& host : previous) {
      keep(host.host);
    }
  }
  return readable;
}

}  // namespace plantainhead::core::jobs
