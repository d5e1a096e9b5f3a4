#include "plantainhead/core/entry/entry_core.h"

#include <catch2/catch.hpp>

#include "core/entry/entry_fleet.h"

namespace plantainhead::core {
namespace {

using std::chrono::seconds;

constexpr incarnation kFirst{1};
constexpr incarnation kSecond{2};
constexpr incarnation kThird{3};

struct entry_core_fixture : entry_fleet {
  explicit entry_core_fixture(std::size_t count = 3) : entry_fleet(count) {
    for (const std::string zone : {"suwon", "goyang", "seongnam"}) {
      AddVm(zone + "-1", zone);
      AddVm(zone + "-2", zone);
    }
    Begin();
  }

  // Asks at each live entry at every step, for some time.
  void SendRequestsFor(duration time, const std::string& prefix) {
    for (const time_point end = now + time; now < end;) {
      for (auto& [who, item] : entries) {
        if (item.alive && !item.exited && !item.frozen) {
          const std::string key = prefix + std::to_string(keys_++);
          asked_.push_back({who, SendRequest(who, key), "surgery/" + key});
        }
      }
      StepFor(kStep);
    }
  }

  struct sent_request {
    incarnation at;
    std::uint64_t sequence;
    std::string key;
  };

  int Count(outcome result) {
    int count = 0;
    for (const sent_request& item : asked_) {
      const response* answer = AnswerOf(item.at, item.sequence);
      count += answer != nullptr && answer->result == result ? 1 : 0;
    }
    return count;
  }

  // What must hold of all that was asked at entries that live.
  void CheckAll() {
    CHECK(duplicate_answers == 0);
    CHECK(calls_interrupted_by_reboot == 0);
    for (const sent_request& item : asked_) {
      const response* answer = AnswerOf(item.at, item.sequence);
      const int runs = runs_of_key[item.key];
      if (entries[item.at].alive) {
        REQUIRE(answer != nullptr);
      }
      REQUIRE(runs <= 1);
      if (answer != nullptr && answer->result == outcome::kNotRun) {
        REQUIRE(runs == 0);
        REQUIRE(answer->retry_after.has_value());
      }
      if (answer != nullptr && answer->result == outcome::kDone) {
        REQUIRE(runs == 1);
      }
    }
  }

