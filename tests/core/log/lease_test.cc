#include "plantainhead/core/log/lease.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/log/fold.h"

namespace plantainhead::core {
namespace {

using namespace std::chrono_literals;

// One entry with its own copy of the fleet state, which lags behind the shared
// log.
struct entry {
  entry(std::uint64_t number,
        planner_lease_settings settings,
        random_source* random)
      : who{number} {
    settings.self = who;
    holder.emplace(settings, random);
  }

  incarnation who;
  std::optional<planner_lease_holder> holder;
  fleet_state state;
  bool frozen = false;
  bool readable = true;
  // Appends or reads are delayed without an error being reported.
  bool sends_late = false;
  bool reads_late = false;
  // Records that have been sent but not yet written to the log.
  std::deque<record_body> sent;
};

class fleet {
 public:
  explicit fleet(int size,
                 planner_lease_settings settings = {},
                 std::uint64_t seed = 1)
      : random_(seed) {
    for (int i = 1; i <= size; ++i) {
      entries.emplace_back(static_cast<std::uint64_t>(i), settings, &random_);
      join_entry join;
      join.who = entries.back().who;
      join.name = entry_id("entry-" + std::to_string(i));
      Append(join);
    }
    for (entry& item : entries) {
      ReadAll(item);
    }
  }

  void Append(record_body body) {
    const log_offset offset = log.size() + 1;
    const record_id id("r" + std::to_string(offset));
    log.push_back({offset, {id, "", std::move(body)}});
  }
  void Deliver(entry& item) {
    if (!item.sent.empty()) {
      Append(item.sent.front());
      item.sent.pop_front();
    }
  }
  void ReadOne(entry& item) {
    if (item.state.offset < log.size()) {
      Apply(item.state, log[item.state.offset]);
      item.holder->Observe(now, item.state);
    }
  }
  void ReadAll(entry& item) {
    while (item.state.offset < log.size()) {
      ReadOne(item);
    }
  }
  void Tick(entry& item) {
    effects out;
    item.holder->OnTick(now, item.state, item.readable, out);
    for (record_body& body : out.records) {
      item.sent.push_back(std::move(body));
    }
  }
  // Advances time while all running entries act, write and read without delay.
  void Pass(duration time) {
    constexpr duration kStep = 100ms;
    for (duration passed{}; passed < time; passed += kStep) {
      now += kStep;
      for (entry& item : entries) {
        if (!item.frozen) {
          Tick(item);
        }
        while (!item.frozen && item.readable && !item.sent.empty()) {
          Deliver(item);
        }
      }
      for (entry& item : entries) {
        if (!item.frozen && item.readable) {
          ReadAll(item);
        }
      }
    }
  }
  std::vector<entry*> Holders() {
    std::vector<entry*> holders;
    for (entry& item : entries) {
      if (item.holder->Holds(now)) {
        holders.push_back(&item);
      }
    }
    return holders;
  }

  time_point now{};
  std::vector<log_entry> log;
  std::deque<entry> entries;

