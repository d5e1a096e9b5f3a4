#include "plantainhead/core/jobs/maintenance_scheduler.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

fleet_host Host(const std::string& name, const pool_id& pool, const vm_id& vm) {
  fleet_host host;
  host.host = name;
  host.pool = pool;
  host.state = host_state::kUp;
  host.vm = vm;
  return host;
}

maintenance_wave Wave(std::vector<host_id> hosts, std::uint32_t at_once) {
  maintenance_wave wave;
  wave.number = 7;
  wave.hosts = std::move(hosts);
  wave.max_concurrent = at_once;
  return wave;
}

template <typename T>
std::vector<T> Of(const std::vector<wave_action>& actions) {
  std::vector<T> found;
  for (const wave_action& action : actions) {
    if (const T* kind = std::get_if<T>(&action)) {
      found.push_back(*kind);
    }
  }
  return found;
}

TEST_CASE("A wave drains a host, services it and completes") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1", "h2", "h3"}, 1));
  CHECK(scheduler.Plan(now).empty());
  std::vector<fleet_host> hosts = {Host("h1", "p", "a1"), Host("h2", "p", "a2"),
                                   Host("h3", "q", "a3")};
  scheduler.UpdateHosts(hosts, {}, now);
  const auto closed = Of<close_vm>(scheduler.Plan(now));
  REQUIRE(closed.size() == 2);
  CHECK(closed[0].vm == "a1");
  CHECK(closed[1].vm == "a3");

  SECTION("a host that still runs tasks is not serviced") {
    now += seconds(5);
    scheduler.UpdateHosts(hosts, {}, now);
    CHECK(Of<service_host>(scheduler.Plan(now)).empty());
  }

  scheduler.UpdateEmpty({"a1", "a3"});
  const auto ordered = Of<service_host>(scheduler.Plan(now));
  REQUIRE(ordered.size() == 1);
  CHECK(ordered[0].host == "h1");

  SECTION(
      "a host with an unanswered order counts as down and is ordered again") {
    scheduler.OnServiceAnswer(7, "h1", service_result::kUnknown, now);
    CHECK(Of<service_host>(scheduler.Plan(now)).empty());
    now += seconds(2);
    const auto again = Of<service_host>(scheduler.Plan(now));
    REQUIRE(again.size() == 1);
    CHECK(again[0].host == "h1");
  }

  // Guards against a wave that never continues because a VM returns under the
  // same id.
  SECTION("a host returns also if its VM has the same id as before") {
    scheduler.OnServiceAnswer(7, "h1", service_result::kAccepted, now);
    now += milliseconds(100);
    hosts[0].state = host_state::kInService;
    scheduler.UpdateHosts(hosts, {}, now);
    CHECK(Of<service_host>(scheduler.Plan(now)).empty());
    now += seconds(2);
    hosts[0].state = host_state::kUp;
    scheduler.UpdateHosts(hosts, {}, now);
    const auto actions = scheduler.Plan(now);
    CHECK(Of<release_vm>(actions).size() == 1);
    CHECK(Of<service_host>(actions).size() == 1);
  }

  SECTION("the next host goes down when the first is up again") {
    scheduler.OnServiceAnswer(7, "h1", service_result::kAccepted, now);
    now += milliseconds(100);
    scheduler.UpdateHosts(hosts, {}, now);
    CHECK(Of<service_host>(scheduler.Plan(now)).empty());
    now += seconds(2);
    hosts[0].vm = "b1";
    scheduler.UpdateHosts(hosts, {}, now);
    const auto actions = scheduler.Plan(now);
    CHECK(Of<release_vm>(actions).size() == 1);
    REQUIRE(Of<service_host>(actions).size() == 1);
    CHECK(Of<service_host>(actions)[0].host == "h3");
    CHECK(Of<complete_wave>(actions).empty());

    SECTION("and the wave is complete when all hosts have been taken down") {
      scheduler.OnServiceAnswer(7, "h3", service_result::kAccepted, now);
      now += seconds(2);
      hosts[2].vm = "b3";
      scheduler.UpdateHosts(hosts, {}, now);
      scheduler.Plan(now);
      scheduler.UpdateEmpty({"a2"});
      REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
      CHECK(Of<complete_wave>(scheduler.Plan(now)).empty());
      scheduler.OnServiceAnswer(7, "h2", service_result::kAccepted, now);
      CHECK(Of<complete_wave>(scheduler.Plan(now)).size() == 1);
      CHECK(Of<complete_wave>(scheduler.Plan(now)).empty());
    }
  }
}

