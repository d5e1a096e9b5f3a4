#include "plantainhead/core/jobs/maintenance_scheduler.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <variant>

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
  wave.most_at_once = at_once;
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

TEST_CASE("A wave empties a host, services it and ends") {
  wave_keeper keeper{wave_settings()};
  time_point now{std::chrono::hours(1)};
  keeper.AddWave(Wave({"h1", "h2", "h3"}, 1));
  CHECK(keeper.Plan(now).empty());
  std::vector<fleet_host> hosts = {Host("h1", "p", "a1"), Host("h2", "p", "a2"),
                                   Host("h3", "q", "a3")};
  keeper.UpdateHosts(hosts, {}, now);
  const auto closed = Of<close_vm>(keeper.Plan(now));
  REQUIRE(closed.size() == 2);
  CHECK(closed[0].vm == "a1");
  CHECK(closed[1].vm == "a3");

  SECTION("a host that still runs something isn't serviced") {
    now += seconds(5);
    keeper.UpdateHosts(hosts, {}, now);
    CHECK(Of<service_host>(keeper.Plan(now)).empty());
  }

  keeper.UpdateEmpty({"a1", "a3"});
  const auto ordered = Of<service_host>(keeper.Plan(now));
  REQUIRE(ordered.size() == 1);
  CHECK(ordered[0].host == "h1");

  SECTION("an order without an answer counts as down and is sent again") {
    keeper.OnServiceAnswer(7, "h1", service_result::kUnknown, now);
    CHECK(Of<service_host>(keeper.Plan(now)).empty());
    now += seconds(2);
    const auto again = Of<service_host>(keeper.Plan(now));
    REQUIRE(again.size() == 1);
    CHECK(again[0].host == "h1");
  }

  // Guards against a wave that stands still since a VM comes back under its id.
  SECTION("also when its VM begins again under the same id") {
    keeper.OnServiceAnswer(7, "h1", service_result::kAccepted, now);
    now += milliseconds(100);
    hosts[0].state = host_state::kInService;
    keeper.UpdateHosts(hosts, {}, now);
    CHECK(Of<service_host>(keeper.Plan(now)).empty());
    now += seconds(2);
    hosts[0].state = host_state::kUp;
    keeper.UpdateHosts(hosts, {}, now);
    const auto actions = keeper.Plan(now);
    CHECK(Of<release_vm>(actions).size() == 1);
    CHECK(Of<service_host>(actions).size() == 1);
  }

  SECTION("the next host goes down when the first is up in another life") {
    keeper.OnServiceAnswer(7, "h1", service_result::kAccepted, now);
    now += milliseconds(100);
    keeper.UpdateHosts(hosts, {}, now);
    CHECK(Of<service_host>(keeper.Plan(now)).empty());
    now += seconds(2);
    hosts[0].vm = "b1";
    keeper.UpdateHosts(hosts, {}, now);
    const auto actions = keeper.Plan(now);
    CHECK(Of<release_vm>(actions).size() == 1);
    REQUIRE(Of<service_host>(actions).size() == 1);
    CHECK(Of<service_host>(actions)[0].host == "h3");
    CHECK(Of<complete_wave>(actions).empty());

    SECTION("and the wave is complete when all have been taken down") {
      keeper.OnServiceAnswer(7, "h3", service_result::kAccepted, now);
      now += seconds(2);
      hosts[2].vm = "b3";
      keeper.UpdateHosts(hosts, {}, now);
      keeper.Plan(now);
      keeper.UpdateEmpty({"a2"});
      REQUIRE(Of<service_host>(keeper.Plan(now)).size() == 1);
      CHECK(Of<complete_wave>(keeper.Plan(now)).empty());
      keeper.OnServiceAnswer(7, "h2", service_result::kAccepted, now);
      CHECK(Of<complete_wave>(keeper.Plan(now)).size() == 1);
      CHECK(Of<complete_wave>(keeper.Plan(now)).empty());
    }
  }
}

