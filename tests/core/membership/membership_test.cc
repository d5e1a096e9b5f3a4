#include "plantainhead/core/membership/membership.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

#include "plantainhead/core/entry/events.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{std::chrono::hours(24 * 365 * 55)};

using numbers = std::vector<std::uint64_t>;

entry_member Member(std::uint64_t number) {
  entry_member member;
  member.who = incarnation{number};
  member.name = entry_id("entry-" + std::to_string(number));
  member.zone = zone_id("zone-" + std::to_string(number % 3));
  member.host = "127.0.0.1";
  member.peer_port = static_cast<std::uint16_t>(7000 + number);
  return member;
}

heartbeat_contents CaughtUp() {
  heartbeat_contents contents;
  contents.caught_up = true;
  contents.ready = true;
  return contents;
}

template <typename Record>
std::vector<Record> RecordsOf(const effects& out) {
  std::vector<Record> found;
  for (const record_body& body : out.records) {
    if (const auto* item = std::get_if<Record>(&body)) {
      found.push_back(*item);
    }
  }
  return found;
}

std::size_t CountFrames(const effects& out, std::uint64_t to, bool complete) {
  return std::count_if(
      out.actions.begin(), out.actions.end(), [&](const action& item) {
        const auto* sent = std::get_if<send_frame>(&item);
        return sent != nullptr && sent->to == incarnation{to} &&
               std::get<heartbeat>(sent->frame.message).complete == complete;
      });
}

membership_options OptionsWithWatchers(std::size_t count) {
  membership_options options;
  options.watchers = count;
  return options;
}

// Membership of entry 1 with a fold that the test controls.
struct membership_harness {
  explicit membership_harness(std::size_t watchers = 99)
      : self(Member(1), OptionsWithWatchers(watchers)) {}

  void SetMembers(const numbers& members) {
    std::map<incarnation, entry_member> kept;
    for (const std::uint64_t number : members) {
      const incarnation who{number};
      kept[who] =
          fleet.members.contains(who) ? fleet.members[who] : Member(number);
    }
    fleet.members = std::move(kept);
    fleet.view = ++fleet.offset;
  }

  void ReceiveHeartbeat(std::uint64_t number,
                        std::vector<incarnation> suspected = {}) {
    heartbeat beat;
    beat.sequence = ++sequence;
    beat.complete = false;
    beat.suspected = std::move(suspected);
    self.OnFrame({incarnation{number}, fleet.view, beat}, now);
  }

  // Advances the time in ticks; a heartbeat of each of `heard` is received at
  // each tick.
  effects Run(duration time, const numbers& heard = {}) {
    effects out;
    const time_point end = now + time;
    while (now < end) {
      now += kTickInterval;
      for (const std::uint64_t number : heard) {
        ReceiveHeartbeat(number);
      }
      self.OnTick(fleet, contents, now, out);
    }
    return out;
  }

  fleet_state fleet;
  heartbeat_contents contents = CaughtUp();
  membership self;
  time_point now = kStart;
  std::uint64_t sequence = 0;
};

TEST_CASE("An entry joins") {
  membership_harness entry;

  SECTION("once while its record is pending") {
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(4))).size() == 1);
  }

  SECTION("again when the record is not read back") {
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(6))).size() == 2);
  }

  SECTION("not before it has caught up") {
    entry.contents.caught_up = false;
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(6))).empty());
  }

  SECTION("not while it stops or the log is unreachable") {
    entry.contents.stopping = true;
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(6))).empty());
    entry.contents.stopping = false;
    entry.contents.log_unreachable = true;
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(6))).empty());
  }

  SECTION("and leaves, retrying until the fold has applied the record") {
    entry.Run(seconds(1));
    entry.SetMembers({1, 2});
    entry.Run(seconds(1), {2});
    effects out;
    entry.self.Leave(entry.fleet, out);
    entry.self.Leave(entry.fleet, out);
    CHECK(RecordsOf<leave_entry>(out).size() == 1);
    CHECK(RecordsOf<leave_entry>(entry.Run(seconds(6), {2})).size() == 1);
    entry.SetMembers({2});
    out = entry.Run(seconds(6));
    CHECK(out.records.empty());
    CHECK_FALSE(entry.self.expelled());
  }
}