// The fleet list was requested before a host of a spare pool went down, and is
// read after that. It shows the host as up, and a host that runs nothing has no
// incarnation to compare. If this counted as a return, one host too many would
// go down.
TEST_CASE("A list from before the order does not count as a return") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1", "h2"}, 1));
  const std::vector<fleet_host> hosts = {Host("h1", "spare", ""),
                                         Host("h2", "spare", "")};
  scheduler.UpdateHosts(hosts, {"spare"}, now);
  scheduler.Plan(now);
  REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
  const time_point asked_at = now + milliseconds(10);
  now += milliseconds(20);
  scheduler.OnServiceAnswer(7, "h1", service_result::kAccepted, now);
  scheduler.UpdateHosts(hosts, {"spare"}, asked_at);
  CHECK(Of<service_host>(scheduler.Plan(now)).empty());
  now += seconds(3);
  scheduler.UpdateHosts(hosts, {"spare"}, now);
  CHECK(Of<service_host>(scheduler.Plan(now)).size() == 1);
}

TEST_CASE("A new scheduler continues where the earlier one stopped") {
  maintenance_scheduler scheduler{maintenance_settings()};
  const time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1", "h2"}, 5));
  scheduler.NoteServiced(7, "h1");
  scheduler.UpdateHosts({Host("h1", "p", "a1"), Host("h2", "p", "a2")}, {},
                        now);
  const auto closed = Of<close_vm>(scheduler.Plan(now));
  REQUIRE(closed.size() == 1);
  CHECK(closed[0].vm == "a2");

  SECTION("and has no work for a complete wave") {
    scheduler.NoteCompleted(7);
    CHECK_FALSE(scheduler.HasWork());
  }
}

// The owner of the fleet has closed VMs for a wave and is lost. If its
// successor began with other hosts, the closed VMs would be idle until it
// reaches them: long-running tasks of their pool would wait although there is
// free capacity.
TEST_CASE("A new scheduler continues with VMs that are already closed") {
  maintenance_scheduler scheduler{maintenance_settings()};
  const time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1", "h2", "h3", "h4"}, 1));
  scheduler.UpdateHosts({Host("h1", "p", "a1"), Host("h2", "p", "a2"),
                         Host("h3", "p", "a3"), Host("h4", "p", "a4")},
                        {}, now);
  scheduler.UpdateClosed({"a3", "a4"});
  const auto closed = Of<close_vm>(scheduler.Plan(now));
  REQUIRE(closed.size() == 2);
  CHECK(closed[0].vm == "a3");
  CHECK(closed[1].vm == "a4");
}

// The owner of the fleet is lost, and the next one plans before it has read
// that hosts of the wave were already serviced. It begins to drain one of them.
// What it reads then must stop this, or the host is serviced twice.
TEST_CASE("A service record that is read after draining began is applied") {
  maintenance_scheduler scheduler{maintenance_settings()};
  const time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1"}, 1));
  scheduler.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  REQUIRE(Of<close_vm>(scheduler.Plan(now)).size() == 1);
  scheduler.NoteServiced(7, "h1");
  scheduler.UpdateClosed({"a1"});
  scheduler.UpdateEmpty({"a1"});
  const auto actions = scheduler.Plan(now);
  CHECK(Of<service_host>(actions).empty());
  CHECK(Of<release_vm>(actions).size() == 1);
}

