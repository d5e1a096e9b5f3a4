#include "plantainhead/core/jobs/arrival_rate_monitor.h"

#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_sizer.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kVmMillis = 16000;

// Six tasks of 0.9 cores, 1 s each: 5.4 core-seconds.
job_spec ShortJob() {
  job_spec job;
  step_spec step;
  step.task_count = 6;
  step.need = {900, 500, 0};
  step.estimate = seconds(1);
  job.steps = {step};
  return job;
}

// The pattern: for some 14 s a queue brings a job every 3 s, and then, in its
// turn, 30 a second for 5 s. Each takes 5.4 core-seconds, so that the turn
// takes 162 cores; VMs have 16. They come 1.5 s after they are asked for, and a
// job may wait about that long before it is late. What counts is how soon after
// the first job the pool asks for all that the turn will take.
TEST_CASE("A queue's turn is noticed by its first jobs") {
  arrival_rate_monitor monitor{arrival_rate_settings()};
  time_point now{std::chrono::hours(1)};
  for (int i = 0; i < 5; ++i) {
    now += seconds(3);
    monitor.RecordArrival(ShortJob(), now);
    CHECK(monitor.RisingDemand(now) == resources());
  }
  now += seconds(1);
  const time_point began = now;
  const auto pass_turn = [&](milliseconds time) {
    for (; now < began + time; now += milliseconds(33)) {
      monitor.RecordArrival(ShortJob(), now);
    }
  };

  SECTION("Within 0.2 s half of what it takes is asked for, in 0.4 s all") {
    pass_turn(milliseconds(200));
    CHECK(monitor.RisingDemand(now).cpu_millis >= 81000);
    pass_turn(milliseconds(400));
    CHECK(monitor.RisingDemand(now).cpu_millis >= 155000);

    SECTION("where what waits and runs would have asked for a quarter") {
      pool_load load;
      load.vm_capacity = {kVmMillis, 64000, 0};
      load.usable_vms = 5;
      // 12 jobs have come; 4 VMs' worth of tasks run, and hardly any waits yet.
      load.used = {65000, 0, 0};
      const std::uint32_t by_backlog =
          pool_sizer(sizer_settings()).Update(load, false, now);
      load.rising = monitor.RisingDemand(now);
      const std::uint32_t by_rate =
          pool_sizer(sizer_settings()).Update(load, false, now);
      CHECK(by_backlog == 7);
      CHECK(by_rate >= 13);
    }
  }

  // Guards against a large pool that asks for its VMs bit by bit, each part
  // 1.5 s before it comes: its first jobs pass for a fraction of their rate.
  SECTION("Where jobs come fast, all is asked for within 0.1 s") {
    for (int i = 1; i <= 20; ++i) {
      now += milliseconds(5);
      monitor.RecordArrival(ShortJob(), now);
    }
    CHECK(monitor.RisingDemand(now).cpu_millis >= 1'000'000);
  }

  SECTION("Once it is under way, what waits tells enough") {
    pass_turn(milliseconds(2500));
    CHECK(monitor.RisingDemand(now) == resources());
  }

  SECTION("Lasting steps bring no rate") {
    job_spec long_running = ShortJob();
    long_running.steps[0].long_running = true;
    for (int i = 0; i < 20; ++i) {
      monitor.RecordArrival(long_running, now);
    }
    CHECK(monitor.RisingDemand(now) == resources());
  }
}

// Guards against a turn that isn't noticed: jobs that were handed in seconds
// before count for the calm before it.
TEST_CASE("A rise is noticed also after jobs that were read late") {
  arrival_rate_monitor monitor{arrival_rate_settings()};
  time_point now{std::chrono::hours(1)};
  monitor.RecordArrival(ShortJob(), now);
  for (int i = 0; i < 40; ++i) {
    monitor.RecordArrival(ShortJob(), now, milliseconds(2500));
  }
  now += milliseconds(1500);
  for (int i = 0; i < 12; ++i) {
    now += milliseconds(33);
    monitor.RecordArrival(ShortJob(), now);
  }
  CHECK(monitor.RisingDemand(now).cpu_millis >= 155000);
}

TEST_CASE("Jobs that come evenly, or two at once, are no rise") {
  arrival_rate_monitor monitor{arrival_rate_settings()};
  time_point now{std::chrono::hours(1)};

  SECTION("ten a second, for long") {
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(100);
      monitor.RecordArrival(ShortJob(), now);
      if (i > 30) {
        CHECK(monitor.RisingDemand(now) == resources());
      }
    }
  }

  // In a turn of 20 jobs a second one of 40 is five times as large as the
  // others. Taken for a rise, it drew 67 VMs to a pool whose turn was ending,
  // and the next pool's turn found none.
  SECTION("a few large ones among many") {
    job_spec large = ShortJob();
    large.steps[0].task_count = 32;
    for (int i = 0; i < 120; ++i) {
      now += milliseconds(50);
      monitor.RecordArrival(i % 40 == 39 ? large : ShortJob(), now);
      if (i % 40 == 39) {
        monitor.RecordArrival(large, now);
      }
      if (i > 60) {
        CHECK(monitor.RisingDemand(now) == resources());
      }
    }
  }

  // An owner whose reading has hung, or that has just taken over, reads at once
  // what has come in a second or more. Taken for a steep rise, that drew VMs
  // for ten times the rate.
  SECTION("ten a second that are read together") {
    for (int i = 0; i < 40; ++i) {
      now += milliseconds(100);
      monitor.RecordArrival(ShortJob(), now);
    }
    now += milliseconds(1500);
    for (int i = 0; i < 15; ++i) {
      monitor.RecordArrival(ShortJob(), now, i * milliseconds(100));
    }
    CHECK(monitor.RisingDemand(now) == resources());
  }

  SECTION("many that are older than what it looks at") {
    for (int i = 0; i < 40; ++i) {
      monitor.RecordArrival(ShortJob(), now, seconds(4));
    }
    CHECK(monitor.RisingDemand(now) == resources());
  }

  SECTION("two after a calm") {
    monitor.RecordArrival(ShortJob(), now);
    monitor.RecordArrival(ShortJob(), now);
    CHECK(monitor.RisingDemand(now) == resources());
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
