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

// Load pattern: for about 14 s a queue receives one job every 3 s, and then 30
// jobs per second for 5 s. Each job takes 5.4 core-seconds, so the burst needs
// 162 cores; a VM has 16. VMs arrive 1.5 s after they are requested, and a job
// can wait about that long before it is late. The test checks how soon after
// the first job the full demand of the burst is requested.
TEST_CASE("A queue's burst is detected from its first jobs") {
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

  SECTION("Half of the demand is predicted within 0.2 s, all of it in 0.4 s") {
    pass_turn(milliseconds(200));
    CHECK(monitor.RisingDemand(now).cpu_millis >= 81000);
    pass_turn(milliseconds(400));
    CHECK(monitor.RisingDemand(now).cpu_millis >= 155000);

    SECTION("while used and waiting resources alone show a quarter") {
      pool_load load;
      load.vm_capacity = {kVmMillis, 64000, 0};
      load.usable_vms = 5;
      // 12 jobs have arrived. Running tasks fill 4 VMs, and hardly any task
      // waits yet.
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

  // Guards against a large pool that requests its VMs in small steps, each 1.5
  // s before they arrive, because the rate is underestimated while the first
  // jobs fill only part of the window.
  SECTION("At a high arrival rate all is predicted within 0.1 s") {
    for (int i = 1; i <= 20; ++i) {
      now += milliseconds(5);
      monitor.RecordArrival(ShortJob(), now);
    }
    CHECK(monitor.RisingDemand(now).cpu_millis >= 1'000'000);
  }

  SECTION("No rise is reported late in the burst") {
    pass_turn(milliseconds(2500));
    CHECK(monitor.RisingDemand(now) == resources());
  }

  SECTION("Long-running steps do not count towards the rate") {
    job_spec long_running = ShortJob();
    long_running.steps[0].long_running = true;
    for (int i = 0; i < 20; ++i) {
      monitor.RecordArrival(long_running, now);
    }
    CHECK(monitor.RisingDemand(now) == resources());
  }
}

// Guards against a burst that is not detected because jobs that were submitted
// seconds ago are counted in the baseline.
TEST_CASE("A rise is detected after jobs that were read late") {
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

TEST_CASE("A constant rate or two jobs at once are not a rise") {
  arrival_rate_monitor monitor{arrival_rate_settings()};
  time_point now{std::chrono::hours(1)};

  SECTION("ten jobs per second for a long time") {
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(100);
      monitor.RecordArrival(ShortJob(), now);
      if (i > 30) {
        CHECK(monitor.RisingDemand(now) == resources());
      }
    }
  }

  // In a burst of 20 jobs per second one job in 40 is five times as large as
  // the others. When this was reported as a rise, a pool whose burst was ending
  // received 67 VMs, and none were left for the next pool's burst.
  SECTION("a few large jobs among many small ones") {
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

  // An owner whose reads have stalled, or that has just taken over, reads the
  // jobs of a second or more at once. When this was reported as a steep rise,
  // VMs were requested for ten times the actual rate.
  SECTION("ten jobs per second that are read together") {
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

  SECTION("many jobs that are older than the baseline window") {
    for (int i = 0; i < 40; ++i) {
      monitor.RecordArrival(ShortJob(), now, seconds(4));
    }
    CHECK(monitor.RisingDemand(now) == resources());
  }

  SECTION("two jobs after an idle period") {
    monitor.RecordArrival(ShortJob(), now);
    monitor.RecordArrival(ShortJob(), now);
    CHECK(monitor.RisingDemand(now) == resources());
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