 private:
  random_source random_;
};

TEST_CASE("Nine entries agree on a planner") {
  fleet nine(9);
  nine.Pass(3s);
  REQUIRE(nine.Holders().size() == 1);
  entry& planner = *nine.Holders().front();
  CHECK(planner.holder->epoch() == 1);

  SECTION("which stays the planner") {
    nine.Pass(60s);
    CHECK(nine.Holders() == std::vector<entry*>{&planner});
    CHECK(planner.holder->epoch() == 1);
  }

  SECTION("which freezes, is replaced, and resumes") {
    // When it resumes, it still considers its epoch current, since it has not
    // read the log. The clock alone must show that it may not act.
    planner.frozen = true;
    nine.Pass(12s);
    CHECK_FALSE(planner.holder->Holds(nine.now));
    REQUIRE(nine.Holders().size() == 1);
    CHECK(nine.Holders().front() != &planner);
    planner.frozen = false;
    nine.Pass(100ms);
    CHECK(planner.holder->epoch() == 0);
    nine.Pass(20s);
    CHECK(nine.Holders().front()->holder->epoch() == 2);
  }

  SECTION("which stays the planner after an outage of the log") {
    // No entry reads renewals while the log is unavailable. Afterwards all
    // entries first see an old renewal; none may conclude that the planner has
    // died.
    for (entry& item : nine.entries) {
      item.readable = false;
    }
    nine.Pass(60s);
    CHECK(nine.Holders().empty());
    for (entry& item : nine.entries) {
      item.readable = &item != &planner;
    }
    nine.Pass(3s);
    planner.readable = true;
    nine.Pass(1s);
    CHECK(nine.Holders() == std::vector<entry*>{&planner});
    CHECK(planner.holder->epoch() == 1);
  }

  SECTION("which leaves, and the next takes over at once") {
    nine.Append(leave_entry{planner.who});
    nine.Pass(2s);
    REQUIRE(nine.Holders().size() == 1);
    CHECK(nine.Holders().front() != &planner);
    CHECK(nine.Holders().front()->holder->epoch() == 2);
  }

  SECTION("which permanently loses a renewal and takes the lease again") {
    for (entry& item : nine.entries) {
      item.frozen = &item != &planner;
    }
    while (planner.sent.empty()) {
      nine.now += 20ms;
      nine.Tick(planner);
    }
    planner.sent.clear();
    nine.Pass(15s);
    CHECK(planner.holder->epoch() == 2);
    CHECK(planner.holder->Holds(nine.now));
  }
}

TEST_CASE("A renewal is read back late") {
  // The log writes a renewal, but the holder reads it back seconds later.
  // Others may have read it at once, so the holder must measure the lease from
  // the time it sent the renewal.
  fleet two(2);
  two.Pass(2s);
  REQUIRE(two.Holders().size() == 1);
  entry& planner = *two.Holders().front();
  while (planner.sent.empty()) {
    two.now += 20ms;
    two.Tick(planner);
  }
  const time_point sent = two.now;
  two.Deliver(planner);
  two.now = sent + 5s;
  two.ReadAll(planner);
  CHECK(planner.holder->Holds(sent + 6900ms));
  CHECK_FALSE(planner.holder->Holds(sent + 7100ms));
}

// Gives an entry a random kind of fault, or none.
void ChangeFault(entry& item, random_source& random) {
  constexpr int kKinds = 8;
  const auto kind = random() % kKinds;
  item.frozen = kind == 0;
  item.readable = kind != 1;
  item.sends_late = kind == 2 || kind == 3;
  item.reads_late = kind == 3 || kind == 4;
}

TEST_CASE("Two planners never act at the same time") {
  // Entries freeze, and appends and reads are delayed by random times and in
  // random order between entries. At each step at most one entry may act. All
  // clocks are equal here, so no margin is needed.
  const bool holds = rc::check([](std::uint64_t seed) {
    planner_lease_settings settings;
    settings.margin = 0s;
    settings.take_jitter = 100ms;
    fleet three(3, settings, seed);
    random_source random(seed);
    constexpr int kSteps = 20000;
    constexpr int kStepsPerChange = 60;
    int planned = 0;
    for (int step = 0; step < kSteps; ++step) {
      three.now += duration(random() % 150000);
      entry& item = three.entries[random() % three.entries.size()];
      if (random() % kStepsPerChange == 0) {
        ChangeFault(item, random);
      }
      if (item.frozen) {
        continue;
      }
      if (!item.sends_late) {
        three.Deliver(item);
      }
      if (item.readable && !item.reads_late) {
        three.ReadOne(item);
      }
      three.Tick(item);
      RC_ASSERT(three.Holders().size() <= 1U);
      planned += static_cast<int>(three.Holders().size());
    }
    RC_ASSERT(planned > kSteps / 10);
  });
  CHECK(holds);
}

}  // namespace
}  // namespace plantainhead::core
