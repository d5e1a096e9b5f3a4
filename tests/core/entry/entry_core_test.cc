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

  // Sends a request to each running entry at every step for the given time.
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

  // Checks the guarantees for all requests sent to running entries.
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

  // A caller gets no answer from one entry and sends the same key to another
  // while the first still runs the request. Both entries ask the key's
  // coordinator, which reports that the request is in progress, so the endpoint
  // runs it once.
  SECTION("and a retry through another entry runs once") {
    const std::uint64_t first = fleet.SendRequest(kFirst, "k");
    fleet.StepFor(std::chrono::milliseconds(60));
    const std::uint64_t again = fleet.SendRequest(kSecond, "k");
    fleet.StepFor(seconds(5));
    CHECK(fleet.AnswerOf(kFirst, first)->result == outcome::kDone);
    CHECK(fleet.AnswerOf(kSecond, again) != nullptr);
    CHECK(fleet.runs_of_key["surgery/k"] == 1);
  }
}

// A caller waits for an hour and retries with the same key at the end. Its
// claim is valid for ten minutes only, so if the first request could still be
// dispatched then, the key would run twice. The deadline of the request must be
// limited to half of the claim window.
TEST_CASE("A caller with a key waits for an hour") {
  entry_core_fixture fleet;
  fleet.SendRequest(kFirst, "k", std::chrono::hours(1));
  fleet.StepUntil([&] { return !fleet.calls.empty(); });

  REQUIRE(fleet.calls.size() == 1);
  const duration left =
      fleet.calls.front().request.envelope.deadline - fleet.now;
  CHECK(left <= claim_options().window / 2);
}

// Callers of the other entries get an answer to each of their requests.
// Requests at the killed entry, as the coordinator of a key or as an owner
// of endpoints, end as unknown unless they were certainly not sent. The killed
// entry is then expelled, and its endpoints and keys move to the others.
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

// Callers keep sending keys right after the coordinator of their keys was
// killed. Their entry detects the lost connection and asks the next one. The
// killed entry remains a member until it is expelled, so the next coordinator
// must take over on its own; otherwise it would reject these keys for several
// seconds.
TEST_CASE(
    "The next coordinator of a key takes over when the connection is lost") {
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

// Two of three zones fail at once. The remaining entries are no majority and
// cannot expel the dead ones, which therefore remain members; for some keys,
// all coordinators that an entry stores are dead. Callers of the remaining
// entries must be served all the same: the next one is the first live entry.
TEST_CASE("Three of nine entries remain") {
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

// An entry starts while the platform's VM list is slow. If it became a member,
// it would be coordinator of keys and owner of endpoints without knowing any
// endpoint, and its callers with keys would be told that there is no endpoint.
// It must join only after it has read the list.
TEST_CASE("An entry that has not read the VM list does not join") {
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

// An operator publishes. The other entries read the record and announce it in
// their heartbeats some milliseconds before this entry reads it. Its callers
// must not notice, or each record would cost some of them a rejection.
TEST_CASE("An entry learns of a record shortly before it reads it") {
  entry_core_fixture fleet;
  fleet.entries[kThird].log_is_slow = true;
  configuration targets = fleet.entries[kFirst].core->fleet().targets;
  fleet.Command(kFirst, publish_configuration{targets, 1});
  std::vector<std::uint64_t> asked;
  for (int step = 0; step < 20; ++step) {
    asked.push_back(fleet.SendRequest(kThird));
    fleet.Step();
  }

  SECTION("and keeps serving meanwhile") {
    fleet.entries[kThird].log_is_slow = false;
    fleet.StepFor(seconds(5));
    for (const std::uint64_t sequence : asked) {
      REQUIRE(fleet.AnswerOf(kThird, sequence) != nullptr);
      CHECK(NameOf(fleet.AnswerOf(kThird, sequence)->reason) == "none");
    }
  }

  SECTION("but rejects requests when it remains behind") {
    fleet.StepFor(seconds(3));
    const std::uint64_t late = fleet.SendRequest(kThird);
    REQUIRE(fleet.AnswerOf(kThird, late) != nullptr);
    CHECK(NameOf(fleet.AnswerOf(kThird, late)->reason) == "not-ready");
    CHECK_FALSE(fleet.entries[kThird].ready);
  }

  SECTION("but rejects requests after a pause until it has read the log") {
    fleet.entries[kThird].frozen = true;
    fleet.StepFor(std::chrono::milliseconds(700));
    fleet.entries[kThird].frozen = false;
    fleet.StepFor(2 * entry_fleet::kStep);
    const std::uint64_t late = fleet.SendRequest(kThird);
    REQUIRE(fleet.AnswerOf(kThird, late) != nullptr);
    CHECK(NameOf(fleet.AnswerOf(kThird, late)->reason) == "not-ready");
  }
}

// An entry is frozen (a paused VM) until after it was expelled and then
// resumes. Its claims, calls and lease belong to an incarnation that the others
// have ended. It must not dispatch the requests it held, and it must restart.
TEST_CASE("An entry is frozen until after its expulsion and resumes") {
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

// Callers with keys are answered not-run at once while the log is unavailable;
// callers without keys are served as usual. When the log is available again,
// keys are served again, including those rejected before.
TEST_CASE("The log is temporarily unavailable") {
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

// A wave reboots every VM under load. Each VM is drained first: owners stop
// sending, running requests complete, and only then the VM is rebooted, so no
// request is interrupted and callers notice nothing.
TEST_CASE("A wave completes under load") {
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

// An entry is asked to stop under load. It must serve until the load balancer
// has detected that it is not ready, complete its running requests, leave the
// view and exit.
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
