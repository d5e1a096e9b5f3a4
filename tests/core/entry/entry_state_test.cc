#include <catch2/catch.hpp>

#include "core/entry/entry_fleet.h"
#include "plantainhead/core/log/digest.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr incarnation kFirst{1};
constexpr incarnation kSecond{2};
constexpr incarnation kThird{3};
constexpr incarnation kReplacement{4};

/// Three entries and three VMs; operators change the targets.
struct state_fixture : entry_fleet {
  state_fixture() : entry_fleet(3) {
    for (const std::string zone : {"suwon", "goyang", "seongnam"}) {
      AddVm(zone + "-1", zone);
    }
    Begin();
  }

  const fleet_state& Fleet(incarnation who) {
    return entries[who].core->fleet();
  }

  bool IsLive(const entry& item) const {
    return item.alive && !item.frozen && !item.exited;
  }

  /// Returns targets that are identified by their value of `within`.
  static configuration Within(duration within) {
    configuration targets = Targets();
    targets.classes.front().within = within;
    return targets;
  }

  std::uint64_t Publish(incarnation at,
                        duration within,
                        generation expected,
                        const std::string& author = "ann") {
    return Command(at, publish_configuration{Within(within), expected}, author);
  }

  /// Publishes targets and waits until the entry that received the command has
  /// answered.
  void PublishNext(incarnation at, duration within) {
    const std::uint64_t sequence =
        Publish(at, within, Fleet(at).targets_version);
    REQUIRE(StepUntil([&] { return command_answers.contains(sequence); }));
    REQUIRE(command_answers[sequence].answer.result ==
            command_result::kAccepted);
  }

  /// Steps until all running entries are at the end of the log, then compares
  /// their states.
  void CheckAllEqual() {
    const auto at_end = [&](const auto& item) {
      return !IsLive(item.second) ||
             item.second.core->fleet().offset ==
                 log.streams[kControlStream].records.size();
    };
    REQUIRE(StepUntil(
        [&] { return std::all_of(entries.begin(), entries.end(), at_end); }));
    std::set<std::uint64_t> digests;
    for (const auto& [who, item] : entries) {
      if (IsLive(item)) {
        digests.insert(Digest(item.core->fleet()));
      }
    }
    CHECK(digests.size() == 1);
  }

  void CheckAllWithin(duration within) {
    for (const auto& [who, item] : entries) {
      if (IsLive(item)) {
        CHECK(item.core->fleet().targets.classes.front().within == within);
      }
    }
  }
};

// Ann and Ben publish from the same generation at two entries. Both records may
// reach the log, whose order decides. One operator must be answered accepted;
// the other must get a conflict that names the winner. No entry may ever hold
// the loser's targets.
TEST_CASE("Two operators publish at the same time at two complete entries") {
  state_fixture fleet;
  constexpr int kRounds = 20;
  int won_by_ann = 0;
  for (int round = 0; round < kRounds; ++round) {
    fleet.log_delay = milliseconds(30) * (round % 5);
    const generation seen = fleet.Fleet(kFirst).targets_version;
    const milliseconds ann_within(1000 + round);
    const milliseconds ben_within(2000 + round);
    const bool ann_is_first = round % 2 == 0;
    std::uint64_t ann = 0;
    if (ann_is_first) {
      ann = fleet.Publish(kFirst, ann_within, seen, "ann");
    }
    const std::uint64_t ben = fleet.Publish(kSecond, ben_within, seen, "ben");
    if (!ann_is_first) {
      ann = fleet.Publish(kFirst, ann_within, seen, "ann");
    }
    REQUIRE(fleet.StepUntil([&] {
      return fleet.command_answers.contains(ann) &&
             fleet.command_answers.contains(ben);
    }));

    const answer_operator to_ann = fleet.command_answers[ann].answer;
    const answer_operator to_ben = fleet.command_answers[ben].answer;
    const bool ann_won = to_ann.result == command_result::kAccepted;
    won_by_ann += ann_won ? 1 : 0;
    const answer_operator& winner = ann_won ? to_ann : to_ben;
    const answer_operator& loser = ann_won ? to_ben : to_ann;
    CHECK(winner.result == command_result::kAccepted);
    CHECK(loser.result == command_result::kConflict);
    CHECK(loser.detail.find(ann_won ? "ann" : "ben") != std::string::npos);

    fleet.CheckAllEqual();
    fleet.CheckAllWithin(ann_won ? ann_within : ben_within);
    CHECK(fleet.Fleet(kThird).targets_author == (ann_won ? "ann" : "ben"));
  }
  CHECK(won_by_ann > 0);
  CHECK(won_by_ann < kRounds);
}