TEST_CASE("An entry sends heartbeats to the others") {
  membership_harness entry(2);
  entry.contents.load = {{service_name("intake"), 8, 1, 0}};
  entry.SetMembers({1, 2, 3, 4, 5, 6});
  const numbers others{2, 3, 4, 5, 6};
  entry.Run(seconds(2), others);

  SECTION("often to its watchers, in turn to all others") {
    const effects out = entry.Run(seconds(2), others);
    std::size_t watchers = 0;
    for (const std::uint64_t other : others) {
      const std::size_t small = CountFrames(out, other, false);
      CHECK((small == 0 || small == 10));
      watchers += small == 10;
      CHECK(CountFrames(out, other, true) == 2);
    }
    CHECK(watchers == 2);
  }

  SECTION("at once to all others when it stops") {
    entry.contents.stopping = true;
    const effects out = entry.Run(milliseconds(200), others);
    for (const std::uint64_t other : others) {
      CHECK(CountFrames(out, other, false) >= 1);
    }
  }

  // The planner reboots a VM once every member has reported, after the drain,
  // that it has no requests in flight there. If this waited for the regular
  // complete heartbeats, a drain in a large fleet would take many seconds.
  // Therefore the planner is notified at once.
  SECTION("at once to the planner when the phase of a VM has changed") {
    entry.fleet.lease.holder = incarnation{5};
    entry.Run(seconds(1), others);
    entry.fleet.vms[vm_id("vm-1")].version = ++entry.fleet.offset;
    const effects out = entry.Run(milliseconds(40), others);
    CHECK(CountFrames(out, 5, true) >= 1);

    entry.contents.in_flight = {{vm_id("vm-1"), 2}};
    CHECK(CountFrames(entry.Run(milliseconds(220), others), 5, true) >= 1);
  }

  SECTION("in numbered frames that carry the view") {
    const effects out = entry.Run(milliseconds(200), others);
    const auto& sent = std::get<send_frame>(out.actions.front());
    CHECK(sent.frame.from == incarnation{1});
    CHECK(sent.frame.view == entry.fleet.view);
    CHECK(sent.port == 7000 + static_cast<std::uint64_t>(sent.to));
  }
}

TEST_CASE("An entry stores the heartbeats of the others") {
  membership_harness entry;
  entry.SetMembers({1, 2, 3});
  entry.Run(seconds(1), {2, 3});
  heartbeat beat;
  beat.sequence = 1000;
  beat.offset = 7;
  beat.in_flight = {{vm_id("vm-1"), 2}};
  entry.self.OnFrame({incarnation{2}, 1, beat}, entry.now);

  // A small heartbeat has a newer offset and no requests in flight. If both
  // were stored, it would seem that the member has applied the drain and has no
  // requests in flight, and the planner would reboot the VM with two requests
  // running.
  SECTION("the offset together with the requests in flight") {
    beat = heartbeat{};
    beat.sequence = 1001;
    beat.offset = 9;
    beat.complete = false;
    beat.stopping = true;
    entry.self.OnFrame({incarnation{2}, 1, beat}, entry.now);
    const peer_status* status = entry.self.StatusOf(incarnation{2});
    REQUIRE(status != nullptr);
    CHECK(status->last.offset == 7);
    CHECK(status->last.in_flight.size() == 1);
    CHECK(status->last.stopping);
  }

  SECTION("but not older heartbeats than the latest") {
    beat.sequence = 999;
    beat.offset = 3;
    entry.self.OnFrame({incarnation{2}, 1, beat}, entry.now);
    CHECK(entry.self.StatusOf(incarnation{2})->last.offset == 7);
  }

  SECTION("and nothing from entries that are not members") {
    entry.self.OnFrame({incarnation{77}, 1, beat}, entry.now);
    CHECK(entry.self.StatusOf(incarnation{77}) == nullptr);
    CHECK(FrameStatusOf(entry.fleet, {incarnation{77}, 1, beat}) ==
          frame_status::kNotMember);
  }

  SECTION("with the status of its view") {
    entry.SetMembers({1, 2, 3, 4});
    const log_offset view = entry.fleet.view;
    CHECK(FrameStatusOf(entry.fleet, {incarnation{2}, view - 1, beat}) ==
          frame_status::kOlderView);
    CHECK(FrameStatusOf(entry.fleet, {incarnation{2}, view, beat}) ==
          frame_status::kCurrent);
    CHECK(FrameStatusOf(entry.fleet, {incarnation{2}, view + 1, beat}) ==
          frame_status::kNewerView);
  }
}