// A VM that is closed for service accepts no tasks. If its service is cancelled
// and the closing is not revoked, it stays idle permanently although its pool
// needs it.
TEST_CASE("A VM that is not closed for any wave is released") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1"}, 1));
  const std::vector<fleet_host> hosts = {Host("h1", "p", "a1"),
                                         Host("h2", "p", "a2")};
  scheduler.UpdateHosts(hosts, {}, now);
  scheduler.UpdateClosed({"a1"});
  CHECK(Of<release_vm>(scheduler.Plan(now)).empty());

  SECTION("when its host turns out not to belong to the wave") {
    scheduler.UpdateEmpty({"a1"});
    REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
    scheduler.OnServiceAnswer(7, "h1", service_result::kPermanentFailure, now);
    const auto released = Of<release_vm>(scheduler.Plan(now));
    REQUIRE(released.size() == 1);
    CHECK(released[0].vm == "a1");

    SECTION("once") {
      CHECK(Of<release_vm>(scheduler.Plan(now)).empty());
    }
  }

  SECTION("when the wave has completed without its host, which returns") {
    for (int i = 0; i < 12; ++i) {
      now += seconds(1);
      scheduler.UpdateHosts({hosts[1]}, {}, now);
    }
    const auto actions = scheduler.Plan(now);
    CHECK(Of<complete_wave>(actions).size() == 1);
    CHECK(Of<release_vm>(actions).size() == 1);
    scheduler.UpdateHosts(hosts, {}, now);
    scheduler.Plan(now);
    CHECK(scheduler.BusyHosts().empty());
  }

  SECTION("when an earlier scheduler closed it and it is no longer due") {
    scheduler.UpdateClosed({"a1", "a2"});
    const auto released = Of<release_vm>(scheduler.Plan(now));
    REQUIRE(released.size() == 1);
    CHECK(released[0].vm == "a2");
  }

  SECTION("not while its order may still be carried out") {
    scheduler.UpdateEmpty({"a1"});
    REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
    scheduler.OnServiceAnswer(7, "h1", service_result::kUnknown, now);
    for (int i = 0; i < 12; ++i) {
      now += seconds(1);
      scheduler.UpdateHosts({hosts[1]}, {}, now);
    }
    CHECK(Of<release_vm>(scheduler.Plan(now)).empty());
    CHECK(scheduler.BusyHosts() == std::set<host_id>{"h1"});
  }
}

TEST_CASE("A host that has left permanently does not block its wave") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1", "gone"}, 2));
  scheduler.NoteServiced(7, "h1");
  scheduler.UpdateHosts({Host("h1", "p", "a1"), Host("gone", "p", "a2")}, {},
                        now);
  scheduler.Plan(now);
  now += seconds(1);
  scheduler.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  CHECK(Of<complete_wave>(scheduler.Plan(now)).empty());
  now += seconds(11);
  scheduler.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  CHECK(Of<complete_wave>(scheduler.Plan(now)).size() == 1);
}

// The fleet list cannot be read for some time. No host may be considered gone:
// operators would be told that a wave is complete although its hosts were not
// serviced.
TEST_CASE("A wave does not complete because no list can be read") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1"}, 1));
  scheduler.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  scheduler.Plan(now);
  now += seconds(60);
  CHECK(Of<complete_wave>(scheduler.Plan(now)).empty());
}

// Guards against a wave that is reported complete after a single list without a
// host.
TEST_CASE("One list after a period without lists does not show a departure") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  const std::vector<fleet_host> both = {Host("h1", "p", "a1"),
                                        Host("h2", "p", "a2")};
  scheduler.AddWave(Wave({"h1", "h2"}, 2));
  scheduler.NoteServiced(7, "h1");
  scheduler.UpdateHosts(both, {}, now);
  scheduler.Plan(now);

  SECTION("after an outage of 11 s") {
    now += seconds(11);
    scheduler.UpdateHosts({both[0]}, {}, now);
    CHECK(Of<complete_wave>(scheduler.Plan(now)).empty());
    now += seconds(1);
    scheduler.UpdateHosts(both, {}, now);
    CHECK(Of<complete_wave>(scheduler.Plan(now)).empty());
  }

  SECTION("after an outage of 5 s, when the host is absent for 6 s") {
    now += seconds(5);
    scheduler.UpdateHosts({both[0]}, {}, now);
    now += seconds(6);
    scheduler.UpdateHosts({both[0]}, {}, now);
    CHECK(Of<complete_wave>(scheduler.Plan(now)).empty());
  }
}

