#include "plantainhead/core/membership.h"

#include <catch2/catch.hpp>

#include <string>

#include "plantainhead/core/events.h"

namespace plantainhead::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{std::chrono::hours(24 * 365 * 55)};

entry_member Member(std::uint64_t number) {
  entry_member member;
  member.who = incarnation{number};
  member.name = entry_id("entry-" + std::to_string(number));
  member.host = "127.0.0.1";
  member.peer_port = static_cast<std::uint16_t>(7000 + number);
  return member;
}

heartbeat_contents CaughtUp() {
  heartbeat_contents contents;
  contents.caught_up = true;
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

// One entry's membership with a fold that the test writes by hand.
struct lone_entry {
  fleet_state fleet;
  heartbeat_contents contents = CaughtUp();
  membership self{Member(1), {}};
  time_point now = kStart;
  std::uint64_t sequence = 0;

  void Hold(std::initializer_list<std::uint64_t> numbers) {
    fleet.members.clear();
    for (const std::uint64_t number : numbers) {
      fleet.members[incarnation{number}] = Member(number);
    }
    ++fleet.view;
  }

  void Hear(std::uint64_t number) {
    heartbeat beat;
    beat.sequence = ++sequence;
    self.OnFrame({incarnation{number}, fleet.view, beat}, now);
  }

  // Lets time pass in ticks, hearing from `heard` at each.
  effects Run(duration time, std::initializer_list<std::uint64_t> heard = {}) {
    effects out;
    const time_point end = now + time;
    while (now < end) {
      now += kTickInterval;
      for (const std::uint64_t number : heard) {
        Hear(number);
      }
      self.OnTick(fleet, contents, now, out);
    }
    return out;
  }
};

TEST_CASE("An entry joins") {
  lone_entry entry;

  SECTION("once while its record is on its way") {
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(4))).size() == 1);
  }

  SECTION("again when the record doesn't come back") {
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(6))).size() == 2);
  }

  SECTION("not before it has caught up") {
    entry.contents.caught_up = false;
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(6))).empty());
  }

  SECTION("not while it stops") {
    entry.contents.stopping = true;
    CHECK(RecordsOf<join_entry>(entry.Run(seconds(6))).empty());
  }

  SECTION("and then tells the others how it is") {
    entry.Hold({1, 2, 3});
    const effects out = entry.Run(seconds(1), {2, 3});
    CHECK(out.actions.size() == 10);
    const auto& sent = std::get<send_frame>(out.actions.front());
    CHECK(sent.to == incarnation{2});
    CHECK(sent.port == 7002);
    CHECK(sent.frame.from == incarnation{1});
  }
}

TEST_CASE("An entry accuses a member that it doesn't hear") {
  lone_entry entry;
  entry.Hold({1, 2, 3});
  entry.Run(seconds(1), {2, 3});

  SECTION("after the timeout, once") {
    CHECK(RecordsOf<accuse_entry>(entry.Run(milliseconds(980), {2})).empty());
    CHECK_FALSE(entry.self.Suspects(incarnation{3}));
    const auto accusations =
        RecordsOf<accuse_entry>(entry.Run(seconds(3), {2}));
    REQUIRE(accusations.size() == 1);
    CHECK(accusations.front().accused == incarnation{3});
    CHECK(entry.self.Suspects(incarnation{3}));
  }
}

}  // namespace
}  // namespace plantainhead::core
