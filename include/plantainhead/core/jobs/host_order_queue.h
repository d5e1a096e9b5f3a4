#ifndef PLANTAINHEAD_CORE_JOBS_HOST_ORDER_QUEUE_H_
#define PLANTAINHEAD_CORE_JOBS_HOST_ORDER_QUEUE_H_

#include <cstddef>
#include <functional>
#include <variant>
#include <vector>

#include "plantainhead/core/jobs/fleet_balancer.h"
#include "plantainhead/core/jobs/maintenance.h"
#include "plantainhead/core/jobs/maintenance_scheduler.h"

namespace plantainhead::core::jobs {

using host_order = std::variant<move_host, service_host>;

/// Returns the host that the order refers to. Thread safety: safe from any
/// thread.
const host_id& HostOf(const host_order& order);

/// Limits on the orders that are recorded or sent and have not been answered.
/// An order must be sent soon after it is recorded, so no more are recorded
/// than the connections to the platform can carry in that time.
struct order_queue_settings {
  std::size_t max_moves = 64;
  std::size_t max_services = 32;
};

/// Queue of orders for hosts that wait to be recorded and sent. A wave orders
/// hundreds of services at once while pools wait for each move, so moves and
/// services have separate lanes and do not block each other. Pure and not
/// thread-safe.
class host_order_queue {
 public:
  using host_predicate = std::function<bool(const host_id&)>;
  using order_predicate = std::function<bool(const host_order&)>;

  explicit host_order_queue(const order_queue_settings& settings)
      : moves_(settings.max_moves), services_(settings.max_services) {}

  void Add(host_order order);
  /// Returns the orders to record and send now, restricted to hosts for which
  /// `may_order` is true. They are in flight until `NoteFinished` or `Requeue`
  /// is called for them.
  std::vector<host_order> Take(const host_predicate& may_order);
  /// Removes the waiting orders for which `is_stale` is true and returns them.
  std::vector<host_order> TakeStale(const order_predicate& is_stale);
  /// Puts orders that were not sent back into the queue.
  void Requeue(const std::vector<host_order>& orders);
  /// Notes that the order was answered, or failed without an answer.
  /// Precondition: it is in flight.
  void NoteFinished(const host_order& order) { --LaneOf(order).in_flight; }

  std::size_t waiting() const {
    return moves_.waiting.size() + services_.waiting.size();
  }

 private:
  struct lane {
    explicit lane(std::size_t max_in_flight) : limit(max_in_flight) {}
    std::size_t limit;
    std::size_t in_flight = 0;
    std::vector<host_order> waiting;
  };

  static void TakeFrom(lane* from,
                       const host_predicate& may_order,
                       std::vector<host_order>* taken);
  lane& LaneOf(const host_order& order) {
    return std::holds_alternative<move_host>(order) ? moves_ : services_;
  }

  lane moves_;
  lane services_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_HOST_ORDER_QUEUE_H_
