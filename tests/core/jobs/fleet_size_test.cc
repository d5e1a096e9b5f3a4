#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/jobs/fleet_balancer.h"
#include "plantainhead/core/jobs/pool_sizer.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

pool_load Load(std::int64_t used, std::int64_t waiting) {
  pool_load load;
  load.used.cpu_millis = used;
  load.waiting.cpu_millis = waiting;
  load.usable_vms = 4;
  load.vm_capacity = {10000, 10000, 0};
  return load;
}

TEST_CASE("A pool wants VMs for running and waiting tasks") {
  sizer_settings settings;
  settings.fill_ratio = 1.0;
  settings.reserve = 1;
  pool_sizer sizer(settings);
  time_point now{std::chrono::hours(1)};
  CHECK(sizer.Update(Load(20000, 0), false, now) == 3);
  CHECK(sizer.Update(Load(20000, 15000), false, now) == 5);

  SECTION("the scarcest resource determines the size") {
    pool_load load = Load(0, 0);
    load.waiting.memory_mb = 60000;
    CHECK(sizer.Update(load, false, now) == 7);
  }

  SECTION("tasks that must run on different VMs need as many VMs") {
    pool_load load = Load(1000, 0);
    load.spread = 8;
    CHECK(sizer.Update(load, false, now) == 9);
  }

  SECTION("it holds its peak demand for some time") {
    now += seconds(2);
    CHECK(sizer.Update(Load(1000, 0), false, now) == 5);
    now += seconds(1);
    CHECK(sizer.Update(Load(1000, 0), false, now) == 2);
  }

  // During another queue's burst, VMs that this pool keeps in reserve are
  // missing in the other pool.
  SECTION("it releases VMs sooner while another pool lacks VMs") {
    now += seconds(1);
    CHECK(sizer.Update(Load(1000, 0), true, now) == 2);
  }
}

// Guards against a pool that requests fewer VMs while those for a detected rise
// are still being moved to it.
TEST_CASE("A rise is held until its VMs can have arrived") {
  sizer_settings settings;
  settings.fill_ratio = 1.0;
  settings.reserve = 1;
  pool_sizer sizer(settings);
  time_point now{std::chrono::hours(1)};
  pool_load load = Load(1000, 2000);
  load.rising.cpu_millis = 60000;
  load.rising_jobs = settings.min_held_rise_jobs;
  CHECK(sizer.Update(load, true, now) == 7);
  now += seconds(2);
  CHECK(sizer.Update(Load(1000, 2000), true, now) == 7);

  SECTION("but not longer") {
    now += seconds(1);
    CHECK(sizer.Update(Load(1000, 2000), true, now) == 2);
  }

  SECTION("also if a smaller rise follows") {
    load.rising.cpu_millis = 20000;
    CHECK(sizer.Update(load, true, now) == 7);
    now += seconds(1);
    CHECK(sizer.Update(Load(1000, 2000), true, now) == 3);
  }

  SECTION("a larger demand of waiting tasks takes precedence") {
    CHECK(sizer.Update(Load(1000, 90000), true, now) == 11);
  }
}

// Guards against a small pool that holds on to a random rise and takes VMs from
// other pools.
TEST_CASE("A rise computed from few jobs is not held") {
  pool_sizer sizer{sizer_settings()};
  const time_point now{std::chrono::hours(1)};
  pool_load load = Load(1000, 2000);
  load.rising.cpu_millis = 60000;
  load.rising_jobs = sizer_settings().min_held_rise_jobs - 1;
  const std::uint32_t risen = sizer.Update(load, true, now);
  CHECK(sizer.Update(Load(1000, 2000), true, now + seconds(2)) < risen);
}

// All processes restart during a queue's burst. Pools whose burst is over hold
// the hosts that this queue lacks, and their new owners have not observed any
// load yet. They must neither shrink based on a load that they have not
// observed nor keep the hosts for the rest of the burst.
TEST_CASE("A new owner observes its pool before shrinking it") {
  pool_sizer sizer{sizer_settings()};
  time_point now{std::chrono::hours(1)};
  CHECK_FALSE(sizer.MayShrink(true, now));
  sizer.Update(Load(20000, 0), true, now);
  CHECK_FALSE(sizer.MayShrink(true, now + milliseconds(400)));

  SECTION("for a short time while another pool lacks VMs") {
    CHECK(sizer.MayShrink(true, now + milliseconds(401)));
  }

  SECTION("otherwise for the full demand window") {
    CHECK_FALSE(sizer.MayShrink(false, now + milliseconds(2500)));
    CHECK(sizer.MayShrink(false, now + milliseconds(2501)));
  }
}