TEST_CASE("An entry accuses a member from which it hears nothing") {
  membership_harness entry;
  entry.SetMembers({1, 2, 3});
  entry.Run(seconds(1), {2, 3});
  const incarnation silent{3};

  SECTION("after the timeout, once") {
    CHECK(RecordsOf<accuse_entry>(entry.Run(milliseconds(980), {2})).empty());
    CHECK_FALSE(entry.self.Suspects(silent));
    const auto accusations =
        RecordsOf<accuse_entry>(entry.Run(seconds(3), {2}));
    REQUIRE(accusations.size() == 1);
    CHECK(accusations.front().accused == silent);
    CHECK(entry.self.Suspects(silent));
  }

  SECTION("and withdraws once the member has recovered") {
    entry.Run(seconds(2), {2});
    entry.fleet.members[silent].accusers.insert(incarnation{1});
    CHECK(entry.Run(milliseconds(980), {2, 3}).records.empty());
    CHECK_FALSE(entry.self.Suspects(silent));
    const effects out = entry.Run(seconds(2), {2, 3});
    CHECK(RecordsOf<withdraw_accusation>(out).size() == 1);
  }

  SECTION("with a longer delay each time the member fails again") {
    for (int times = 0; times < 2; ++times) {
      entry.Run(seconds(2), {2});
      entry.fleet.members[silent].accusers.insert(incarnation{1});
      const effects out = entry.Run(seconds(1), {2, 3});
      CHECK(RecordsOf<withdraw_accusation>(out).size() == (times == 0));
      entry.fleet.members[silent].accusers.clear();
    }
  }

  // A member fails while the log is unreachable. Routing must avoid it at once,
  // but the view cannot change. When the log is back, the member is accused if
  // it is still silent, and not if it has returned.
  SECTION("when the log is back, if it was unreachable") {
    entry.contents.log_unreachable = true;
    CHECK(entry.Run(seconds(20), {2}).records.empty());
    CHECK(entry.self.Suspects(silent));
    SECTION("and the member is still silent") {
      entry.contents.log_unreachable = false;
      CHECK(RecordsOf<accuse_entry>(entry.Run(seconds(1), {2})).size() == 1);
    }
    SECTION("and the member is back") {
      entry.Run(seconds(2), {2, 3});
      entry.contents.log_unreachable = false;
      CHECK(entry.Run(seconds(1), {2, 3}).records.empty());
    }
  }
}

// The host of an entry is suspended for three seconds (SIGSTOP, a live
// migration). When the entry resumes, its latest heartbeats from all others are
// three seconds old; if it acted on them, it would accuse the whole fleet.
TEST_CASE("An entry that was suspended accuses nobody when it resumes") {
  membership_harness entry;
  entry.SetMembers({1, 2, 3});
  entry.Run(seconds(1), {2, 3});
  entry.now += seconds(3);

  SECTION("while it receives heartbeats again") {
    const effects out = entry.Run(seconds(3), {2, 3});
    CHECK(out.records.empty());
    CHECK_FALSE(entry.self.Suspects(incarnation{2}));
    CHECK(CountFrames(out, 2, false) > 0);
  }

  SECTION("except a member that stays silent for a full timeout") {
    CHECK(entry.Run(milliseconds(960), {2}).records.empty());
    CHECK(RecordsOf<accuse_entry>(entry.Run(seconds(1), {2})).size() == 1);
  }

  SECTION("and detects its expulsion once the fold shows it") {
    entry.SetMembers({2, 3});
    const effects out = entry.Run(seconds(10), {2, 3});
    CHECK(entry.self.expelled());
    CHECK(out.records.empty());
    CHECK(out.actions.empty());
  }
}

// On the ring an entry receives heartbeats from most other members rarely. The
// watchers of a failed member detect the failure first and report it; the
// others follow when most of its watchers agree.
TEST_CASE("An entry follows the watchers of a member that it does not watch") {
  membership_harness entry(3);
  entry.SetMembers({1, 2, 3, 4, 5, 6, 7, 8, 9});
  const watch_ring ring(entry.fleet.members, 3);
  incarnation gone = incarnation::kNone;
  for (const auto& [who, member] : entry.fleet.members) {
    const bool watched = ring.Watches(incarnation{1}, who);
    if (who != incarnation{1} && !watched) {
      gone = who;
    }
  }
  numbers alive;
  for (std::uint64_t number = 2; number <= 9; ++number) {
    if (incarnation{number} != gone) {
      alive.push_back(number);
    }
  }
  entry.Run(seconds(1), alive);
  const std::vector<incarnation> watchers = ring.WatchersOf(gone);
  const auto say = [&](std::size_t count) {
    effects out;
    for (int i = 0; i < 100; ++i) {
      entry.now += kTickInterval;
      for (const std::uint64_t number : alive) {
        const auto end = watchers.begin() + static_cast<std::ptrdiff_t>(count);
        const bool speaks =
            std::find(watchers.begin(), end, incarnation{number}) != end;
        entry.ReceiveHeartbeat(
            number, speaks ? std::vector{gone} : std::vector<incarnation>());
      }
      entry.self.OnTick(entry.fleet, entry.contents, entry.now, out);
    }
    return out;
  };

  SECTION("not because of long silence alone") {
    CHECK(say(0).records.empty());
    CHECK_FALSE(entry.self.Suspects(gone));
  }

  // An asymmetric partition: one watcher cannot hear the member, all others
  // can.
  SECTION("not because of one watcher of three") {
    CHECK(say(1).records.empty());
    CHECK_FALSE(entry.self.Suspects(gone));
  }

  SECTION("because of two of three") {
    const auto accusations = RecordsOf<accuse_entry>(say(2));
    REQUIRE(accusations.size() == 1);
    CHECK(accusations.front().accused == gone);
    CHECK(entry.self.Suspects(gone));
  }

  SECTION("not while it hears the member itself") {
    alive.push_back(static_cast<std::uint64_t>(gone));
    CHECK(say(3).records.empty());
    CHECK_FALSE(entry.self.Suspects(gone));
  }

  SECTION("and reports to all members whom it suspects as a watcher") {
    const incarnation watched = [&] {
      for (const auto& [who, member] : entry.fleet.members) {
        if (ring.Watches(incarnation{1}, who)) {
          return who;
        }
      }
      return incarnation::kNone;
    }();
    alive.erase(std::find(alive.begin(), alive.end(),
                          static_cast<std::uint64_t>(watched)));
    const effects out = entry.Run(milliseconds(1200), alive);
    const auto tells = [&](const action& item) {
      const auto& sent = std::get<send_frame>(item);
      const auto& list = std::get<heartbeat>(sent.frame.message).suspected;
      return sent.to == gone && list == std::vector{watched};
    };
    CHECK(std::any_of(out.actions.begin(), out.actions.end(), tells));
  }
}

