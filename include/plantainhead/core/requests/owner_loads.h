#ifndef PLANTAINHEAD_CORE_REQUESTS_OWNER_LOADS_H_
#define PLANTAINHEAD_CORE_REQUESTS_OWNER_LOADS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/ids.h"
#include "plantainhead/core/random.h"
#include "plantainhead/core/requests/routing_context.h"

namespace plantainhead::core {

/// Tracks the load that owners report, and chooses an owner for each request.
/// Thread safety: none.
class owner_loads {
 public:
  /// Records the load that an owner reported with a heartbeat or a reply.
  void OnReport(incarnation owner, const std::vector<service_load>& load);

  /// Records that a request was forwarded to an owner. It counts as load until
  /// the owner's next report.
  void OnForwarded(incarnation owner, const service_name& service);

  /// Records that the connection to an owner was lost. The owner is not chosen
  /// until it reports again: until it is suspected, each request sent to it
  /// would be lost too, and one that is not idempotent would end with an
  /// unknown outcome.
  void OnDisconnected(incarnation owner);
  bool IsDisconnected(incarnation owner) const {
    return disconnected_.contains(owner);
  }

  /// Removes owners that are no longer members.
  void Prune(const fleet_state& fleet);

  /// Returns the owner for a request of a service: this entry itself if it has
  /// a free slot (`own_load`), otherwise the less loaded of two candidates that
  /// are drawn at random, weighted by their number of slots. On a tie the one
  /// in this entry's zone is chosen. Suspected and disconnected owners and
  /// those in `avoid` are excluded. Returns nothing if no owner is left.
  std::optional<incarnation> Choose(const service_routes& routes,
                                    const service_load& own_load,
                                    const routing_context& context,
                                    const std::vector<incarnation>& avoid,
                                    random_source& random) const;

  /// Returns the number of slots of a service that owners report as
  /// unavailable.
  std::uint32_t UnavailableSlots(const service_routes& routes) const;

  /// Returns true if an owner has a free slot, according to its last report and
  /// the requests forwarded to it since; true if its load is unknown.
  bool HasFreeSlot(const owner_share& share, const service_name& service) const;

 private:
  struct known_load {
    service_load reported;
    /// Requests that this entry forwarded since the last report.
    std::uint32_t forwarded = 0;
    bool is_reported = false;
  };
  using load_by_service = std::unordered_map<service_name, known_load>;

  const known_load* Find(incarnation owner, const service_name& service) const;
  bool IsUsable(const owner_share& share,
                const service_load& own_load,
                const routing_context& context,
                const std::vector<incarnation>& avoid) const;
  /// Returns a random share, weighted by slots; null if there are none.
  static const owner_share* PickWeighted(
      const std::vector<const owner_share*>& shares,
      random_source& random);
  /// Returns the number of waiting requests per slot, counting one more
  /// request; 0 if a slot is free.
  static double ScoreOf(const service_load& load, std::uint32_t forwarded);
  double WaitScore(const owner_share& share, const service_name& service) const;

  std::unordered_map<incarnation, load_by_service> loads_;
  std::set<incarnation> disconnected_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_OWNER_LOADS_H_