// The list of the fleet was asked for before a host of a spare pool went down,
// and is read after. It shows the host as up, and a host that runs nothing has
// no life to compare. Taken for back, it would let one too many go down.
TEST_CASE("A list from before the order doesn't bring a host back") {
  wave_keeper keeper{wave_settings()};
  time_point now{std::chrono::hours(1)};
  keeper.AddWave(Wave({"h1", "h2"}, 1));
  const std::vector<fleet_host> hosts = {Host("h1", "spare", ""),
                                         Host("h2", "spare", "")};
  keeper.UpdateHosts(hosts, {"spare"}, now);
  keeper.Plan(now);
  REQUIRE(Of<service_host>(keeper.Plan(now)).size() == 1);
  const time_point asked_at = now + milliseconds(10);
  now += milliseconds(20);
  keeper.OnServiceAnswer(7, "h1", service_result::kAccepted, now);
  keeper.UpdateHosts(hosts, {"spare"}, asked_at);
  CHECK(Of<service_host>(keeper.Plan(now)).empty());
  now += seconds(3);
  keeper.UpdateHosts(hosts, {"spare"}, now);
  CHECK(Of<service_host>(keeper.Plan(now)).size() == 1);
}

TEST_CASE("A new keeper goes on where the earlier one was") {
  wave_keeper keeper{wave_settings()};
  const time_point now{std::chrono::hours(1)};
  keeper.AddWave(Wave({"h1", "h2"}, 5));
  keeper.NoteServiced(7, "h1");
  keeper.UpdateHosts({Host("h1", "p", "a1"), Host("h2", "p", "a2")}, {}, now);
  const auto closed = Of<close_vm>(keeper.Plan(now));
  REQUIRE(closed.size() == 1);
  CHECK(closed[0].vm == "a2");

  SECTION("and has nothing to do for a wave that is complete") {
    keeper.NoteCompleted(7);
    CHECK_FALSE(keeper.HasWork());
  }
}

// The owner of the fleet has closed VMs for a wave and is lost. Its successor
// begins with other hosts, and the closed VMs stand idle until their turn
// comes: lasting tasks of their pool wait, although there is room for them.
TEST_CASE("A new keeper goes on with the VMs that are closed already") {
  wave_keeper keeper{wave_settings()};
  const time_point now{std::chrono::hours(1)};
  keeper.AddWave(Wave({"h1", "h2", "h3", "h4"}, 1));
  keeper.UpdateHosts({Host("h1", "p", "a1"), Host("h2", "p", "a2"),
                      Host("h3", "p", "a3"), Host("h4", "p", "a4")},
                     {}, now);
  keeper.UpdateClosed({"a3", "a4"});
  const auto closed = Of<close_vm>(keeper.Plan(now));
  REQUIRE(closed.size() == 2);
  CHECK(closed[0].vm == "a3");
  CHECK(closed[1].vm == "a4");
}

// The owner of the fleet is lost, and the next one plans before it has read
// that hosts of the wave were serviced already. It begins with one of them;
// what it reads then must end that, or the host is serviced a second time.
TEST_CASE("A service that is read of after its host was begun counts") {
  wave_keeper keeper{wave_settings()};
  const time_point now{std::chrono::hours(1)};
  keeper.AddWave(Wave({"h1"}, 1));
  keeper.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  REQUIRE(Of<close_vm>(keeper.Plan(now)).size() == 1);
  keeper.NoteServiced(7, "h1");
  keeper.UpdateClosed({"a1"});
  keeper.UpdateEmpty({"a1"});
  const auto actions = keeper.Plan(now);
  CHECK(Of<service_host>(actions).empty());
  CHECK(Of<release_vm>(actions).size() == 1);
}