// Guards against a wave that stops for good: the answer to an order is lost,
// and the refusal of the repeated order is taken to mean that the host was not
// serviced.
TEST_CASE("A refused order does not tell what an unanswered order has done") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1", "h2"}, 1));
  std::vector<fleet_host> hosts = {Host("h1", "p", "a1"),
                                   Host("h2", "p", "a2")};
  const auto list = [&] {
    now += milliseconds(100);
    scheduler.UpdateHosts(hosts, {}, now);
    now += milliseconds(10);
  };
  const auto answer = [&](service_result result) {
    now += milliseconds(10);
    scheduler.OnServiceAnswer(7, "h1", result, now);
  };
  list();
  scheduler.Plan(now);
  scheduler.UpdateClosed({"a1", "a2"});
  scheduler.UpdateEmpty({"a1", "a2"});
  REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
  answer(service_result::kUnknown);
  now += seconds(1);
  REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
  answer(service_result::kTemporaryFailure);

  SECTION("the host counts as down") {
    CHECK(Of<service_host>(scheduler.Plan(now)).empty());

    SECTION("also while the list shows it as it was, and is ordered again") {
      now += seconds(1);
      list();
      const auto ordered = Of<service_host>(scheduler.Plan(now));
      REQUIRE(ordered.size() == 1);
      CHECK(ordered[0].host == "h1");
    }

    SECTION("also while its row in the list is unreadable") {
      hosts[0].state = host_state::kDown;
      hosts[0].is_readable = false;
      list();
      now += seconds(1);
      CHECK(Of<service_host>(scheduler.Plan(now)).empty());
    }
  }

  SECTION("a host that a list shows in service was serviced") {
    hosts[0].state = host_state::kInService;
    list();
    auto actions = scheduler.Plan(now);
    REQUIRE(Of<record_service>(actions).size() == 1);
    CHECK(Of<record_service>(actions)[0].host == "h1");
    CHECK(Of<service_host>(actions).empty());

    SECTION("and the next host goes down when it is back") {
      hosts[0] = Host("h1", "p", "b1");
      list();
      actions = scheduler.Plan(now);
      REQUIRE(Of<release_vm>(actions).size() == 1);
      CHECK(Of<release_vm>(actions)[0].vm == "a1");
      REQUIRE(Of<service_host>(actions).size() == 1);
      CHECK(Of<service_host>(actions)[0].host == "h2");
    }
  }

  SECTION("a host that no list has shown in service is drained again") {
    hosts[0] = Host("h1", "p", "b1");
    list();
    const auto actions = scheduler.Plan(now);
    REQUIRE(Of<release_vm>(actions).size() == 1);
    CHECK(Of<release_vm>(actions)[0].vm == "a1");
    scheduler.UpdateClosed({"a2", "b1"});
    scheduler.UpdateEmpty({"a2", "b1"});
    // The released slot may go to either host.
    scheduler.OnServiceAnswer(7, "h2", service_result::kPermanentFailure, now);
    now += seconds(1);
    list();
    const auto ordered = Of<service_host>(scheduler.Plan(now));
    REQUIRE(ordered.size() == 1);
    REQUIRE(ordered[0].host == "h1");
    answer(service_result::kAccepted);

    SECTION("and the wave completes if the service was already done") {
      CHECK(Of<complete_wave>(scheduler.Plan(now)).size() == 1);
      now += seconds(4);
      list();
      const auto back = Of<release_vm>(scheduler.Plan(now));
      REQUIRE(back.size() == 1);
      CHECK(back[0].vm == "b1");
      CHECK(scheduler.BusyHosts().empty());
    }

    SECTION("and it is not back before a service that begins now can be seen") {
      list();
      CHECK(Of<release_vm>(scheduler.Plan(now)).empty());
      CHECK(scheduler.BusyHosts() == std::set<host_id>{"h1"});
    }
  }

  SECTION("the next host does not wait for a host that has crashed") {
    hosts[0].state = host_state::kDown;
    list();
    const auto ordered = Of<service_host>(scheduler.Plan(now));
    REQUIRE(ordered.size() == 1);
    CHECK(ordered[0].host == "h2");
  }
}

