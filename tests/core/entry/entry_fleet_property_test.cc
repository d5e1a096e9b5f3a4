#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "core/entry/entry_fleet.h"
#include "plantainhead/core/random.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 5;
constexpr int kRounds = 250;

// A fleet with random faults. Callers send requests to any running entry, and
// retry keys at other entries while the first request is still running.
struct faulty_fleet : entry_fleet {
  explicit faulty_fleet(std::uint64_t seed)
      : entry_fleet(kEntries), random(seed) {
    for (const std::string zone : {"suwon", "goyang", "seongnam"}) {
      AddVm(zone + "-1", zone);
      AddVm(zone + "-2", zone);
    }
    Begin();
  }

  struct sent_request {
    incarnation at;
    std::uint64_t sequence;
    std::string key;
  };

  incarnation RandomEntry() { return incarnation{1 + random() % started_}; }

  void SendSomeRequests() {
    for (int i = 0; i < 3; ++i) {
      const incarnation at = RandomEntry();
      entry& item = entries[at];
      if (!item.alive || item.exited || item.frozen) {
        continue;
      }
      // Two thirds of the keys are new; the others are one of the last few.
      keys_ += random() % 3 == 0 ? 0 : 1;
      const std::string key = std::to_string(keys_ - random() % 2);
      const duration timeout = milliseconds(100 + random() % 4000);
      asked.push_back({at, SendRequest(at, key, timeout), "surgery/" + key});
    }
  }

  void InjectFault() {
    entry& item = entries[RandomEntry()];
    switch (random() % 60) {
      case 0:
        item.frozen = true;
        return;
      case 1:
      case 2:
        BreakSomeConnection();
        return;
      case 3:
        log_is_down = true;
        return;
      case 4:
        item.log_is_slow = true;
        return;
      case 5:
        Kill(RandomEntry());
        return;
      case 6:
        item.inbox.push_back(stop_requested{});
        return;
      case 7:
      case 8:
      case 9:
        Heal();
        return;
      default:
        return;
    }
  }

  void BreakSomeConnection() {
    const incarnation left = RandomEntry();
    const incarnation right = RandomEntry();
    if (left != right) {
      Disconnect(left, right);
    }
  }

  // Ends all faults and replaces entries that were killed or have exited.
  void Heal() {
    log_is_down = false;
    const auto gone =
        std::count_if(entries.begin(), entries.end(), [](const auto& item) {
          return !item.second.alive || item.second.exited;
        });
    while (started_ < kEntries + static_cast<std::uint64_t>(gone)) {
      Add(++started_);
    }
    for (auto& [who, item] : entries) {
      item.frozen = false;
      item.log_is_slow = false;
    }
  }

  std::vector<sent_request> asked;
  random_source random;

 private:
  std::uint64_t keys_ = 1;
  std::uint64_t started_ = kEntries;
};

// Entries are frozen, killed and stopped, connections break, the log is
// unavailable or late, and callers retry at other entries. Every answer must be
// correct: no key runs twice, not-run means that the request was not run, done
// means that it was, and each request gets exactly one answer unless its entry
// was killed.
TEST_CASE("Answers to callers are correct under random faults") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    faulty_fleet fleet(seed);
    for (int round = 0; round < kRounds; ++round) {
      fleet.SendSomeRequests();
      fleet.InjectFault();
      fleet.StepFor(entry_fleet::kStep * (1 + fleet.random() % 4));
    }
    fleet.Heal();
    fleet.StepFor(seconds(15));

    INFO("seed " << seed);
    CHECK(fleet.duplicate_answers == 0);
    for (const auto& item : fleet.asked) {
      INFO(item.key << " at " << static_cast<std::uint64_t>(item.at) << ", "
                    << item.sequence);
      REQUIRE(fleet.runs_of_key[item.key] <= 1);
      const response* answer = fleet.AnswerOf(item.at, item.sequence);
      if (answer == nullptr) {
        REQUIRE_FALSE(fleet.entries[item.at].alive);
        continue;
      }
      const int runs =
          fleet.runs_of_mark[entry_fleet::MarkOf(item.at, item.sequence)];
      if (answer->result == outcome::kNotRun) {
        REQUIRE(runs == 0);
        REQUIRE(answer->retry_after.has_value());
      }
      if (answer->result == outcome::kDone) {
        REQUIRE(fleet.runs_of_key[item.key] == 1);
      }
    }
  }
}

}  // namespace
}  // namespace plantainhead::core
