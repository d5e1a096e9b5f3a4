#include "plantainhead/core/jobs/host_order_tracker.h"

#include <catch2/catch.hpp>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;

// All processes of a site restart at once during a queue's burst, and the owner
// of the fleet is the same as before. The hosts that it ordered just before are
// those that the burst needs. If they were blocked like the hosts of another
// holder, the pool would have only its few idle-time VMs for 3.3 s, and jobs
// would be late.
TEST_CASE("A restarted owner of the fleet continues with its hosts") {
  host_order_tracker tracker({}, "p1");
  time_point now{std::chrono::hours(1)};
  tracker.Inherit({{"own", "p1"}, {"other", "p2"}, {"unknown", ""}}, now);

  SECTION("initially no ordered host may be ordered again") {
    CHECK(tracker.BlockedHosts(now) ==
          std::set<host_id>{"other", "own", "unknown"});
    CHECK(tracker.MayOrder("untouched", now));
  }

  SECTION("its own earlier orders have arrived after a short time") {
    now += milliseconds(300);
    CHECK(tracker.MayOrder("own", now));
    CHECK(tracker.BlockedHosts(now) == std::set<host_id>{"other", "unknown"});
  }

  // The earlier owner may still be running, disconnected only from this
  // process. Two owners that order one host within the lease would undo each
  // other's moves.
  SECTION("hosts of other holders stay blocked for the lease") {
    now += milliseconds(3299);
    CHECK_FALSE(tracker.MayOrder("other", now));
    CHECK_FALSE(tracker.MayOrder("unknown", now));
    now += milliseconds(1);
    CHECK(tracker.BlockedHosts(now).empty());
  }
}

// Guards against two holders that order one host within the lease, when the
// earlier one sent its order long after recording it.
TEST_CASE("Hosts of other holders stay blocked while orders may be late") {
  host_order_tracker tracker({.max_send_delay = milliseconds(700)}, "p1");
  time_point now{std::chrono::hours(1)};
  tracker.Inherit({{"own", "p1"}, {"other", "p2"}}, now);
  now += milliseconds(300);
  CHECK(tracker.MayOrder("own", now));
  now += milliseconds(3699);
  CHECK_FALSE(tracker.MayOrder("other", now));
  CHECK(tracker.TakeExpired(now).empty());
  now += milliseconds(1);
  CHECK(tracker.MayOrder("other", now));
}

// If a record were deleted too early, a new owner could order the host within
// the lease; if it were kept too long, each new owner would block the host.
TEST_CASE("The record of an order is kept while it excludes others") {
  host_order_tracker tracker({}, "p1");
  time_point now{std::chrono::hours(1)};
  tracker.Inherit({{"inherited", "p2"}}, now);
  now += milliseconds(1000);
  tracker.NoteOrder("ordered", now);

  now += milliseconds(2300);
  CHECK(tracker.TakeExpired(now).empty());
  now += milliseconds(1);
  CHECK(tracker.TakeExpired(now) == std::vector<host_id>{"inherited"});
  CHECK(tracker.TakeExpired(now).empty());

  SECTION("a repeated order renews the record") {
    tracker.NoteOrder("ordered", now);
    now += milliseconds(3300);
    CHECK(tracker.TakeExpired(now).empty());
  }

  SECTION("the record expires after that") {
    now += milliseconds(1000);
    CHECK(tracker.TakeExpired(now) == std::vector<host_id>{"ordered"});
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