// Returns the members that entry 1 watches, given these members.
std::set<std::uint64_t> WatchedBy1(const numbers& members) {
  membership_harness entry;
  entry.SetMembers(members);
  const watch_ring ring(entry.fleet.members, 3);
  std::set<std::uint64_t> watched;
  for (const std::uint64_t number : members) {
    if (ring.Watches(incarnation{1}, incarnation{number})) {
      watched.insert(number);
    }
  }
  return watched;
}

// Returns a member of both views that entry 1 watches or does not watch in each
// of them, as requested.
std::uint64_t FindMember(const numbers& before,
                         const numbers& after,
                         bool watched_before,
                         bool watched_after) {
  const std::set<std::uint64_t> first = WatchedBy1(before);
  const std::set<std::uint64_t> second = WatchedBy1(after);
  for (const std::uint64_t number : after) {
    if (number != 1 && first.contains(number) == watched_before &&
        second.contains(number) == watched_after) {
      return number;
    }
  }
  FAIL("no such member");
  return 0;
}

// When a zone is lost, its first entries are expelled while the others are
// about to be suspected, and many failed members get new watchers. If each new
// watcher started its timeout again, failures would be detected after twice the
// time.
TEST_CASE(
    "A change of the ring does not restart the timeout of a failed member") {
  const numbers before{1, 2, 3, 4, 5, 6, 7, 8, 9};
  numbers after{1, 3, 4, 5, 6, 7, 8, 9};
  membership_harness entry(3);
  entry.SetMembers(before);
  entry.Run(seconds(1), {2, 3, 4, 5, 6, 7, 8, 9});
  const auto heard_without = [&](std::uint64_t dead) {
    numbers heard = after;
    std::erase(heard, dead);
    return heard;
  };

  SECTION("at an entry that watched it before") {
    const std::uint64_t dead = FindMember(before, after, true, false);
    entry.Run(milliseconds(700), heard_without(dead));
    entry.SetMembers(after);
    const effects out = entry.Run(milliseconds(400), heard_without(dead));
    const auto tells = [&](const action& item) {
      const auto* sent = std::get_if<send_frame>(&item);
      return sent != nullptr &&
             std::get<heartbeat>(sent->frame.message).suspected ==
                 std::vector{incarnation{dead}};
    };
    CHECK(std::any_of(out.actions.begin(), out.actions.end(), tells));
  }

  SECTION("at an entry that learns of it from others and is its new watcher") {
    const std::uint64_t dead = FindMember(before, after, false, true);
    entry.Run(milliseconds(980), heard_without(dead));
    entry.SetMembers(after);
    for (const std::uint64_t number : heard_without(dead)) {
      entry.ReceiveHeartbeat(number, {incarnation{dead}});
    }
    const effects out = entry.Run(milliseconds(100));
    CHECK(RecordsOf<accuse_entry>(out).size() == 1);
  }

  SECTION("and suspects no live member") {
    for (int i = 0; i < 10; ++i) {
      entry.SetMembers(i % 2 == 0 ? after : before);
      // Entry 1 is no longer a watcher and hears the others rarely.
      CHECK(entry.Run(milliseconds(600), {3}).records.empty());
      entry.Run(kTickInterval, before);
    }
  }
}

}  // namespace
}  // namespace plantainhead::core
