#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_scheduler.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against ends that are acknowledged but not counted, so that the task
// runs again. The VM lists the end after the run was presumed ended and the
// next run was placed.
TEST_CASE("An end as done counts whenever a VM lists it") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  driver.Add(Job("job", {Step(1)}));
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 1);
  const run_ref first = starts[0].target;
  const vm_id other = first.vm == "vm-1" ? "vm-2" : "vm-1";
  driver.scheduler.OnHoldUnanswered(first.vm);
  driver.Pass(seconds(5));
  driver.List(other, {}, {});
  CHECK(driver.Starts().empty());
  driver.Store();
  const auto again = driver.StartAll();
  REQUIRE(again.size() == 1);
  const run_ref second = again[0].target;
  REQUIRE(second.vm == other);
  const auto phase = [&] {
    job_phase last = job_phase::kQueued;
    for (const progress_batch& batch : driver.Store()) {
      for (const auto& [id, progress] : batch.jobs) {
        last = progress.phase;
      }
    }
    return last;
  };

  SECTION("while the next run is placed, which is then stopped") {
    driver.List(first.vm, {},
                {Ended(1, first.task, first.run, end_kind::kDone)});
    CHECK(phase() == job_phase::kCompleted);
    CHECK(driver.Starts().empty());
    REQUIRE(driver.stops.size() == 1);
    CHECK(driver.stops[0].target == second);
  }

  // Guards against tasks that start after their job was reported as completed.
  SECTION("and not while the next run may still start") {
    scheduler_driver unresolved;
    unresolved.Register({Vm("vm-1"), Vm("vm-2")});
    unresolved.Add(Job("job", {Step(1)}));
    const run_ref run = unresolved.StartAll()[0].target;
    const vm_id next = run.vm == "vm-1" ? "vm-2" : "vm-1";
    unresolved.scheduler.OnHoldUnanswered(run.vm);
    unresolved.Pass(seconds(5));
    unresolved.List(next, {}, {});
    unresolved.Starts();
    unresolved.Store();
    REQUIRE(unresolved.Starts().size() == 1);
    const std::vector<ended_task> done = {
        Ended(1, run.task, run.run, end_kind::kDone)};
    unresolved.List(run.vm, {}, done);
    const run_ref unsure{next, run.task, run.run + 1};
    unresolved.scheduler.OnStartAnswer(unsure, start_result::kUnknown,
                                       unresolved.now);
    CHECK(unresolved.Starts().empty());
    REQUIRE(unresolved.stops.size() == 1);
    for (const progress_batch& batch : unresolved.Store()) {
      CHECK(batch.results.empty());
    }
    CHECK(unresolved.scheduler.NextHold(run.vm, unresolved.now)
              .acknowledged_through == 0);

    SECTION("but once that is resolved") {
      unresolved.scheduler.OnStopAnswer(unsure, true, unresolved.now);
      unresolved.Pass(milliseconds(100));
      unresolved.List(next, {}, {});
      unresolved.List(run.vm, {}, done);
      const auto batches = unresolved.Store();
      REQUIRE_FALSE(batches.empty());
      CHECK(batches.back().jobs[0].second.phase == job_phase::kCompleted);
    }
  }

  SECTION("after the next run has ended in another way") {
    driver.Pass(milliseconds(100));
    driver.List(second.vm, {},
                {Ended(1, second.task, second.run, end_kind::kStopped)});
    driver.List(first.vm, {},
                {Ended(1, first.task, first.run, end_kind::kDone)});
    CHECK(phase() == job_phase::kCompleted);
    CHECK(driver.Starts().empty());
  }

  SECTION("and a failure of the next run no longer counts") {
    driver.Add(Job("after", {Step(1)}));
    driver.List(first.vm, {},
                {Ended(1, first.task, first.run, end_kind::kDone)});
    driver.List(second.vm, {},
                {Ended(1, second.task, second.run, end_kind::kFailed)});
    CHECK(phase() == job_phase::kCompleted);
  }
}

// Guards against an answer that is delayed on one connection and arrives after
// a later one on another connection, so that its contents are outdated.
TEST_CASE("An outdated listing is ignored") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.Add(Job("job", {Step(1)}));
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 1);
  const run_ref target = starts[0].target;
  driver.Pass(milliseconds(100));
  run_listing overtaken;
  overtaken.vm_clock = driver.now.time_since_epoch();
  overtaken.running = {Running(target.task, target.run)};
  const time_point sent_at = driver.now;
  driver.Pass(milliseconds(500));
  driver.List("vm-1", {},
              {Ended(1, target.task, target.run, end_kind::kFailed)});
  driver.Store();
  REQUIRE(driver.scheduler.IsEmpty("vm-1"));
  driver.scheduler.OnListing("vm-1", sent_at, overtaken, driver.now);
  CHECK(driver.scheduler.IsEmpty("vm-1"));
}

}  // namespace
}  // namespace plantainhead::core::jobs