fleet_host Host(const host_id& name, const pool_id& pool, const vm_id& vm) {
  fleet_host host;
  host.host = name;
  host.pool = pool;
  host.vm = vm;
  host.state = host_state::kUp;
  return host;
}

TEST_CASE("Hosts move to the pool with the largest deficit") {
  fleet_balancer balancer{balancer_settings()};
  time_point now{std::chrono::hours(1)};
  std::vector<fleet_host> hosts = {
      Host("s1", "spare", ""), Host("s2", "spare", ""), Host("s3", "spare", ""),
      Host("a1", "a", "vm-a1"), Host("b1", "b", "vm-b1")};
  balancer.UpdateHosts(hosts, {"spare"}, now);
  balancer.UpdateWanted({{"a", 2}, {"b", 3}});

  SECTION("one VM at a time, and no more than are wanted") {
    const auto moves = balancer.Plan({}, now);
    REQUIRE(moves.size() == 3);
    CHECK(moves[0].pool == "b");
    CHECK(balancer.Plan({}, now).empty());

    SECTION("an order that may not have arrived is sent again") {
      balancer.OnMoveAnswer(moves[0].host, move_result::kUnknown, now);
      CHECK(balancer.Plan({}, now).empty());
      now += seconds(2);
      const auto again = balancer.Plan({}, now);
      REQUIRE(again.size() == 1);
      CHECK(again[0].host == moves[0].host);
    }

    SECTION("a refused move frees the host for another one") {
      balancer.OnMoveAnswer(moves[0].host, move_result::kRefused, now);
      CHECK(balancer.Plan({}, now).size() == 1);
    }

    SECTION("a list from before the move does not revert it") {
      balancer.OnMoveAnswer(moves[0].host, move_result::kAccepted, now);
      balancer.UpdateHosts(hosts, {"spare"}, now - milliseconds(10));
      CHECK(balancer.Plan({}, now).empty());
    }
  }

  SECTION("hosts in service are not moved") {
    CHECK(balancer.Plan({"s1", "s2"}, now).size() == 1);
  }

  SECTION("a VM that is closed for service is replaced in its pool") {
    balancer.UpdateWanted({{"a", 1}});
    CHECK(balancer.Plan({}, now).empty());
    balancer.UpdateClosed({"vm-a1"});
    CHECK(balancer.Plan({}, now).size() == 1);
  }

  // A VM announces that it will leave, and leaves many seconds later. The fleet
  // list shows it as up until then. If it were counted as in use by its pool,
  // its replacement would arrive only after it is gone, and the tasks that were
  // moved off it would wait until then.
  SECTION("a VM that is leaving is replaced in its pool") {
    balancer.UpdateWanted({{"a", 1}});
    CHECK(balancer.Plan({}, now).empty());
    balancer.UpdateLeaving({"vm-a1"});
    CHECK(balancer.Plan({}, now).size() == 1);

    SECTION("and is not moved even if it was released") {
      balancer.UpdateHosts({Host("a1", "a", "vm-a1")}, {"spare"}, now);
      balancer.UpdateOffers({"vm-a1"});
      balancer.UpdateWanted({{"b", 1}});
      CHECK(balancer.Plan({}, now).empty());
    }
  }

  SECTION("a released VM moves to a pool that wants it, else to spare") {
    balancer.UpdateHosts({Host("a1", "a", "vm-a1"), Host("b1", "b", "vm-b1")},
                         {"spare"}, now);
    balancer.UpdateOffers({"vm-a1"});
    balancer.UpdateWanted({{"b", 2}});
    auto moves = balancer.Plan({}, now);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].pool == "b");

    fleet_balancer idle{balancer_settings()};
    idle.UpdateHosts({Host("a1", "a", "vm-a1")}, {"spare"}, now);
    idle.UpdateOffers({"vm-a1"});
    CHECK(idle.Plan({}, now).empty());
    CHECK(idle.Plan({}, now + milliseconds(699)).empty());
    moves = idle.Plan({}, now + milliseconds(700));
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].pool == "spare");
  }

  // A pool releases a VM, and its demand rises before the VM is moved. An order
  // to move the VM to the pool that it is in has no effect, and the VM, which
  // its pool never uses again, would stay idle permanently.
  SECTION("a VM that its own pool wants again moves to spare first") {
    const std::vector<fleet_host> present = {Host("a1", "a", "vm-a1"),
                                             Host("s1", "spare", "")};
    balancer.UpdateHosts(present, {"spare"}, now);
    balancer.UpdateOffers({"vm-a1"});
    balancer.UpdateWanted({{"a", 2}});
    const auto moves = balancer.Plan({}, now);
    REQUIRE(moves.size() == 2);
    CHECK(moves[0].host == "s1");
    CHECK(moves[0].pool == "a");
    CHECK(moves[1].host == "a1");
    CHECK(moves[1].pool == "spare");
  }
}

