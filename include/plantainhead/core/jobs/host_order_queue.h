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

/// Returns the host that the order is for.
/// Thread safety: safe from any thread.
const host_id& HostOf(const host_order& order);

/// How many orders may be recorded or sent and have no answer yet. Each is to
/// be sent soon after its record, so that no more are recorded than the
/// connections to the platform carry in that time.
struct order_queue_settings {
  std::size_t max_moves = 64;
  std::size_t max_services = 32;
};

/// Orders for hosts that wait to be recorded and sent. A wave orders hundreds
/// of services together, and pools wait for each move: neither kind waits for
/// the other. Pure and not thread-safe.
class host_order_queue {
 public:
  using host_predicate = std::function<bool(const host_id&)>;

  explicit host_order_queue(const order_queue_settings& settings)
      : moves_(settings.max_moves), services_(settings.max_services) {}

  void Add(host_order order);
  /// Returns the orders to record and send now, of those whose hosts may be
  /// ordered. They are under way until each is over or given back.
  std::vector<host_order> Take(const host_predicate& may_order);
  /// Takes orders back that weren't sent.
  void Requeue(const std::vector<host_order>& orders);
  /// Notes that the order was answered, or got no answer.
  /// Precondition: it is under way.
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
