#include "plantainhead/core/jobs/host_order_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainhead::core::jobs {

const host_id& HostOf(const host_order& order) {
  return std::visit(
      [](const auto& kind) -> const host_id& { return kind.host; }, order);
}

void host_order_queue::Add(host_order order) {
  LaneOf(order).waiting.push_back(std::move(order));
}

std::vector<host_order> host_order_queue::Take(
    const host_predicate& may_order) {
  std::vector<host_order> taken;
  TakeFrom(&moves_, may_order, &taken);
  TakeFrom(&services_, may_order, &taken);
  return taken;
}

void host_order_queue::TakeFrom(lane* from,
                                const host_predicate& may_order,
                                std::vector<host_order>* taken) {
  std::vector<host_order> left;
  for (host_order& order : from->waiting) {
    if (from->in_flight < from->limit && may_order(HostOf(order))) {
      ++from->in_flight;
      taken->push_back(std::move(order));
    } else {
      left.push_back(std::move(order));
    }
  }
  from->waiting = std::move(left);
}

std::vector<host_order> host_order_queue::TakeStale(
    const order_predicate& is_stale) {
  std::vector<host_order> stale;
  for (lane* each : {&moves_, &services_}) {
    std::vector<host_order>& waiting = each->waiting;
    const auto first = std::stable_partition(
        waiting.begin(), waiting.end(),
        [&](const host_order& order) { return !is_stale(order); });
    std::move(first, waiting.end(), std::back_inserter(stale));
    waiting.erase(first, waiting.end());
  }
  return stale;
}

void host_order_queue::Requeue(const std::vector<host_order>& orders) {
  for (const host_order& order : orders) {
    NoteFinished(order);
    Add(order);
  }
}

}  // namespace plantainhead::core::jobs
