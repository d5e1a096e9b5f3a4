#ifndef PLANTAINHEAD_CORE_MEMBERSHIP_WATCH_RING_H_
#define PLANTAINHEAD_CORE_MEMBERSHIP_WATCH_RING_H_

#include <cstddef>
#include <map>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"

namespace plantainhead::core {

/// Ring that determines which members watch each other for failures. The
/// members of a view are placed such that neighbors are in different zones, and
/// each member is watched by the same number of its successors. Equal views
/// produce equal rings at every entry. If the number of watchers is at least
/// the number of other members, all members watch each other. Thread safety:
/// safe from any thread as long as no thread modifies the ring.
class watch_ring {
 public:
  using member_map = std::map<incarnation, entry_member>;

  watch_ring() = default;
  /// `watchers` is limited to the number of other members.
  watch_ring(const member_map& members, std::size_t watchers);

  /// Returns the members to which `who` sends its heartbeats, nearest first;
  /// empty if `who` is not on the ring.
  const std::vector<incarnation>& WatchersOf(incarnation who) const;

  /// Returns true if `watcher` receives the heartbeats of `watched`.
  bool Watches(incarnation watcher, incarnation watched) const;

 private:
  std::map<incarnation, std::vector<incarnation>> watchers_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_MEMBERSHIP_WATCH_RING_H_