/// Publishes a series of changes and records the longest time from an answer
/// "accepted" until each running entry had the change, and any reversion to
/// older targets.
struct rollout_fixture : state_fixture {
  rollout_fixture() {
    each_step = [this] { Watch(); };
  }

  void PublishOften(int changes) {
    for (int change = 0; change < changes; ++change) {
      PublishNext(change % 2 == 0 ? kFirst : kSecond,
                  milliseconds(1000 + change));
      const generation version =
          Fleet(change % 2 == 0 ? kFirst : kSecond).targets_version;
      const time_point accepted = command_answers.rbegin()->second.at;
      REQUIRE(StepUntil([&] { return IsInForce(version); }));
      longest = std::max(longest, now - accepted);
    }
  }

  bool IsInForce(generation version) {
    return std::all_of(entries.begin(), entries.end(), [&](const auto& item) {
      return !IsLive(item.second) ||
             item.second.core->fleet().targets_version >= version;
    });
  }

  duration longest{};
  int reversions = 0;

 private:
  void Watch() {
    for (const auto& [who, item] : entries) {
      generation& seen = seen_[who];
      const generation version = item.core->fleet().targets_version;
      reversions += version < seen ? 1 : 0;
      seen = version;
    }
  }

  std::map<incarnation, generation> seen_;
};

// An operator changes targets while one entry is frozen, or the log takes
// seconds for each append and read, or both. The command is accepted when its
// entry has read the record back. It must not wait for the frozen entry, the
// others must have the change as soon as they read it, and no entry may revert
// to older targets.
TEST_CASE("A change is in force within seconds of being accepted") {
  rollout_fixture fleet;
  constexpr int kChanges = 12;

  SECTION("without faults") {
    fleet.PublishOften(kChanges);
  }
  SECTION("while one entry is frozen") {
    fleet.entries[kThird].frozen = true;
    fleet.PublishOften(kChanges);
    fleet.StepFor(seconds(10));
    fleet.entries[kThird].frozen = false;
    fleet.StepFor(seconds(10));
    CHECK(fleet.entries[kThird].exited);
  }
  SECTION("with a slow log") {
    fleet.log_delay = milliseconds(1500);
    fleet.read_interval = milliseconds(1500);
    fleet.PublishOften(kChanges);
  }
  SECTION("with a slow log while one entry is frozen") {
    fleet.log_delay = milliseconds(1500);
    fleet.read_interval = milliseconds(1500);
    fleet.entries[kThird].frozen = true;
    fleet.PublishOften(kChanges);
  }

  CHECK(fleet.longest <= seconds(7));
  CHECK(fleet.reversions == 0);
  fleet.CheckAllWithin(milliseconds(1000 + kChanges - 1));
  fleet.CheckAllEqual();
}