  std::vector<sent_request> asked_;
  int keys_ = 0;
};

TEST_CASE("Three entries serve requests with keys") {
  entry_core_fixture fleet;

  SECTION("each once, wherever it arrives") {
    fleet.SendRequestsFor(seconds(2), "a");
    fleet.StepFor(seconds(5));
    fleet.CheckAll();
    CHECK(fleet.Count(outcome::kDone) == static_cast<int>(fleet.asked_.size()));
  }

  // The caller hears nothing from one entry and asks another with the same key
  // while the first still runs it. Both go to the key's home, which says that
  // it is in progress: the endpoint runs it once.
  SECTION("and one that comes again through another entry runs once") {
    const std::uint64_t first = fleet.SendRequest(kFirst, "k");
    fleet.StepFor(std::chrono::milliseconds(60));
    const std::uint64_t again = fleet.SendRequest(kSecond, "k");
    fleet.StepFor(seconds(5));
    CHECK(fleet.AnswerOf(kFirst, first)->result == outcome::kDone);
    CHECK(fleet.AnswerOf(kSecond, again) != nullptr);
    CHECK(fleet.runs_of_key["surgery/k"] == 1);
  }
}

// A caller waits for an hour and asks again with its key at the end. Its claim
// stands for ten minutes only, so if the first request could still be
// dispatched then, the key would run twice. Its deadline is cut to half of that
// time.
TEST_CASE("A caller with a key is very patient") {
  entry_core_fixture fleet;
  fleet.SendRequest(kFirst, "k", std::chrono::hours(1));
  fleet.StepUntil([&] { return !fleet.calls.empty(); });

  REQUIRE(fleet.calls.size() == 1);
  const duration left =
      fleet.calls.front().request.envelope.deadline - fleet.now;
  CHECK(left <= claim_options().window / 2);
}

// Callers of the other entries see an answer for each of their requests. What
// was at the killed entry, as the home of a key or as an owner, ends as unknown
// unless it surely was not sent. The fold then expels it and its endpoints and
// keys go to the others.
TEST_CASE("An entry is killed under load") {
  entry_core_fixture fleet;
  fleet.SendRequestsFor(seconds(1), "a");
  fleet.Kill(kThird);
  fleet.SendRequestsFor(seconds(5), "b");
  fleet.StepFor(seconds(10));

  fleet.CheckAll();
  CHECK(fleet.entries[kFirst].core->fleet().members.size() == 2);
  const int asked = static_cast<int>(fleet.asked_.size());
  CHECK(fleet.Count(outcome::kDone) > asked * 8 / 10);
}

// Callers with keys go on asking right after the home of their keys was killed.
// Their entry finds its connection lost and asks the next home. The killed one
// is a member until the others have expelled it, so the next home must take
// over by itself: else it refuses these keys for the seconds until then.
TEST_CASE("The next home takes over as soon as the connection is lost") {
  entry_core_fixture fleet;
  fleet.SendRequestsFor(seconds(1), "a");
  fleet.StepFor(seconds(2));
  fleet.Kill(kThird);
  fleet.StepFor(2 * entry_fleet::kStep);
  fleet.asked_.clear();
  fleet.SendRequestsFor(seconds(3), "b");
  fleet.StepFor(seconds(10));

  fleet.CheckAll();
  CHECK(fleet.Count(outcome::kDone) == static_cast<int>(fleet.asked_.size()));
}

// Two of three zones are gone at once. What is left is no majority and can't
// expel the dead, so they stay members, and for some keys all the homes that an
// entry keeps at hand are among them. Callers of the living are served all the
// same: the next home is whoever of the living comes first.
TEST_CASE("Three entries of nine are left") {
  entry_core_fixture fleet(9);
  for (std::uint64_t dead = 4; dead <= 9; ++dead) {
    fleet.Kill(incarnation{dead});
  }
  fleet.StepFor(seconds(3));
  REQUIRE(fleet.entries[kFirst].core->fleet().members.size() == 9);
  fleet.SendRequestsFor(seconds(2), "a");
  fleet.StepFor(seconds(5));

  fleet.CheckAll();
  CHECK(fleet.Count(outcome::kDone) == static_cast<int>(fleet.asked_.size()));
}

// An entry starts while the platform's VM list is slow. As a member it would be
// home of keys and owner of endpoints without knowing one of them: its callers
// with keys would hear that there is no endpoint. So it joins only after it has
// read the list.
TEST_CASE("An entry joins that has not read the VM list") {
  entry_core_fixture fleet;
  fleet.Add(4).list_is_down = true;
  fleet.SendRequestsFor(seconds(3), "a");
  CHECK(fleet.entries[kFirst].core->fleet().members.size() == 3);
  fleet.entries[incarnation{4}].list_is_down = false;
  REQUIRE(fleet.StepUntil([&] { return fleet.entries[incarnation{4}].ready; }));
  fleet.StepFor(seconds(5));

  fleet.CheckAll();
  for (const auto& item : fleet.asked_) {
    const response& answer = *fleet.AnswerOf(item.at, item.sequence);
    CHECK(NameOf(answer.reason) != "no-endpoint");
  }
}

// An operator publishes. The others read the record and say so in their
// heartbeats some milliseconds before this entry has read it, too. Its callers
// must not notice: each record would cost some of them a refusal.
TEST_CASE("An entry hears of a record a little before it reads it") {
  entry_core_fixture fleet;
  fleet.entries[kThird].log_is_slow = true;
  configuration targets = fleet.entries[kFirst].core->fleet().targets;
  fleet.Command(kFirst, publish_configuration{targets, 1});
  std::vector<std::uint64_t> asked;
  for (int step = 0; step < 20; ++step) {
    asked.push_back(fleet.SendRequest(kThird));
    fleet.Step();
  }

  SECTION("and serves meanwhile") {
    fleet.entries[kThird].log_is_slow = false;
    fleet.StepFor(seconds(5));
    for (const std::uint64_t sequence : asked) {
      REQUIRE(fleet.AnswerOf(kThird, sequence) != nullptr);
      CHECK(NameOf(fleet.AnswerOf(kThird, sequence)->reason) == "none");
    }
  }

  SECTION("but takes no more requests once it stays behind") {
    fleet.StepFor(seconds(3));
    const std::uint64_t late = fleet.SendRequest(kThird);
    REQUIRE(fleet.AnswerOf(kThird, late) != nullptr);
    CHECK(NameOf(fleet.AnswerOf(kThird, late)->reason) == "not-ready");
    CHECK_FALSE(fleet.entries[kThird].ready);
  }

  SECTION("but takes none after it stood still, until it has read on") {
    fleet.entries[kThird].frozen = true;
    fleet.StepFor(std::chrono::milliseconds(700));
    fleet.entries[kThird].frozen = false;
    fleet.StepFor(2 * entry_fleet::kStep);
    const std::uint64_t late = fleet.SendRequest(kThird);
    REQUIRE(fleet.AnswerOf(kThird, late) != nullptr);
    CHECK(NameOf(fleet.AnswerOf(kThird, late)->reason) == "not-ready");
  }
}

// An entry stops for longer than it takes to be expelled (a paused VM) and goes
// on as if nothing had happened. Its claims, calls and lease belong to a life
// that the others have ended. It must not dispatch what it held, and it starts
// anew.
TEST_CASE("An entry is frozen past its expulsion and wakes up") {
  entry_core_fixture fleet;
  fleet.SendRequestsFor(seconds(1), "a");
  fleet.entries[kThird].frozen = true;
  fleet.SendRequestsFor(seconds(8), "b");
  REQUIRE(fleet.entries[kFirst].core->fleet().members.size() == 2);
  fleet.entries[kThird].frozen = false;
  fleet.StepFor(seconds(10));

  fleet.CheckAll();
  CHECK(fleet.entries[kThird].exited);
  CHECK(fleet.entries[kThird].restart);
}

// Callers with keys are told not-run at once while the log can't be reached;
// callers without are served all the same. When the log is back, keys are
// served again, also those that were refused.
TEST_CASE("The log is out for a while") {
  entry_core_fixture fleet;
  fleet.log_is_down = true;
  fleet.StepFor(seconds(3));
  const std::uint64_t keyed = fleet.SendRequest(kFirst, "k");
  const std::uint64_t plain = fleet.SendRequest(kFirst);
  fleet.StepFor(seconds(1));
  REQUIRE(fleet.AnswerOf(kFirst, keyed) != nullptr);
  CHECK(fleet.AnswerOf(kFirst, keyed)->result == outcome::kNotRun);
  CHECK(fleet.AnswerOf(kFirst, plain)->result == outcome::kDone);
  CHECK(fleet.entries[kFirst].core->fleet().members.size() == 3);

  fleet.log_is_down = false;
  fleet.StepFor(seconds(5));
  const std::uint64_t again = fleet.SendRequest(kFirst, "k");
  fleet.StepFor(seconds(5));
  CHECK(fleet.AnswerOf(kFirst, again)->result == outcome::kDone);
  CHECK(fleet.runs_of_key["surgery/k"] == 1);
}

// A wave reboots every VM while requests come in. Each is drained first: owners
// stop sending, what runs ends, and only then comes the reboot, so no request
// is cut and callers notice nothing.
TEST_CASE("A wave passes under load") {
  entry_core_fixture fleet;
  fleet.SendRequestsFor(seconds(2), "a");
  fleet.Command(kFirst,
                start_wave{wave_id("kernel"), {pool_id("casework")}, {}});
  bool finished = false;
  for (int round = 0; round < 60 && !finished; ++round) {
    fleet.SendRequestsFor(seconds(1), "w" + std::to_string(round) + "-");
    const auto& waves = fleet.entries[kFirst].core->fleet().waves;
    const auto wave = waves.find(wave_id("kernel"));
    finished =
        wave != waves.end() && wave->second.state == wave_state::kFinished;
  }
  fleet.StepFor(seconds(5));

  CHECK(finished);
  CHECK(fleet.reboots.size() == 6);
  for (const auto& [vm, count] : fleet.reboots) {
    CHECK(count == 1);
  }
  fleet.CheckAll();
  CHECK(fleet.Count(outcome::kDone) == static_cast<int>(fleet.asked_.size()));
}

// An entry is asked to stop under load. It serves on until the balancer has
// seen that it isn't ready, ends what it runs, leaves the view and exits.
TEST_CASE("An entry is stopped under load") {
  entry_core_fixture fleet;
  fleet.SendRequestsFor(seconds(1), "a");
  fleet.entries[kThird].inbox.push_back(stop_requested{});
  fleet.SendRequestsFor(std::chrono::milliseconds(500), "b");
  CHECK_FALSE(fleet.entries[kThird].ready);
  fleet.StepUntil([&] { return fleet.entries[kThird].exited; });
  fleet.StepFor(seconds(5));

  CHECK(fleet.entries[kThird].exited);
  CHECK_FALSE(fleet.entries[kThird].restart);
  CHECK(fleet.entries[kFirst].core->fleet().members.size() == 2);
  fleet.CheckAll();
  for (const auto& item : fleet.asked_) {
    CHECK(NameOf(fleet.AnswerOf(item.at, item.sequence)->reason) == "none");
  }
}

}  // namespace
}  // namespace plantainhead::core
