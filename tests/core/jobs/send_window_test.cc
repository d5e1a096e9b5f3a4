#include "core/jobs/send_window.h"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <vector>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick(1);
constexpr milliseconds kTimeout(700);
constexpr int kRounds = 60'000;

struct link_counts {
  int answered = 0;
  int timed_out = 0;
};

// Simulates an owner with a backlog of starts and a link that transmits one
// order in each `spacing`, in order. Orders that are not answered within the
// timeout are given up but still take their time on the link.
link_counts Simulate(duration spacing, bool has_window) {
  send_window window;
  std::deque<time_point> waiting;
  link_counts counts;
  time_point now(seconds(1));
  time_point free_at = now;
  std::size_t given_up = 0;
  for (int i = 0; i < kRounds; ++i, now += kTick) {
    const std::size_t max_in_flight = has_window ? window.size() : 512;
    while (waiting.size() - given_up < max_in_flight) {
      waiting.push_back(now);
    }
    while (given_up < waiting.size() && now - waiting[given_up] >= kTimeout) {
      ++given_up;
      ++counts.timed_out;
      window.NoteResult(kTimeout, now);
    }
    while (free_at <= now && !waiting.empty()) {
      const duration took = now - waiting.front();
      waiting.pop_front();
      free_at += spacing;
      if (given_up > 0) {
        --given_up;
        continue;
      }
      ++counts.answered;
      window.NoteResult(took, now);
    }
  }
  return counts;
}

// Guards against an owner with a saturated link that sends more starts than can
// be answered in time: it has to stop the runs whose state is unknown and
// starts them again.
TEST_CASE("The starts in flight follow the capacity of the link") {
  SECTION("few time out on a link that carries 200 a second") {
    const link_counts counts = Simulate(milliseconds(5), true);
    CHECK(counts.timed_out * 10 < counts.answered);

    SECTION("and the link is still well used") {
      constexpr int kCarried = 200 * 60;
      CHECK(counts.answered * 10 > kCarried * 8);
    }
  }

  SECTION("most time out without a window") {
    const link_counts counts = Simulate(milliseconds(5), false);
    CHECK(counts.timed_out > counts.answered);
  }

  SECTION("a link with enough capacity is not limited") {
    send_window window;
    for (int i = 0; i < 1000; ++i) {
      window.NoteResult(milliseconds(6), time_point(milliseconds(i)));
    }
    CHECK(window.size() == 512);
    CHECK(window.delay() == duration::zero());
  }

  // Guards against a pool whose starts wait for those on one VM that does not
  // answer.
  SECTION("nor is a link with one peer that does not answer") {
    send_window window;
    time_point now(seconds(1));
    for (int i = 0; i < 10'000; ++i, now += kTick) {
      window.NoteResult(i % 100 == 0 ? kTimeout : milliseconds(6), now);
    }
    CHECK(window.size() == 512);
  }

  SECTION("and the response time is returned while it is high") {
    send_window window;
    for (int i = 0; i < 100; ++i) {
      window.NoteResult(milliseconds(650), time_point(seconds(i)));
    }
    CHECK(window.delay() > milliseconds(600));
    CHECK(window.size() < 20);
  }
}

// Guards against a backlog that is ordered all at once.
TEST_CASE("An owner orders no more starts than may be in flight") {
  scheduler_driver driver;
  std::vector<vm_description> vms;
  constexpr int kVms = 100;
  for (int i = 0; i < kVms; ++i) {
    vms.push_back(Vm("vm-" + std::to_string(i)));
  }
  driver.Register(vms);
  driver.Add(Job("job", {Step(700)}));
  const auto starts = driver.Starts();
  CHECK(starts.size() == 512);
  CHECK(driver.scheduler.IsStartWindowFull());
  CHECK(driver.Starts().empty());

  SECTION("and continues when VMs have answered") {
    for (const start_order& start : starts) {
      driver.scheduler.OnStartAnswer(start.target, start_result::kStarted,
                                     driver.now);
    }
    CHECK(driver.Starts().size() == 188);
    CHECK_FALSE(driver.scheduler.IsStartWindowFull());
  }

  SECTION("and has half as many in flight once answers are missing") {
    driver.Pass(milliseconds(700));
    for (const start_order& start : starts) {
      driver.scheduler.OnStartAnswer(start.target, start_result::kUnknown,
                                     driver.now);
    }
    CHECK(driver.Starts().size() <= 256);
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