// An entry's VM is replaced after retention has deleted the records that
// produced the state. The new process starts from a snapshot and reads the
// remaining records one at a time. If it became ready before the end, its
// callers would be served with outdated targets.
TEST_CASE("An entry is replaced after retention has deleted records") {
  state_fixture fleet;
  fleet.Kill(kThird);
  fleet.PublishNext(kFirst, milliseconds(1500));
  auto& control = fleet.log.streams[kControlStream];
  control.begin = control.records.size();
  REQUIRE(fleet.StepUntil([&] {
    return fleet.entries[kFirst].core->control().newest_snapshot() >=
           control.begin;
  }));
  for (int change = 0; change < 10; ++change) {
    fleet.PublishNext(kFirst, milliseconds(2000 + change));
  }
  const generation newest = fleet.Fleet(kFirst).targets_version;
  const log_offset end = control.records.size();

  fleet.read_limit = 1;
  fleet.read_interval = milliseconds(200);
  int ready_too_early = 0;
  int steps_before = 0;
  fleet.Add(static_cast<std::uint64_t>(kReplacement), 3);
  fleet.each_step = [&] {
    const auto& item = fleet.entries[kReplacement];
    const bool is_newest = item.core->fleet().offset >= end &&
                           item.core->fleet().targets_version >= newest;
    ready_too_early += item.ready && !is_newest ? 1 : 0;
    steps_before += is_newest ? 0 : 1;
  };
  REQUIRE(fleet.StepUntil([&] { return fleet.entries[kReplacement].ready; }));

  CHECK(ready_too_early == 0);
  CHECK(steps_before > 10);
  CHECK(fleet.entries[kReplacement].core->control().newest_snapshot() >=
        control.begin);
  fleet.CheckAllWithin(milliseconds(2009));
  fleet.CheckAllEqual();
}

// The platform restores its log from an older backup, which lacks the newest
// targets. If entries followed it, they would revert to older targets, and new
// records in it take offsets that they have already applied. Entries must
// report the fault, write nothing, keep their targets and continue to serve
// callers.
TEST_CASE("The log returns truncated while a fleet is running") {
  state_fixture fleet;
  fleet.PublishNext(kFirst, milliseconds(1500));
  auto& control = fleet.log.streams[kControlStream];
  const std::size_t before = control.records.size();
  fleet.PublishNext(kSecond, milliseconds(2500));
  fleet.CheckAllEqual();
  control.records.resize(before);
  fleet.StepFor(seconds(5));

  const auto check_kept = [&](log_fault fault) {
    for (const incarnation who : {kFirst, kSecond, kThird}) {
      const control_log& log = fleet.entries[who].core->control();
      CHECK(NameOf(log.fault()) == NameOf(fault));
      CHECK_FALSE(log.fault_detail().empty());
      CHECK(fleet.entries[who].ready);
    }
    fleet.CheckAllWithin(milliseconds(2500));
    const std::uint64_t asked = fleet.SendRequest(kFirst);
    fleet.StepFor(seconds(2));
    REQUIRE(fleet.AnswerOf(kFirst, asked) != nullptr);
    CHECK(fleet.AnswerOf(kFirst, asked)->result == outcome::kDone);
  };

  SECTION("and remains truncated") {
    check_kept(log_fault::kTruncated);
    CHECK(control.records.size() == before);
  }
  SECTION("and others write to it") {
    const generation seen = fleet.Fleet(kFirst).targets_version;
    for (int i = 0; i < 40; ++i) {
      record other;
      other.id = record_id("other-" + std::to_string(i));
      other.author = "other";
      other.body = publish_configuration{
          state_fixture::Within(milliseconds(700)), seen + (i / 20)};
      fleet.log.Append(kControlStream, {other});
    }
    fleet.StepFor(seconds(5));
    check_kept(log_fault::kReplaced);
  }
}

// An entry's VM is replaced while the platform's log is an older backup. The
// new process can read only that copy, which does not show what was lost. If it
// became ready, its callers would be served with outdated targets.
TEST_CASE("An entry starts while the log is shorter than the fleet's state") {
  state_fixture fleet;
  fleet.PublishNext(kFirst, milliseconds(1500));
  auto& control = fleet.log.streams[kControlStream];
  const std::size_t before = control.records.size();
  fleet.PublishNext(kSecond, milliseconds(2500));
  fleet.CheckAllEqual();
  control.records.resize(before);
  fleet.StepFor(seconds(2));
  fleet.Add(static_cast<std::uint64_t>(kReplacement));

  int ready_with_older = 0;
  fleet.each_step = [&] {
    const auto& item = fleet.entries[kReplacement];
    ready_with_older += item.ready ? 1 : 0;
  };
  fleet.StepFor(seconds(30));

  CHECK(ready_with_older == 0);
  fleet.entries.erase(kReplacement);
  fleet.CheckAllWithin(milliseconds(2500));
}

}  // namespace
}  // namespace plantainhead::core
