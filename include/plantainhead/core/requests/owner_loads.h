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

/// What this entry knows of how full the owners are, and the choice of one for
/// a request.
/// Thread safety: none.
class owner_loads {
 public:
  /// Takes in what an owner told with a heartbeat or a reply.
  void OnReport(incarnation owner, const std::vector<service_load>& load);

  /// A request was forwarded to an owner; counts until its next report.
  void OnForwarded(incarnation owner, const service_name& service);

  /// The connection to an owner was lost: it isn't chosen until it reports
  /// again. Otherwise each request sent to it would be lost too, and one that
  /// isn't idempotent would end as unknown, until the owner is suspected.
  void OnDisconnected(incarnation owner);
  bool IsDisconnected(incarnation owner) const {
    return disconnected_.contains(owner);
  }

  /// Forgets all who are no members any more.
  void Prune(const fleet_state& fleet);

  /// Returns the owner for a request of a service: this entry itself if it has
  /// a free slot (`own_load`), else the less full of two drawn at random,
  /// each by its number of slots; when they tie, the one in this entry's zone.
  /// Suspects, lost ones and those in `avoid` are passed over. Returns nothing
  /// if nobody is left.
  std::optional<incarnation> Choose(const service_routes& routes,
                                    const service_load& own_load,
                                    const routing_context& context,
                                    const std::vector<incarnation>& avoid,
                                    random_source& random) const;

  /// Returns the slots of a service that owners report to be out of use.
  std::uint32_t UnavailableSlots(const service_routes& routes) const;

  /// Returns true if an owner is known or believed to have a free slot.
  bool HasFreeSlot(const owner_share& share, const service_name& service) const;

 private:
  struct known_load {
    service_load reported;
    /// Forwarded by this entry since the report.
    std::uint32_t forwarded = 0;
    bool is_reported = false;
  };
  using load_by_service = std::unordered_map<service_name, known_load>;

  const known_load* Find(incarnation owner, const service_name& service) const;
  bool IsUsable(const owner_share& share,
                const service_load& own_load,
                const routing_context& context,
                const std::vector<incarnation>& avoid) const;
  /// Returns one at random, each by its slots; null if there are none.
  static const owner_share* PickWeighted(
      const std::vector<const owner_share*>& shares,
      random_source& random);
  /// Returns how many requests would wait for each slot, 0 when one is free.
  static double ScoreOf(const service_load& load, std::uint32_t forwarded);
  double WaitScore(const owner_share& share, const service_name& service) const;

  std::unordered_map<incarnation, load_by_service> loads_;
  std::set<incarnation> disconnected_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_REQUESTS_OWNER_LOADS_H_
