#include "plantainhead/core/jobs/host_order_tracker.h"

#include <catch2/catch.hpp>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;

// All processes of a site are started again at once, in a queue's turn. The
// owner of the fleet is the same as before. What it ordered a moment ago are
// the very hosts that the turn needs; were they left alone as those of a
// stranger, the pool would run on the VMs of the calm for 3.3 s, and callers'
// jobs would be late.
TEST_CASE("An owner of the fleet that comes back goes on with its hosts") {
  host_order_tracker tracker({}, "p1");
  time_point now{std::chrono::hours(1)};
  tracker.Inherit({{"own", "p1"}, {"other", "p2"}, {"unknown", ""}}, now);

  SECTION("at first none that was ordered may be ordered again") {
    CHECK(tracker.BlockedHosts(now) ==
          std::set<host_id>{"other", "own", "unknown"});
    CHECK(tracker.MayOrder("untouched", now));
  }

  SECTION("an order of its earlier life has arrived after a moment") {
    now += milliseconds(300);
    CHECK(tracker.MayOrder("own", now));
    CHECK(tracker.BlockedHosts(now) == std::set<host_id>{"other", "unknown"});
  }

  // The earlier owner may be at work yet, cut off from this process alone. Two
  // that order one host within the lease undo each other's moves.
  SECTION("hosts of others stay closed for their lease") {
    now += milliseconds(3299);
    CHECK_FALSE(tracker.MayOrder("other", now));
    CHECK_FALSE(tracker.MayOrder("unknown", now));
    now += milliseconds(1);
    CHECK(tracker.BlockedHosts(now).empty());
  }
}

// Guards against two holders that order one host within the lease: the earlier
// one sent its order long after the record of it.
TEST_CASE("Hosts of others stay closed for as long as orders may be late") {
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

// A record that was dropped too early would let a new owner order the host
// within the lease; one that stays closes the host for each new owner.
TEST_CASE("The record of an order lasts as long as it keeps others out") {
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

  SECTION("an order that is repeated renews it") {
    tracker.NoteOrder("ordered", now);
    now += milliseconds(3300);
    CHECK(tracker.TakeExpired(now).empty());
  }

  SECTION("and then it goes") {
    now += milliseconds(1000);
    CHECK(tracker.TakeExpired(now) == std::vector<host_id>{"ordered"});
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