// Guards against tasks that are terminated: an order is not carried out, the
// host restarts by itself, and the order is repeated although the next
// incarnation runs tasks.
TEST_CASE("An order is not repeated for an incarnation that was not drained") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1"}, 1));
  scheduler.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  scheduler.Plan(now);
  scheduler.UpdateEmpty({"a1"});
  REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
  scheduler.OnServiceAnswer(7, "h1", service_result::kUnknown, now);
  now += seconds(2);

  SECTION("after it has restarted") {
    scheduler.UpdateHosts({Host("h1", "p", "b1")}, {}, now);
    const auto actions = scheduler.Plan(now);
    CHECK(Of<service_host>(actions).empty());
    REQUIRE(Of<close_vm>(actions).size() == 1);
    CHECK(Of<close_vm>(actions)[0].vm == "b1");
    now += seconds(2);
    CHECK(Of<service_host>(scheduler.Plan(now)).empty());
    scheduler.UpdateEmpty({"b1"});
    CHECK(Of<service_host>(scheduler.Plan(now)).size() == 1);
  }

  SECTION("nor if its VM is no longer recorded as drained") {
    scheduler.UpdateEmpty({});
    CHECK(Of<service_host>(scheduler.Plan(now)).empty());
  }
}

// Guards against a host that no wave and no pool can use any more: it had left
// while its order was unanswered, and returns after the wave has completed.
TEST_CASE("A host that returns after its wave has completed is released") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1"}, 1));
  std::vector<fleet_host> hosts = {Host("h1", "p", "a1"),
                                   Host("h2", "p", "a2")};
  scheduler.UpdateHosts(hosts, {}, now);
  scheduler.Plan(now);
  scheduler.UpdateClosed({"a1"});
  scheduler.UpdateEmpty({"a1"});
  REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
  scheduler.OnServiceAnswer(7, "h1", service_result::kUnknown, now);
  for (int i = 0; i < 12; ++i) {
    now += seconds(1);
    scheduler.UpdateHosts({hosts[1]}, {}, now);
  }
  REQUIRE(Of<complete_wave>(scheduler.Plan(now)).size() == 1);
  now += seconds(1);

  SECTION("also if it is not up yet") {
    hosts[0].state = host_state::kDown;
  }

  scheduler.UpdateHosts(hosts, {}, now);
  const auto released = Of<release_vm>(scheduler.Plan(now));
  REQUIRE(released.size() == 1);
  CHECK(released[0].vm == "a1");
  CHECK(scheduler.BusyHosts().empty());
}

// Guards against a wave whose last host stays closed for good: an earlier
// scheduler was lost before it recorded that the host was serviced, and the
// next one waits for a service that does not begin.
TEST_CASE("A host that was serviced but not recorded so is released") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1"}, 1));
  scheduler.UpdateHosts({Host("h1", "p", "b1")}, {}, now);
  scheduler.Plan(now);
  scheduler.UpdateClosed({"b1"});
  scheduler.UpdateEmpty({"b1"});
  REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
  scheduler.OnServiceAnswer(7, "h1", service_result::kAccepted, now);
  CHECK(Of<complete_wave>(scheduler.Plan(now)).size() == 1);
  for (int i = 0; i < 10; ++i) {
    now += seconds(1);
    scheduler.UpdateHosts({Host("h1", "p", "b1")}, {}, now);
    scheduler.Plan(now);
  }
  CHECK(scheduler.BusyHosts().empty());
}

// Guards against one host too many in service: an earlier scheduler has ordered
// a host just before it was lost, and the order is carried out after the next
// one has read the list.
TEST_CASE("A host that an earlier scheduler may have ordered counts as down") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1", "h2"}, 1));
  std::vector<fleet_host> hosts = {Host("h1", "spare", ""),
                                   Host("h2", "spare", "")};
  scheduler.UpdateBlocked({"h2"});
  scheduler.UpdateHosts(hosts, {"spare"}, now);
  scheduler.Plan(now);
  CHECK(Of<service_host>(scheduler.Plan(now)).empty());

  SECTION("until that order can no longer be carried out") {
    scheduler.UpdateBlocked({});
    CHECK(Of<service_host>(scheduler.Plan(now)).size() == 1);
  }

  SECTION("unless the list shows that it runs tasks") {
    hosts[1] = Host("h2", "p", "a2");
    scheduler.UpdateHosts(hosts, {"spare"}, now);
    CHECK(Of<service_host>(scheduler.Plan(now)).size() == 1);
  }
}

