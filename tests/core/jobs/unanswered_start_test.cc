#include <algorithm>
#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_scheduler.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;

// Guards against stops that interrupt long-running tasks. An owner orders two
// long-running tasks to start, both orders are carried out, and the answers are
// lost. If each start were resolved by a stop, it would end tasks that are
// already ready, and more of the step would be unavailable than permitted.
// Therefore the next listing of the VM is awaited, and only a start that it
// does not show is resolved by a stop.
TEST_CASE("A long-running task whose start was not answered") {
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

  SECTION("is not stopped when the VM runs it") {
    driver.Pass(milliseconds(100));
    driver.List(target.vm, {Running(target.task, 1, 100)}, {});
    driver.List(other.vm, {Running(other.task, 1, 100)}, {});
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());
  }

  SECTION("is stopped before it starts again when the VM does not list it") {
    driver.Pass(milliseconds(100));
    driver.List(target.vm, {}, {});
    CHECK(driver.Starts().empty());
    REQUIRE(driver.stops.size() == 1);
    CHECK(driver.stops[0].target == target);
  }

  // Guards against the stop of a task at work: its start was carried out after
  // a listing without it, and its stop was not answered.
  SECTION("is not stopped again when the VM has started it late") {
    driver.Pass(milliseconds(100));
    driver.List(target.vm, {}, {});
    CHECK(driver.Starts().empty());
    REQUIRE(driver.stops.size() == 1);
    driver.Pass(milliseconds(300));
    driver.scheduler.OnStopAnswer(target, false, driver.now);
    driver.Pass(milliseconds(400));
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());
    driver.List(target.vm, {Running(target.task, 1, 100)}, {});
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());

    SECTION("unless its job is cancelled") {
      driver.scheduler.CancelJob("job");
      CHECK(driver.Starts().empty());
      CHECK(driver.stops.size() == 2);
    }
  }

  SECTION(
      "is stopped again when its job was cancelled before the VM lists it") {
    driver.Pass(milliseconds(100));
    driver.List(target.vm, {}, {});
    CHECK(driver.Starts().empty());
    driver.scheduler.CancelJob("job");
    driver.scheduler.OnStopAnswer(target, false, driver.now);
    driver.Pass(milliseconds(400));
    driver.List(target.vm, {Running(target.task, 1, 100)}, {});
    CHECK(driver.Starts().empty());
    const auto& stops = driver.stops;
    CHECK(std::any_of(stops.begin(), stops.end(),
                      [&](const auto& stop) { return stop.target == target; }));
  }

  SECTION("is not resolved by a listing that was requested before") {
    driver.Pass(milliseconds(100));
    driver.ListSentAt(target.vm, unanswered_at - milliseconds(1), {}, {});
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());
  }
}

// Guards against the stop of a task at work while too many others of its step
// are unavailable: a VM is drained, the stop is not answered, and another task
// fails before it is repeated.
TEST_CASE("A repeated stop waits while too many tasks are unavailable") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2"), Vm("vm-3")});
  step_spec step = Step(3);
  step.long_running = true;
  step.max_per_vm = 1;
  step.max_unavailable = 1;
  driver.Add(Job("job", {step}));
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 3);
  const auto list = [&](std::size_t i, std::uint32_t percent) {
    const run_ref& target = starts[i].target;
    driver.List(target.vm, {Running(target.task, 1, percent)}, {});
  };
  driver.Pass(milliseconds(100));
  for (std::size_t i = 0; i < 3; ++i) {
    list(i, 100);
  }
  driver.scheduler.CloseVm(starts[0].target.vm, driver.now);
  CHECK(driver.Starts().empty());
  REQUIRE(driver.stops.size() == 1);
  REQUIRE(driver.stops[0].target == starts[0].target);
  driver.scheduler.OnStopAnswer(starts[0].target, false, driver.now);
  driver.Pass(milliseconds(400));
  list(0, 100);
  list(1, 40);
  CHECK(driver.Starts().empty());
  CHECK(driver.stops.empty());

  SECTION("and is sent once they are available again") {
    driver.Pass(milliseconds(100));
    list(1, 100);
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.size() == 1);
  }
}

// The VM lists the run before the call to start it times out. The order was
// sent only once, so that it cannot arrive again.
TEST_CASE("A run that a VM has listed needs no answer to its start") {
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