// One queue's burst ends as the next one's begins. The first pool releases a VM
// every 0.2 s, and the next pool requests them 0.5 s after the first release.
// If the hosts went to the spare pool, they would be unavailable for the time
// of a move (1.5 s) and would need two moves instead of one, and callers of the
// second queue would wait longer.
TEST_CASE("Hosts move directly from one queue's burst to the next one's") {
  fleet_balancer balancer{balancer_settings()};
  const time_point begin{std::chrono::hours(1)};
  std::vector<fleet_host> hosts;
  for (int i = 0; i < 8; ++i) {
    const std::string number = std::to_string(i);
    hosts.push_back(Host("h" + number, "first", "vm-" + number));
  }
  balancer.UpdateHosts(hosts, {"spare"}, begin);
  balancer.UpdateWanted({{"first", 8}, {"second", 0}});

  std::set<vm_id> offered;
  std::map<pool_id, int> moves;
  for (int step = 0; step < 20; ++step) {
    const time_point now = begin + step * milliseconds(100);
    if (step % 2 == 0 && step / 2 < 8) {
      offered.insert("vm-" + std::to_string(step / 2));
      balancer.UpdateOffers(offered);
      balancer.UpdateWanted({{"first", 0}, {"second", step < 5 ? 0U : 8U}});
    }
    for (const move_host& move : balancer.Plan({}, now)) {
      ++moves[move.pool];
      balancer.OnMoveAnswer(move.host, move_result::kAccepted, now);
    }
  }
  CHECK(moves == std::map<pool_id, int>{{"second", 8}});
}

// Guards against hosts that move to the spare pool while a pool's demand rises,
// and need a second move from there.
TEST_CASE("Released hosts stay in place while a pool lacks VMs") {
  fleet_balancer balancer{balancer_settings()};
  const time_point begin{std::chrono::hours(1)};
  balancer.UpdateHosts({Host("h1", "first", "vm-1")}, {"spare"}, begin);
  balancer.UpdateOffers({"vm-1"});
  balancer.UpdateShortage(true);
  CHECK(balancer.Plan({}, begin).empty());
  CHECK(balancer.Plan({}, begin + milliseconds(2000)).empty());

  SECTION("and move to it when it wants more") {
    balancer.UpdateWanted({{"second", 1}});
    const auto moves = balancer.Plan({}, begin + milliseconds(2100));
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].pool == "second");
  }

  SECTION("but not indefinitely") {
    const auto moves = balancer.Plan({}, begin + milliseconds(2500));
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].pool == "spare");
  }

  SECTION("and not once no pool lacks VMs") {
    balancer.UpdateShortage(false);
    CHECK(balancer.Plan({}, begin + milliseconds(2100)).size() == 1);
  }
}

// Guards against a host that is promised to two pools: the answer to its move
// is lost, and the refusal of the repeated order is taken to mean that it has
// not moved.
TEST_CASE("A refused move does not tell what an unanswered move has done") {
  fleet_balancer balancer{balancer_settings()};
  time_point now{std::chrono::hours(1)};
  balancer.UpdateHosts({Host("s1", "spare", "")}, {"spare"}, now);
  balancer.UpdateWanted({{"a", 1}});
  REQUIRE(balancer.Plan({}, now).size() == 1);
  balancer.OnMoveAnswer("s1", move_result::kUnknown, now);
  now += seconds(1);
  REQUIRE(balancer.Plan({}, now).size() == 1);
  balancer.OnMoveAnswer("s1", move_result::kRefused, now);
  balancer.UpdateWanted({{"a", 1}, {"b", 1}});
  CHECK(balancer.Plan({}, now).empty());

  SECTION("it is repeated while a list shows the host as it was") {
    now += seconds(1);
    balancer.UpdateHosts({Host("s1", "spare", "")}, {"spare"}, now);
    const auto moves = balancer.Plan({}, now);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].pool == "a");
  }

  SECTION("it is over once a list shows the host in its new pool") {
    now += seconds(1);
    balancer.UpdateHosts({Host("s1", "a", "vm-s1")}, {"spare"}, now);
    CHECK(balancer.Plan({}, now).empty());
    CHECK(balancer.Stats({}).ordered == 0);
  }

  SECTION("a host that cannot move is free again") {
    balancer.OnMoveAnswer("s1", move_result::kImpossible, now);
    CHECK(balancer.Plan({}, now).size() == 1);
  }
}

