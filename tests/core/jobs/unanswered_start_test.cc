#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_scheduler.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;

// An owner orders two lasting tasks to start, and the answers are lost. Both
// are carried out. A stop of each, sent to settle the start, ends tasks that
// are at work by then: their users lose more of the step than it may miss. So
// the VM is asked first what it runs, and only a start that it doesn't show is
// settled by a stop.
TEST_CASE("A lasting task whose start had no answer") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  step_spec step = Step(2);
  step.long_running = true;
  step.max_per_vm = 1;
  step.max_unavailable = 1;
  driver.Add(Job("job", {step}));
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 2);
  const run_ref target = starts[0].target;
  const run_ref other = starts[1].target;
  driver.Pass(milliseconds(700));
  driver.scheduler.OnStartAnswer(target, start_result::kUnknown, driver.now);
  driver.scheduler.OnStartAnswer(other, start_result::kUnknown, driver.now);
  const time_point unanswered_at = driver.now;
  CHECK(driver.Starts().empty());
  CHECK(driver.stops.empty());

  SECTION("isn't stopped when the VM runs it") {
    driver.Pass(milliseconds(100));
    driver.List(target.vm, {Running(target.task, 1, 100)}, {});
    driver.List(other.vm, {Running(other.task, 1, 100)}, {});
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());
  }

  SECTION("is stopped before it starts again when the VM doesn't show it") {
    driver.Pass(milliseconds(100));
    driver.List(target.vm, {}, {});
    CHECK(driver.Starts().empty());
    REQUIRE(driver.stops.size() == 1);
    CHECK(driver.stops[0].target == target);
  }

  SECTION("isn't settled by a listing that was asked for before") {
    driver.Pass(milliseconds(100));
    driver.ListSentAt(target.vm, unanswered_at - milliseconds(1), {}, {});
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());
  }
}

// The VM shows the run before the owner gives up on the answer to its start.
// The order was sent once, so that nothing of it can come any more.
TEST_CASE("A run that a VM has shown needs no answer to its start") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.Add(Job("job", {Step(1)}));
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 1);
  driver.Pass(milliseconds(300));
  driver.List("vm-1", {Running(starts[0].target.task, 1, 30)}, {});
  driver.Pass(milliseconds(400));
  driver.scheduler.OnStartAnswer(starts[0].target, start_result::kUnknown,
                                 driver.now);
  CHECK(driver.Starts().empty());
  CHECK(driver.stops.empty());
}

}  // namespace
}  // namespace plantainhead::core::jobs
