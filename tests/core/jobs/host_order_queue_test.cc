#include "plantainhead/core/jobs/host_order_queue.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace plantainhead::core::jobs {
namespace {

std::size_t CountMoves(const std::vector<host_order>& orders) {
  std::size_t moves = 0;
  for (const host_order& order : orders) {
    moves += std::holds_alternative<move_host>(order) ? 1 : 0;
  }
  return moves;
}

bool Always(const host_id& /*host*/) {
  return true;
}

// Guards against orders that are recorded without effect: hundreds of orders
// waited for a connection until they were too old to be sent, and were recorded
// and abandoned repeatedly.
TEST_CASE("The number of recorded but unanswered orders is limited") {
  host_order_queue queue({.max_moves = 10, .max_services = 4});
  for (int i = 0; i < 200; ++i) {
    queue.Add(service_host{7, "s" + std::to_string(i)});
  }
  for (int i = 0; i < 30; ++i) {
    queue.Add(move_host{"m" + std::to_string(i), "pool"});
  }
  const std::vector<host_order> first = queue.Take(Always);
  CHECK(first.size() == 14);
  CHECK(CountMoves(first) == 10);
  CHECK(queue.waiting() == 216);
  CHECK(queue.Take(Always).empty());

  SECTION("each finished order admits one order of its kind") {
    queue.NoteFinished(first.front());
    queue.NoteFinished(first.back());
    const std::vector<host_order> next = queue.Take(Always);
    CHECK(next.size() == 2);
    CHECK(CountMoves(next) == 1);
  }

  SECTION("requeued orders wait again") {
    queue.Requeue(first);
    CHECK(queue.waiting() == 230);
    CHECK(queue.Take(Always).size() == 14);
  }
}

// Guards against an order that waits and terminates tasks of a host that has
// restarted meanwhile.
TEST_CASE("Stale orders leave the queue without being sent") {
  host_order_queue queue({.max_moves = 1, .max_services = 1});
  queue.Add(service_host{7, "stale"});
  queue.Add(service_host{7, "ready"});
  queue.Add(move_host{"stale", "pool"});
  const auto stale = queue.TakeStale(
      [](const host_order& order) { return HostOf(order) == "stale"; });
  CHECK(stale.size() == 2);
  const auto taken = queue.Take(Always);
  REQUIRE(taken.size() == 1);
  CHECK(HostOf(taken.front()) == "ready");
  CHECK(queue.waiting() == 0);
}

TEST_CASE("An order for a blocked host does not block other orders") {
  host_order_queue queue({.max_moves = 1, .max_services = 1});
  queue.Add(move_host{"held", "pool"});
  queue.Add(move_host{"free", "pool"});
  const auto taken =
      queue.Take([](const host_id& host) { return host != "held"; });
  REQUIRE(taken.size() == 1);
  CHECK(HostOf(taken.front()) == "free");
  CHECK(queue.waiting() == 1);
}

}  // namespace
}  // namespace plantainhead::core::jobs