// A VM that is closed for service takes no tasks. When its service is off, and
// nobody takes that back, it stands idle for good with room for the tasks of
// its pool.
TEST_CASE("A VM that is closed for no wave is released") {
  wave_keeper keeper{wave_settings()};
  time_point now{std::chrono::hours(1)};
  keeper.AddWave(Wave({"h1"}, 1));
  const std::vector<fleet_host> hosts = {Host("h1", "p", "a1"),
                                         Host("h2", "p", "a2")};
  keeper.UpdateHosts(hosts, {}, now);
  keeper.UpdateClosed({"a1"});
  CHECK(Of<release_vm>(keeper.Plan(now)).empty());

  SECTION("when its host proves not to be of the wave") {
    keeper.UpdateEmpty({"a1"});
    REQUIRE(Of<service_host>(keeper.Plan(now)).size() == 1);
    keeper.OnServiceAnswer(7, "h1", service_result::kNever, now);
    const auto released = Of<release_vm>(keeper.Plan(now));
    REQUIRE(released.size() == 1);
    CHECK(released[0].vm == "a1");

    SECTION("once") {
      CHECK(Of<release_vm>(keeper.Plan(now)).empty());
    }
  }

  SECTION("when the wave has ended without its host, which comes back") {
    for (int i = 0; i < 12; ++i) {
      now += seconds(1);
      keeper.UpdateHosts({hosts[1]}, {}, now);
    }
    const auto actions = keeper.Plan(now);
    CHECK(Of<complete_wave>(actions).size() == 1);
    CHECK(Of<release_vm>(actions).size() == 1);
    keeper.UpdateHosts(hosts, {}, now);
    keeper.Plan(now);
    CHECK(keeper.BusyHosts().empty());
  }

  SECTION("when an earlier keeper closed it and it isn't due any more") {
    keeper.UpdateClosed({"a1", "a2"});
    const auto released = Of<release_vm>(keeper.Plan(now));
    REQUIRE(released.size() == 1);
    CHECK(released[0].vm == "a2");
  }

  SECTION("not while its order may be carried out") {
    keeper.UpdateEmpty({"a1"});
    REQUIRE(Of<service_host>(keeper.Plan(now)).size() == 1);
    keeper.OnServiceAnswer(7, "h1", service_result::kUnknown, now);
    for (int i = 0; i < 12; ++i) {
      now += seconds(1);
      keeper.UpdateHosts({hosts[1]}, {}, now);
    }
    CHECK(Of<release_vm>(keeper.Plan(now)).empty());
    CHECK(keeper.BusyHosts() == std::set<host_id>{"h1"});
  }
}

TEST_CASE("A host that has left for good doesn't hold its wave up") {
  wave_keeper keeper{wave_settings()};
  time_point now{std::chrono::hours(1)};
  keeper.AddWave(Wave({"h1", "gone"}, 2));
  keeper.NoteServiced(7, "h1");
  keeper.UpdateHosts({Host("h1", "p", "a1"), Host("gone", "p", "a2")}, {}, now);
  keeper.Plan(now);
  now += seconds(1);
  keeper.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  CHECK(Of<complete_wave>(keeper.Plan(now)).empty());
  now += seconds(11);
  keeper.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  CHECK(Of<complete_wave>(keeper.Plan(now)).size() == 1);
}

// The list of the fleet can't be read for a while. No host may pass for gone:
// operators would be told that a wave is complete whose hosts weren't serviced.
TEST_CASE("A wave isn't complete because no list can be read") {
  wave_keeper keeper{wave_settings()};
  time_point now{std::chrono::hours(1)};
  keeper.AddWave(Wave({"h1"}, 1));
  keeper.UpdateHosts({Host("h1", "p", "a1")}, {}, now);
  keeper.Plan(now);
  now += seconds(60);
  CHECK(Of<complete_wave>(keeper.Plan(now)).empty());
}

