#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_scheduler.h"
#include "plantainhead/core/jobs/pool_sizer.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kClaimed = time_point(std::chrono::hours(1));

task_name Task(std::uint32_t index) {
  return {"job", 0, 0, index};
}

std::vector<running_task> AllRunning(std::uint32_t count,
                                     std::uint32_t percent) {
  std::vector<running_task> running;
  for (std::uint32_t i = 0; i < count; ++i) {
    running.push_back(Running(Task(i), 1, percent));
  }
  return running;
}

vm_description ShortOfMemory() {
  vm_description vm = Vm("vm-1");
  vm.capacity.memory_mb = 250;
  return vm;
}

step_spec LongRunningStep(std::uint32_t tasks) {
  step_spec step = Step(tasks, 2000);
  step.long_running = true;
  step.max_unavailable = 1;
  return step;
}

// Guards against starts on a VM whose tasks use more than its capacity, and
// against stopping those tasks because of it.
TEST_CASE("A VM that shrinks below the needs of its tasks") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.Add(Job("job", {Step(4, 2000)}));
  REQUIRE(driver.StartAll().size() == 4);
  driver.List("vm-1", AllRunning(4, 10), {});
  driver.Add(Job("next", {Step(1, 500)}));

  SECTION("keeps its tasks and gets no others") {
    driver.scheduler.UpdateVms({Vm("vm-1", 5000)}, driver.now);
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());

    SECTION("while the remaining ones still exceed its capacity") {
      driver.Pass(milliseconds(500));
      driver.List(
          "vm-1",
          {Running(Task(1), 1), Running(Task(2), 1), Running(Task(3), 1)},
          {Ended(1, Task(0), 1, end_kind::kDone)});
      CHECK(driver.Starts().empty());
      CHECK(driver.stops.empty());

      SECTION("also after an end that is not listed yet") {
        driver.Pass(milliseconds(100));
        driver.List("vm-1", {Running(Task(2), 1), Running(Task(3), 1)},
                    {Ended(1, Task(0), 1, end_kind::kDone)});
        CHECK(driver.Starts().empty());
      }

      SECTION("until there is free capacity again") {
        driver.Pass(milliseconds(500));
        driver.List("vm-1", {Running(Task(2), 1), Running(Task(3), 1)},
                    {Ended(1, Task(0), 1, end_kind::kDone),
                     Ended(2, Task(1), 1, end_kind::kDone)});
        const auto starts = driver.StartAll();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].target.task.job == "next");
      }
    }

    SECTION("until its capacity is restored") {
      driver.scheduler.UpdateVms({Vm("vm-1", 8500)}, driver.now);
      CHECK(driver.Starts().size() == 1);
    }
  }

  SECTION("is full if it lacks any one resource") {
    driver.scheduler.UpdateVms({ShortOfMemory()}, driver.now);
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());
  }

  SECTION("has no capacity for best-effort tasks") {
    step_spec filling = Step(1, 500);
    filling.best_effort = true;
    driver.Add(Job("filling", {filling}));
    driver.scheduler.UpdateVms({ShortOfMemory()}, driver.now);
    CHECK(driver.Starts().empty());
  }

  SECTION("has none for a task whose run there failed") {
    driver.scheduler.UpdateVms({Vm("vm-1", 5000)}, driver.now);
    driver.Pass(milliseconds(500));
    driver.List("vm-1",
                {Running(Task(1), 1), Running(Task(2), 1), Running(Task(3), 1)},
                {Ended(1, Task(0), 1, end_kind::kFailed)});
    driver.Pass(milliseconds(1100));
    driver.List("vm-1",
                {Running(Task(1), 1), Running(Task(2), 1), Running(Task(3), 1)},
                {});
    CHECK(driver.Starts().empty());
  }
}

// Guards against starts that do not count the resources of a rejected start or
// of one in flight.
TEST_CASE("A VM that shrinks while a start is in flight") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1", 4000), Vm("vm-2", 4000)});
  driver.Add(Job("job", {Step(1, 3000)}), Policy(1));
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 1);
  const run_ref target = starts[0].target;
  const vm_id other = target.vm == "vm-1" ? "vm-2" : "vm-1";
  driver.scheduler.UpdateVms({Vm(target.vm, 2000), Vm(other, 4000)},
                             driver.now);

  SECTION("keeps the ordered tasks and gets no others") {
    driver.Add(Job("next", {Step(3, 1000)}));
    const auto more = driver.Starts();
    REQUIRE(more.size() == 3);
    for (const start_order& start : more) {
      CHECK(start.target.vm == other);
    }
  }

  SECTION("rejects it, and the task starts elsewhere without a lost attempt") {
    driver.scheduler.OnStartAnswer(target, start_result::kNoCapacity,
                                   driver.now);
    const auto again = driver.StartAll();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.vm == other);
    CHECK(again[0].target.run == 2);
    driver.Pass(milliseconds(500));
    driver.List(other, {}, {Ended(1, target.task, 2, end_kind::kDone)});
    CHECK(driver.Store().back().jobs[0].second.phase == job_phase::kCompleted);
  }
}

