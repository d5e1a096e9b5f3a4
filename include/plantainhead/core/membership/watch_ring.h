#ifndef PLANTAINHEAD_CORE_MEMBERSHIP_WATCH_RING_H_
#define PLANTAINHEAD_CORE_MEMBERSHIP_WATCH_RING_H_

#include <cstddef>
#include <map>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/fleet_state.h"

namespace plantainhead::core {

/// Who watches whom. The members of a view stand on a ring on which neighbours
/// are of different zones, and each is watched by the same number of those
/// after it. Equal views make equal rings at every entry. With as many watchers
/// as there are others, all watch all.
/// Thread safety: safe from any thread while nobody writes.
class watch_ring {
 public:
  using member_map = std::map<incarnation, entry_member>;

  watch_ring() = default;
  /// `watchers` is cut to the number of other members.
  watch_ring(const member_map& members, std::size_t watchers);

  /// Returns the members that `who` sends its heartbeats to, nearest first;
  /// empty for one that isn't on the ring.
  const std::vector<incarnation>& WatchersOf(incarnation who) const;

  /// Returns true if `watcher` is to hear `watched`.
  bool Watches(incarnation watcher, incarnation watched) const;

 private:
  std::map<incarnation, std::vector<incarnation>> watchers_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_MEMBERSHIP_WATCH_RING_H_