// Guards against a wave reported complete after a single list without a host.
TEST_CASE("One list after a time without lists doesn't tell that a host left") {
  wave_keeper keeper{wave_settings()};
  time_point now{std::chrono::hours(1)};
  const std::vector<fleet_host> both = {Host("h1", "p", "a1"),
                                        Host("h2", "p", "a2")};
  keeper.AddWave(Wave({"h1", "h2"}, 2));
  keeper.NoteServiced(7, "h1");
  keeper.UpdateHosts(both, {}, now);
  keeper.Plan(now);

  SECTION("after an outage of 11 s") {
    now += seconds(11);
    keeper.UpdateHosts({both[0]}, {}, now);
    CHECK(Of<complete_wave>(keeper.Plan(now)).empty());
    now += seconds(1);
    keeper.UpdateHosts(both, {}, now);
    CHECK(Of<complete_wave>(keeper.Plan(now)).empty());
  }

  SECTION("after an outage of 5 s, when it is absent for 7 s") {
    now += seconds(5);
    keeper.UpdateHosts({both[0]}, {}, now);
    now += seconds(6);
    keeper.UpdateHosts({both[0]}, {}, now);
    CHECK(Of<complete_wave>(keeper.Plan(now)).empty());
  }
}

// The pattern: a wave of 24 of 49 hosts in 27 s, 10 at once, while the queues
// have their turns and each pool wants every VM in its own. Taken as fast as
// the wave allows, a fifth of the fleet is away in its first turn, and jobs
// there are late; spread over the wave's time it is an eighth. Each turn is
// another pool's, so that most hosts are spare at some time.
TEST_CASE("A wave takes VMs from pools no faster than its time demands") {
  wave_keeper keeper{wave_settings()};
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

  SECTION("six of ten, when its time is known") {
    wave.published_at = begin;
    keeper.AddWave(wave);
    keeper.UpdateHosts(hosts, {"spare"}, begin);
    CHECK(Of<close_vm>(keeper.Plan(begin)).size() == 6);

    SECTION("and all that it allows when it gets late") {
      const time_point late = begin + seconds(17);
      keeper.UpdateHosts(hosts, {"spare"}, late);
      CHECK(Of<close_vm>(keeper.Plan(late)).size() == 5);
    }
  }

  SECTION("all that it allows, when an earlier owner may have begun it") {
    keeper.AddWave(wave);
    keeper.UpdateHosts(hosts, {"spare"}, begin);
    CHECK(Of<close_vm>(keeper.Plan(begin)).size() == 11);
  }

  SECTION("hosts of the spare pool go first, as many as it allows") {
    for (int i = 0; i < 8; ++i) {
      hosts[20 - i].pool = "spare";
      hosts[20 - i].vm = "";
    }
    wave.published_at = begin;
    keeper.AddWave(wave);
    keeper.UpdateHosts(hosts, {"spare"}, begin);
    const auto actions = keeper.Plan(begin);
    CHECK(Of<close_vm>(actions).size() == 3);
    CHECK(Of<service_host>(keeper.Plan(begin + milliseconds(1))).size() == 8);
  }

  // Guards against a wave that takes the idle hosts for which a pool waits.
  SECTION("no more of the spare pool either, while a pool lacks VMs") {
    for (int i = 0; i < 8; ++i) {
      hosts[20 - i].pool = "spare";
      hosts[20 - i].vm = "";
    }
    wave.published_at = begin;
    keeper.AddWave(wave);
    keeper.UpdateHosts(hosts, {"spare"}, begin);
    keeper.UpdateShort({"p"});
    CHECK(Of<close_vm>(keeper.Plan(begin)).empty());
    CHECK(Of<service_host>(keeper.Plan(begin + milliseconds(1))).size() == 6);
  }

  SECTION("none of a pool that lacks VMs, while there is time") {
    wave.published_at = begin;
    keeper.AddWave(wave);
    keeper.UpdateHosts(hosts, {"spare"}, begin);
    keeper.UpdateShort({"p"});
    const auto closed = Of<close_vm>(keeper.Plan(begin));
    REQUIRE(closed.size() == 6);
    for (const close_vm& close : closed) {
      CHECK(std::stoi(close.vm.substr(4)) % 2 == 1);
    }
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