// Guards against interrupting a long-running task because its VM has shrunk,
// and against moving several tasks at once when that VM is emptied.
TEST_CASE("Long-running tasks on a VM that shrinks continue") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.Add(Job("job", {LongRunningStep(3)}));
  REQUIRE(driver.StartAll().size() == 3);
  driver.List("vm-1", AllRunning(3, 100), {});
  driver.scheduler.UpdateVms({Vm("vm-1", 3000), Vm("vm-2")}, driver.now);
  driver.List("vm-2", {}, {});
  driver.Store();
  driver.List("vm-2", {}, {});
  const auto pass = [&](const std::vector<running_task>& running) {
    driver.Pass(seconds(1));
    driver.List("vm-1", running, {});
    driver.List("vm-2", {}, {});
  };

  SECTION("as long as the VM exists") {
    for (int i = 0; i < 5; ++i) {
      pass(AllRunning(3, 100));
      CHECK(driver.Starts().empty());
      CHECK(driver.stops.empty());
    }
  }

  SECTION("one that ends by itself starts again where it fits") {
    driver.Pass(seconds(1));
    driver.List("vm-1", {Running(Task(1), 1, 100), Running(Task(2), 1, 100)},
                {Ended(1, Task(0), 1, end_kind::kFailed)});
    driver.List("vm-2", {}, {});
    const auto starts = driver.StartAll();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.vm == "vm-2");
  }

  SECTION("they are moved one by one when the VM is emptied") {
    driver.scheduler.CloseVm("vm-1", driver.now);
    pass(AllRunning(3, 100));
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.size() == 1);
  }
}

// Guards against a new owner that uses the previous capacity, or none, of a VM
// that has shrunk.
TEST_CASE("An owner that starts after a VM has shrunk") {
  takeover_bounds bounds;
  bounds.exclusive_from = kClaimed + seconds(2);
  bounds.default_lease_end = kClaimed + seconds(7);
  scheduler_driver driver(bounds);
  driver.now = kClaimed;
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.Add(Job("job", {Step(4, 2000)}));
  const auto list = [&](std::uint32_t percent) {
    driver.List("vm-1", AllRunning(4, percent), {});
  };

  SECTION("knows its capacity only from the registry") {
    driver.scheduler.UpdateVms({Vm("vm-1", 5000)}, driver.now);
    list(10);
  }

  SECTION("receives a listing before it reads the registry") {
    list(10);
    CHECK(driver.Starts().empty());
    driver.scheduler.UpdateVms({Vm("vm-1", 5000)}, driver.now);
  }

  SECTION("reads the old capacity, and the new one after a listing") {
    driver.scheduler.UpdateVms({Vm("vm-1", 8000)}, driver.now);
    list(10);
    driver.scheduler.UpdateVms({Vm("vm-1", 5000)}, driver.now);
  }

  driver.Store();
  driver.Pass(seconds(3));
  list(60);
  driver.Add(Job("next", {Step(1, 500)}));
  CHECK(driver.Starts().empty());
  CHECK(driver.stops.empty());
  driver.Pass(seconds(1));
  driver.List("vm-1", {Running(Task(2), 1), Running(Task(3), 1)},
              {Ended(1, Task(0), 1, end_kind::kDone),
               Ended(2, Task(1), 1, end_kind::kDone)});
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.task.job == "next");
}

// Guards against starts that use the capacity that a VM had before the store
// became unavailable: the VM cannot report a smaller one in the meantime.
TEST_CASE("A VM whose report of its capacity is outdated") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.Add(Job("job", {Step(1)}));
  const duration left = milliseconds(3000);
  driver.scheduler.NoteReports({{"vm-1", driver.now + left}});

  SECTION("still gets tasks while one report may have been lost") {
    driver.Pass(left);
    driver.List("vm-1", {}, {});
    CHECK(driver.Starts().size() == 1);
  }

  SECTION("gets none when it is older, until it reports again") {
    driver.Pass(left + milliseconds(1));
    driver.List("vm-1", {}, {});
    CHECK(driver.Starts().empty());
    driver.scheduler.UpdateVms({Vm("vm-1", 500)}, driver.now);
    driver.scheduler.NoteReports({{"vm-1", driver.now + left}});
    CHECK(driver.Starts().empty());
    driver.scheduler.UpdateVms({Vm("vm-1", 1000)}, driver.now);
    CHECK(driver.Starts().size() == 1);
  }
}

// Guards against a gang that starts only partly because one of its VMs has
// shrunk.
TEST_CASE("A gang that does not fit on a shrunk VM waits as a whole") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  step_spec gang = Step(2, 6000);
  gang.gang = true;
  driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2", 5000)}, driver.now);
  driver.Add(Job("job", {gang}));
  CHECK(driver.Starts().empty());
  driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2", 6000)}, driver.now);
  CHECK(driver.Starts().size() == 2);
}

// Guards against a pool that requests no VMs because it counts capacity that no
// longer exists.
TEST_CASE("A pool whose VMs have shrunk requests more of them") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  driver.Add(Job("job", {Step(8, 2000)}));
  REQUIRE(driver.StartAll().size() == 8);
  const pool_load before = driver.scheduler.Load("pool", driver.now);
  driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2", 4000)}, driver.now);
  const pool_load after = driver.scheduler.Load("pool", driver.now);
  CHECK(after.used.cpu_millis == before.used.cpu_millis);
  CHECK(before.vm_capacity.cpu_millis == 8000);
  CHECK(after.vm_capacity.cpu_millis == 6000);

  sizer_settings settings;
  settings.fill_ratio = 1.0;
  settings.reserve = 0;
  CHECK(pool_sizer(settings).Update(before, false, driver.now) == 2);
  CHECK(pool_sizer(settings).Update(after, false, driver.now) == 3);
}

}  // namespace
}  // namespace plantainhead::core::jobs
