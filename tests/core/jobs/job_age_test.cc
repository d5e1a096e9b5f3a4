#include "plantainhead/core/jobs/job_age.h"

#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_scheduler.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kClaimed = time_point(hours(1));

takeover_bounds Bounds() {
  takeover_bounds bounds;
  bounds.exclusive_from = kClaimed + seconds(2);
  bounds.default_lease_end = kClaimed + seconds(7);
  return bounds;
}

// One task that takes the whole VM for 1 s, with a latency target of 2 s.
std::shared_ptr<const job_spec> LargeJob(const job_id& id) {
  return Job(id, {Step(1, 8000)});
}

// Guards against clock jumps that would make every job late, or none.
TEST_CASE("A job's age is within bounds whatever the clocks show") {
  const time_point now{hours(500'000)};
  job_spec job;
  CHECK(AgeOf(job, now) == duration::zero());
  job.submitted_at = now - milliseconds(1234);
  CHECK(AgeOf(job, now) == milliseconds(1234));
  job.submitted_at = now + seconds(5);
  CHECK(AgeOf(job, now) == duration::zero());
  job.submitted_at = now - hours(1);
  CHECK(AgeOf(job, now) == kMaxAge);
  job.submitted_at = time_point();
  CHECK(AgeOf(job, now) == kMaxAge);
}

// Guards against deadlines that restart with each takeover: late jobs would go
// before others that can still be in time, and would request VMs.
TEST_CASE("A new owner measures a job's time from its submission") {
  scheduler_driver driver(Bounds());
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddJob(LargeJob("a-late"), Policy(), driver.now, seconds(5));
  driver.scheduler.AddJob(LargeJob("b-new"), Policy(), driver.now,
                          milliseconds(100));
  driver.scheduler.AddJob(LargeJob("c-urgent"), Policy(), driver.now,
                          milliseconds(900));
  driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);

  SECTION("jobs that can be in time go first, ordered by deadline") {
    driver.List("vm-1", {}, {});
    const auto starts = driver.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.job == "c-urgent");
  }

  SECTION("late jobs request no VMs") {
    CHECK(driver.scheduler.Load("pool", driver.now).waiting.cpu_millis ==
          2 * 8000);
  }

  SECTION("also after a change of the queue's policy") {
    queue_policy longer = Policy();
    longer.latency_target = seconds(2);
    driver.scheduler.SetPolicy("queue", longer);
    CHECK(driver.scheduler.Load("pool", driver.now).waiting.cpu_millis ==
          2 * 8000);
    longer.latency_target = seconds(4);
    driver.scheduler.SetPolicy("queue", longer);
    CHECK(driver.scheduler.Load("pool", driver.now).waiting.cpu_millis ==
          3 * 8000);
  }
}

// Guards against starting a task that an earlier owner may have started, or
// waiting for one that it cannot have started. The time of submission
// determines neither.
TEST_CASE("A job's age does not show whether an earlier owner started it") {
  scheduler_driver driver(Bounds());
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
  driver.scheduler.AddJob(Job("old", {Step(1)}), Policy(), driver.now,
                          seconds(30));
  driver.scheduler.AddJob(Job("young", {Step(1)}), Policy(), driver.now);
  driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
  driver.List("vm-1", {}, {});
  driver.Store();
  driver.List("vm-1", {}, {});
  // The second VM has not answered and may run both.
  CHECK(driver.Starts().empty());

  driver.Pass(seconds(3));
  driver.List("vm-1", {}, {});
  driver.scheduler.AddJob(Job("read-late", {Step(1)}), Policy(), driver.now,
                          seconds(30));
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.task.job == "read-late");
}

// Guards against results that call a job in time although its caller had to
// wait, because the time before its owner read the job was not counted.
TEST_CASE("A job's result is measured from its submission") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.scheduler.AddJob(Job("job", {Step(1)}), Policy(), driver.now,
                          milliseconds(1500));
  const time_point handed_in = driver.now - milliseconds(1500);
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 1);
  driver.Pass(seconds(1));
  driver.List("vm-1", {},
              {Ended(1, starts[0].target.task, 1, end_kind::kDone)});
  const auto batches = driver.Store();
  REQUIRE(!batches.empty());
  REQUIRE(batches.back().results.size() == 1);
  const job_result& result = batches.back().results[0];
  CHECK(result.arrived_at == handed_in);
  CHECK(result.deadline == handed_in + seconds(2));
  CHECK(result.waits.waited(wait_cause::kReading) == milliseconds(1500));
  CHECK(VerdictOf(result, driver.now) == job_verdict::kWaitedForOwner);
}

}  // namespace
}  // namespace plantainhead::core::jobs