// Guards against tasks that are terminated: a planned order waits, and the host
// restarts by itself before the order is sent.
TEST_CASE("A planned order is stale once its host has restarted") {
  maintenance_scheduler scheduler{maintenance_settings()};
  time_point now{std::chrono::hours(1)};
  scheduler.AddWave(Wave({"h1"}, 1));
  scheduler.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  scheduler.Plan(now);
  scheduler.UpdateEmpty({"a1"});
  REQUIRE(Of<service_host>(scheduler.Plan(now)).size() == 1);
  CHECK(scheduler.MayService({7, "h1"}));
  now += seconds(1);
  scheduler.UpdateHosts({Host("h1", "p", "b1")}, {}, now);
  CHECK_FALSE(scheduler.MayService({7, "h1"}));
  scheduler.OnServiceAnswer(7, "h1", service_result::kTemporaryFailure, now);
  now += seconds(1);
  CHECK(Of<service_host>(scheduler.Plan(now)).empty());
}

// Load pattern: a wave of 24 of 49 hosts with a time limit of 27 s, at most 10
// hosts at once, while each pool in turn has a burst and wants every VM. At the
// fastest rate that the wave allows, a fifth of the fleet is unavailable during
// the first burst, and jobs are late; spread over the time limit it is an
// eighth. Bursts alternate between the pools, so most hosts are spare at some
// time.
TEST_CASE(
    "A wave takes VMs from pools no faster than its time limit requires") {
  maintenance_scheduler scheduler{maintenance_settings()};
  const time_point begin{std::chrono::hours(1)};
  std::vector<fleet_host> hosts;
  std::vector<host_id> due;
  for (int i = 0; i < 24; ++i) {
    const std::string name = "h" + std::to_string(i);
    hosts.push_back(Host(name, i % 2 == 0 ? "p" : "q", "vm-" + name));
    due.push_back(name);
  }
  maintenance_wave wave = Wave(due, 10);
  wave.time_limit = seconds(27);

  SECTION("six of ten, if its publication time is known") {
    wave.published_at = begin;
    scheduler.AddWave(wave);
    scheduler.UpdateHosts(hosts, {"spare"}, begin);
    CHECK(Of<close_vm>(scheduler.Plan(begin)).size() == 6);

    SECTION("and the maximum when little time is left") {
      const time_point late = begin + seconds(17);
      scheduler.UpdateHosts(hosts, {"spare"}, late);
      CHECK(Of<close_vm>(scheduler.Plan(late)).size() == 5);
    }
  }

  SECTION("the maximum, if its publication time is unknown") {
    scheduler.AddWave(wave);
    scheduler.UpdateHosts(hosts, {"spare"}, begin);
    CHECK(Of<close_vm>(scheduler.Plan(begin)).size() == 11);
  }

  SECTION("hosts of the spare pool go first, up to the maximum") {
    for (int i = 0; i < 8; ++i) {
      hosts[20 - i].pool = "spare";
      hosts[20 - i].vm = "";
    }
    wave.published_at = begin;
    scheduler.AddWave(wave);
    scheduler.UpdateHosts(hosts, {"spare"}, begin);
    const auto actions = scheduler.Plan(begin);
    CHECK(Of<close_vm>(actions).size() == 3);
    CHECK(Of<service_host>(scheduler.Plan(begin + milliseconds(1))).size() ==
          8);
  }

  // Guards against a wave that takes the idle hosts for which a pool is
  // waiting.
  SECTION("hosts of the spare pool are limited too while a pool lacks VMs") {
    for (int i = 0; i < 8; ++i) {
      hosts[20 - i].pool = "spare";
      hosts[20 - i].vm = "";
    }
    wave.published_at = begin;
    scheduler.AddWave(wave);
    scheduler.UpdateHosts(hosts, {"spare"}, begin);
    scheduler.UpdateUndersized({"p"});
    CHECK(Of<close_vm>(scheduler.Plan(begin)).empty());
    CHECK(Of<service_host>(scheduler.Plan(begin + milliseconds(1))).size() ==
          6);
  }

  SECTION("no host of a pool that lacks VMs while there is time") {
    wave.published_at = begin;
    scheduler.AddWave(wave);
    scheduler.UpdateHosts(hosts, {"spare"}, begin);
    scheduler.UpdateUndersized({"p"});
    const auto closed = Of<close_vm>(scheduler.Plan(begin));
    REQUIRE(closed.size() == 6);
    for (const close_vm& close : closed) {
      CHECK(std::stoi(close.vm.substr(4)) % 2 == 1);
    }
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
