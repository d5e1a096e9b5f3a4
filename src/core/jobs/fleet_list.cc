#include "plantainhead/core/jobs/fleet_list.h"

#include <algorithm>
#include <set>

namespace plantainhead::core::jobs {
namespace {

// In this state a host is neither moved nor serviced.
fleet_host Unusable(const host_id& name) {
  fleet_host host;
  host.host = name;
  host.state = host_state::kDown;
  return host;
}

}  // namespace

std::vector<fleet_host> KeepFaultyHosts(std::vector<fleet_host> readable,
                                        const std::vector<host_id>& faulty,
                                        const std::vector<fleet_host>& before) {
  std::set<host_id> listed;
  for (const fleet_host& host : readable) {
    listed.insert(host.host);
  }
  const auto keep = [&readable, &listed](const host_id& name) {
    if (!name.empty() && listed.insert(name).second) {
      readable.push_back(Unusable(name));
    }
  };
  for (const host_id& name : faulty) {
    keep(name);
  }
  const bool is_one_nameless =
      std::find(faulty.begin(), faulty.end(), "") != faulty.end();
  if (is_one_nameless) {
    for (const fleet_host& host : before) {
      keep(host.host);
    }
  }
  return readable;
}

}  // namespace plantainhead::core::jobs
