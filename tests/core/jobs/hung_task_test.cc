#include <catch2/catch.hpp>
#include <cstdint>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A task on one of two VMs, whose percent the test lists.
struct watched_task : scheduler_driver {
  explicit watched_task(duration estimate) {
    step_spec step = Step(1);
    step.estimate = estimate;
    step.checkpoints = true;
    Register({Vm("vm-1"), Vm("vm-2")});
    Add(Job("job", {step}));
    target = StartAll().at(0).target;
  }

  /// Lists the task for some time. Returns whether it is stopped then.
  bool ListFor(duration time, std::uint32_t percent) {
    for (duration passed{}; passed < time; passed += milliseconds(500)) {
      Pass(milliseconds(500));
      scheduler.NextHold("vm-1", now);
      scheduler.NextHold("vm-2", now);
      for (const vm_id vm : {"vm-1", "vm-2"}) {
        List(vm,
             vm == target.vm ? std::vector<running_task>{Running(
                                   target.task, target.run, percent)}
                             : std::vector<running_task>(),
             {});
      }
      Starts();
      if (!stops.empty()) {
        return true;
      }
    }
    return false;
  }

  /// Ends the stopped run and starts the next one.
  void StartAgain(std::uint64_t end) {
    scheduler.OnStopAnswer(target, true, now);
    Pass(milliseconds(300));
    List(target.vm, {},
         {Ended(end, target.task, target.run, end_kind::kStopped)});
    Pass(seconds(5));
    List("vm-1", {}, {});
    List("vm-2", {}, {});
    target = StartAll().at(0).target;
  }

  run_ref target;
};

// Guards against tasks that work for minutes, so that their percent changes
// each few seconds only, and are stopped as hung and started again for ever.
TEST_CASE("A slow task whose percent changes seldom is not considered hung") {
  SECTION("before its percent has changed, if its estimate is long") {
    watched_task task(seconds(50));
    CHECK_FALSE(task.ListFor(seconds(6), 0));
    CHECK_FALSE(task.ListFor(seconds(6), 1));
    CHECK_FALSE(task.ListFor(seconds(6), 2));
  }

  SECTION("after its percent has changed as seldom before") {
    watched_task task(seconds(1));
    CHECK_FALSE(task.ListFor(seconds(2), 0));
    CHECK_FALSE(task.ListFor(seconds(2), 1));
    CHECK_FALSE(task.ListFor(seconds(5), 2));
  }

  SECTION("when it resumes with a percent above zero") {
    watched_task task(seconds(50));
    CHECK_FALSE(task.ListFor(seconds(6), 40));
    CHECK_FALSE(task.ListFor(seconds(6), 41));
    CHECK_FALSE(task.ListFor(seconds(6), 42));
  }
}

TEST_CASE("A task that stands still is considered hung") {
  SECTION("soon, if its estimate is short") {
    watched_task task(seconds(1));
    CHECK(task.ListFor(milliseconds(3500), 0));
  }

  SECTION("later, if its estimate is long") {
    watched_task task(seconds(50));
    CHECK(task.ListFor(seconds(11), 0));
  }

  SECTION("soon, if its percent has changed often before") {
    watched_task task(seconds(50));
    for (std::uint32_t percent = 0; percent < 10; ++percent) {
      REQUIRE_FALSE(task.ListFor(milliseconds(500), percent));
    }
    CHECK(task.ListFor(seconds(4), 10));
  }
}

// Guards against a task that is stopped again and again because it takes far
// longer than its estimate.
TEST_CASE("A task that was considered hung several times gets more time") {
  watched_task task(seconds(1));
  int stops = 0;
  while (stops < 10 && task.ListFor(seconds(30), 0)) {
    task.StartAgain(static_cast<std::uint64_t>(++stops));
  }
  CHECK(stops > 2);
  CHECK(stops < 10);
}

}  // namespace
}  // namespace plantainhead::core::jobs