// Guards against tasks that are terminated: a move is not carried out, the host
// restarts by itself, and the order is repeated although the next incarnation
// runs tasks.
TEST_CASE("A move is not repeated for another incarnation of its host") {
  fleet_balancer balancer{balancer_settings()};
  time_point now{std::chrono::hours(1)};
  balancer.UpdateHosts({Host("h1", "a", "vm-1")}, {"spare"}, now);
  balancer.UpdateOffers({"vm-1"});
  balancer.UpdateWanted({{"b", 1}});
  REQUIRE(balancer.Plan({}, now).size() == 1);

  SECTION("after it was not answered") {
    balancer.OnMoveAnswer("h1", move_result::kUnknown, now);
    now += seconds(1);
    CHECK(balancer.MayMove({"h1", "b"}));
    balancer.UpdateHosts({Host("h1", "a", "vm-2")}, {"spare"}, now);
    now += seconds(1);
    CHECK(balancer.Plan({}, now).empty());
    CHECK(balancer.Stats({}).ordered == 0);
  }

  SECTION("nor sent, if it still waits") {
    now += seconds(1);
    balancer.UpdateHosts({Host("h1", "a", "vm-2")}, {"spare"}, now);
    CHECK_FALSE(balancer.MayMove({"h1", "b"}));
  }
}

/// Returns how many hosts are visited when one pool releases a VM and another
/// pool receives it, in a fleet with `count` more hosts in each pool.
std::uint64_t CountVisitedHosts(int count) {
  fleet_balancer balancer{balancer_settings()};
  const time_point now{std::chrono::hours(1)};
  std::vector<fleet_host> hosts = {Host("given", "first", "vm-given")};
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    hosts.push_back(Host("a" + number, "first", "vm-a" + number));
    hosts.push_back(Host("b" + number, "second", "vm-b" + number));
  }
  balancer.UpdateHosts(hosts, {"spare"}, now);
  balancer.UpdateWanted(
      {{"first", 0}, {"second", static_cast<std::uint32_t>(count) + 1}});
  CHECK(balancer.Plan({}, now).empty());
  const std::uint64_t before = balancer.visited_hosts();
  balancer.NoteOffer("vm-given", true);
  const auto moves = balancer.Plan({}, now);
  REQUIRE(moves.size() == 1);
  balancer.OnMoveAnswer(moves[0].host, move_result::kAccepted, now);
  CHECK(balancer.Stats({}).moving == 1);
  return balancer.visited_hosts() - before;
}

// Guards against an owner of the fleet that visits all hosts for each host that
// moves, and becomes overloaded when many hosts move.
TEST_CASE("A move does not visit all hosts of the fleet") {
  const std::uint64_t in_small_fleet = CountVisitedHosts(25);
  CHECK(in_small_fleet > 0);
  CHECK(CountVisitedHosts(550) <= in_small_fleet);
}

// Guards against a host that is still counted for its former pool, or as free,
// after a change that concerns this host only.
TEST_CASE("Single changes have the same effect as full lists") {
  const time_point now{std::chrono::hours(1)};
  const std::vector<fleet_host> hosts = {
      Host("a1", "a", "vm-a1"), Host("a2", "a", "vm-a2"),
      Host("b1", "b", "vm-b1"), Host("s1", "spare", "")};
  fleet_balancer by_one{balancer_settings()};
  by_one.UpdateHosts(hosts, {"spare"}, now);
  by_one.NoteWanted("a", 2);
  by_one.NoteWanted("b", 2);
  by_one.NoteOffer("vm-a1", true);
  by_one.NoteClosed("vm-a2", true);
  fleet_balancer by_list{balancer_settings()};
  by_list.UpdateHosts(hosts, {"spare"}, now);
  by_list.UpdateWanted({{"a", 2}, {"b", 2}});
  by_list.UpdateOffers({"vm-a1"});
  by_list.UpdateClosed({"vm-a2"});
  CHECK(by_one.Stats({}) == by_list.Stats({}));
  CHECK(by_one.Stats({}).free == 2);

  SECTION("also when they are revoked") {
    by_one.NoteOffer("vm-a1", false);
    by_one.NoteClosed("vm-a2", false);
    by_list.UpdateOffers({});
    by_list.UpdateClosed({});
    CHECK(by_one.Stats({}) == by_list.Stats({}));
    CHECK(by_one.Stats({}).missing == 1);
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
