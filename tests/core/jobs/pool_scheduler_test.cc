#include "plantainhead/core/jobs/pool_scheduler.h"

#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A pool's scheduler runs the steps of a job in order") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});

  SECTION("when the second step depends on the first") {
    step_spec second = Step(1);
    second.depends_on = {0};
    driver.Add(Job("job", {Step(2), second}));
    const auto starts = driver.StartAll();
    REQUIRE(starts.size() == 2);

    SECTION("it waits while a task of the first is not done") {
      driver.Pass(milliseconds(100));
      driver.List(starts[0].target.vm, {Running({"job", 0, 0, 1}, 1)},
                  {Ended(1, {"job", 0, 0, 0}, 1, end_kind::kDone)});
      CHECK(driver.Starts().empty());

      SECTION("and starts when all are") {
        driver.List(starts[0].target.vm, {},
                    {Ended(1, {"job", 0, 0, 0}, 1, end_kind::kDone),
                     Ended(2, {"job", 0, 0, 1}, 1, end_kind::kDone)});
        const auto next = driver.Starts();
        REQUIRE(next.size() == 1);
        CHECK(next[0].target.task == task_name{"job", 0, 1, 0});
      }
    }
  }

  SECTION("it packs tasks by demand and never exceeds a VM's capacity") {
    driver.Add(Job("job", {Step(5, 5000)}));
    const auto starts = driver.StartAll();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].target.vm != starts[1].target.vm);

    SECTION("a task that is being stopped still uses its capacity") {
      driver.scheduler.CancelJob("job");
      driver.Add(Job("other", {Step(1, 5000)}));
      CHECK(driver.Starts().empty());
      REQUIRE(driver.stops.size() == 2);
      driver.scheduler.OnStopAnswer(driver.stops[0].target, true, driver.now);
      CHECK(driver.Starts().empty());
      driver.Pass(milliseconds(200));
      driver.List(starts[0].target.vm, {},
                  {Ended(1, starts[0].target.task, 1, end_kind::kStopped)});
      CHECK(driver.Starts().size() == 1);
    }
  }

  // Guards against starts that use the capacity that a VM had before it shrank.
  SECTION("it uses the latest capacity of a VM while that changes") {
    driver.Add(Job("first", {Step(4, 1000)}));
    REQUIRE(driver.StartAll().size() == 4);
    driver.scheduler.UpdateVms({Vm("vm-1", 3000), Vm("vm-2", 1000)},
                               driver.now);
    driver.Add(Job("second", {Step(4, 1000)}));
    const auto starts = driver.StartAll();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.vm == "vm-2");
    driver.scheduler.UpdateVms({Vm("vm-1", 6000), Vm("vm-2", 1000)},
                               driver.now);
    const auto more = driver.StartAll();
    REQUIRE(more.size() == 2);
    CHECK(more[0].target.vm == "vm-1");
    CHECK(more[1].target.vm == "vm-1");
  }

  SECTION("it observes the limit of tasks of a step on one VM") {
    step_spec step = Step(3);
    step.max_per_vm = 1;
    driver.Add(Job("job", {step}));
    CHECK(driver.StartAll().size() == 2);
  }

  SECTION("a label that no VM has keeps the task waiting") {
    step_spec step = Step(1);
    step.required_label = "gpu";
    driver.Add(Job("job", {step}));
    CHECK(driver.Starts().empty());
  }

  SECTION("a gang starts completely or not at all, under one run number") {
    step_spec gang = Step(3, 6000);
    gang.gang = true;
    driver.Add(Job("job", {gang}));
    CHECK(driver.Starts().empty());
    driver.Register({Vm("vm-1"), Vm("vm-2"), Vm("vm-3")});
    const auto starts = driver.StartAll();
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].target.run == starts[2].target.run);

    SECTION("and one end as done completes all members") {
      driver.Pass(milliseconds(100));
      driver.List(starts[0].target.vm, {},
                  {Ended(1, starts[0].target.task, 1, end_kind::kDone)});
      const auto batches = driver.Store();
      REQUIRE_FALSE(batches.empty());
      CHECK(batches.back().jobs[0].second.phase == job_phase::kCompleted);
    }
  }

  SECTION("an occurrence of a repeated job starts when it is due") {
    auto spec = std::make_shared<job_spec>(*Job("job", {Step(1)}));
    spec->schedule = job_schedule{driver.now + seconds(5), seconds(10), 2};
    driver.Add(spec);
    CHECK(driver.Starts().empty());
    driver.Pass(seconds(5));
    driver.List("vm-1", {}, {});
    driver.List("vm-2", {}, {});
    const auto starts = driver.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.occurrence == 0);
  }
}

// Guards against jobs that are reported as running, and not counted as waiting,
// while no VM has accepted any of their tasks because the orders were lost or
// rejected. A job whose first task was only ordered is still waiting.
TEST_CASE("A job is running once a VM has accepted one of its tasks") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.Add(Job("job", {Step(1)}));
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 1);
  const auto phase = [&] {
    const auto batches = driver.Store();
    return batches.empty() || batches.back().jobs.empty()
               ? job_phase::kQueued
               : batches.back().jobs.back().second.phase;
  };
  CHECK(phase() == job_phase::kQueued);

  SECTION("when it answers the order") {
    driver.scheduler.OnStartAnswer(starts[0].target, start_result::kStarted,
                                   driver.now);
    CHECK(phase() == job_phase::kRunning);
  }

  SECTION("when it lists the task, though its answer was lost") {
    driver.scheduler.OnStartAnswer(starts[0].target, start_result::kUnknown,
                                   driver.now);
    CHECK(phase() == job_phase::kQueued);
    driver.List("vm-1", {Running(starts[0].target.task, 1)}, {});
    CHECK(phase() == job_phase::kRunning);
  }

  SECTION("and not when it lacks capacity") {
    driver.scheduler.OnStartAnswer(starts[0].target, start_result::kNoCapacity,
                                   driver.now);
    CHECK(phase() == job_phase::kQueued);
  }
}

TEST_CASE("Failed runs use up a task's attempts") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  driver.Add(Job("job", {Step(1)}), Policy(2));
  const auto first = driver.StartAll();
  REQUIRE(first.size() == 1);
  driver.Pass(milliseconds(100));
  driver.List(first[0].target.vm, {},
              {Ended(1, first[0].target.task, 1, end_kind::kFailed)});

  SECTION("the second attempt uses another VM and a higher run number") {
    const auto second = driver.StartAll();
    REQUIRE(second.size() == 1);
    CHECK(second[0].target.vm != first[0].target.vm);
    CHECK(second[0].target.run == 2);

    SECTION("and when it fails as well, so does the job") {
      driver.Pass(milliseconds(100));
      driver.List(second[0].target.vm, {},
                  {Ended(1, second[0].target.task, 2, end_kind::kFailed)});
      CHECK(driver.Starts().empty());
      CHECK(driver.Store().back().jobs[0].second.phase == job_phase::kFailed);
    }
  }

  SECTION("an end that is listed again is counted once") {
    driver.Store();
    driver.List(first[0].target.vm, {},
                {Ended(1, first[0].target.task, 1, end_kind::kFailed)});
    CHECK(driver.StartAll().size() == 1);
  }
}

// Guards against a task that stays down although there is capacity for it. A
// long-running step has one task on each VM. One task fails, and all other VMs
// already hold a task of the step, so that it can only start again on the same
// VM.
TEST_CASE("A failed task returns to its VM when no other may run it") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  step_spec step = Step(2);
  step.long_running = true;
  step.max_per_vm = 1;
  driver.Add(Job("job", {step}));
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 2);
  const run_ref failed = starts[0].target;
  const run_ref other = starts[1].target;
  driver.Pass(milliseconds(100));
  driver.List(failed.vm, {}, {Ended(1, failed.task, 1, end_kind::kFailed)});
  CHECK(driver.Starts().empty());
  driver.Pass(milliseconds(1100));
  driver.List(failed.vm, {}, {});
  driver.List(other.vm, {Running(other.task, 1, 100)}, {});
  const auto again = driver.Starts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].target.vm == failed.vm);
}

TEST_CASE("An end is acknowledged only after its record is stored") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.Add(Job("job", {Step(1)}));
  const auto starts = driver.StartAll();
  driver.Store();
  driver.Pass(milliseconds(100));
  driver.List("vm-1", {},
              {Ended(1, starts[0].target.task, 1, end_kind::kDone)});
  CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
        0);
  const auto batch = driver.scheduler.TakeBatch();
  REQUIRE(batch);
  CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
        0);

  SECTION("also when nothing else is to be stored in the meantime") {
    CHECK_FALSE(driver.scheduler.TakeBatch());
    CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
          0);
  }
  driver.scheduler.OnBatchStored(*batch);
  CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
        1);
}

// Guards against a task that runs twice. The order to start it is not answered,
// and the VM may carry it out seconds later, after the task was started
// elsewhere. Therefore nothing starts elsewhere until the VM has confirmed a
// stop of that run and then sent a listing without it.
TEST_CASE("An unanswered start is resolved before the task starts again") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  driver.Add(Job("job", {Step(1)}));
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 1);
  const run_ref target = starts[0].target;
  driver.Pass(milliseconds(700));
  driver.scheduler.OnStartAnswer(target, start_result::kUnknown, driver.now);
  CHECK(driver.Starts().empty());
  REQUIRE(driver.stops.size() == 1);

  SECTION("a stop that is not answered is sent again") {
    driver.scheduler.OnStopAnswer(target, false, driver.now);
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());
    driver.Pass(seconds(1));
    driver.Starts();
    CHECK(driver.stops.size() == 1);
  }

  SECTION("a listing that was requested before the stop is no evidence") {
    const time_point asked_at = driver.now;
    driver.Pass(milliseconds(10));
    driver.scheduler.OnStopAnswer(target, true, driver.now);
    driver.ListSentAt(target.vm, asked_at, {}, {});
    CHECK(driver.Starts().empty());

    SECTION("one that was requested after it is") {
      driver.Pass(milliseconds(10));
      driver.List("vm-1", {}, {});
      driver.List("vm-2", {}, {});
      const auto again = driver.Starts();
      REQUIRE(again.size() == 1);
      CHECK(again[0].target.run == 2);
    }
  }

  SECTION("a listing that shows the run as failed counts the failure") {
    driver.scheduler.OnStopAnswer(target, true, driver.now);
    driver.Pass(milliseconds(10));
    driver.List(target.vm, {}, {Ended(1, target.task, 1, end_kind::kFailed)});
    driver.Store();
    const auto again = driver.StartAll();
    REQUIRE(again.size() == 1);
    driver.Pass(milliseconds(10));
    driver.List(again[0].target.vm, {},
                {Ended(1, target.task, 2, end_kind::kFailed)});
    CHECK(driver.Store().back().jobs[0].second.phase == job_phase::kFailed);
  }
}

// A VM stops answering. Its task may continue until the lease has expired, so
// that it starts elsewhere only after that; the clock of the VM may be slow.
TEST_CASE("The tasks of an unresponsive VM start elsewhere after its lease") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  driver.Add(Job("job", {Step(1)}), Policy(1));
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 1);
  const vm_id unresponsive = starts[0].target.vm;
  const vm_id other = unresponsive == "vm-1" ? "vm-2" : "vm-1";
  const duration lease = scheduler_settings().lease;
  driver.scheduler.OnHoldUnanswered(unresponsive);
  CHECK_FALSE(driver.scheduler.NextHold(unresponsive, driver.now).lease_until);

  driver.Pass(lease);
  driver.List(other, {}, {});
  CHECK(driver.Starts().empty());
  driver.Pass(milliseconds(400));
  driver.List(other, {}, {});
  // A newer owner may have received a listing of the VM and acknowledged the
  // end of the task there. In that case the store rejects the record of this
  // owner.
  CHECK(driver.Starts().empty());
  driver.Store();
  const auto again = driver.StartAll();
  REQUIRE(again.size() == 1);
  CHECK(again[0].target.vm == other);

  SECTION("a failure that the VM lists later counts as an attempt") {
    driver.Store();
    driver.List(unresponsive, {},
                {Ended(1, starts[0].target.task, 1, end_kind::kFailed)});
    CHECK(driver.Store().back().jobs[0].second.phase == job_phase::kFailed);
  }

  SECTION("a run that the VM still has is stopped") {
    driver.List(unresponsive, {Running(starts[0].target.task, 1)}, {});
    driver.Starts();
    REQUIRE(driver.stops.size() == 1);
    CHECK(driver.stops[0].target.run == 1);
  }

  SECTION("another incarnation of it ends the wait at once") {
    driver.scheduler.OnReplaced(unresponsive, driver.now);
    driver.Register({Vm(other)});
    CHECK(driver.scheduler.Vms().size() == 1);
  }
}

// Guards against a VM that fails every task although its health checks pass. It
// soon becomes idle and attracts the next tasks, until jobs run out of
// attempts.
TEST_CASE("A VM that fails every task is quarantined") {
  scheduler_driver driver;
  std::vector<vm_description> vms;
  for (int i = 0; i < 4; ++i) {
    vms.push_back(Vm("vm-" + std::to_string(i), 1000));
  }
  driver.Register(vms);
  const auto fail = [&](const std::string& job, std::uint64_t number) {
    driver.List("vm-0", {},
                {Ended(number, {job, 0, 0, 0}, 1, end_kind::kFailed)});
  };
  for (const char* id : {"a", "b", "c"}) {
    driver.Add(Job(id, {Step(1)}), Policy(9));
  }

  SECTION("consecutive failures of several jobs quarantine it") {
    fail("a", 1);
    fail("b", 2);
    fail("c", 3);
    for (const start_order& start : driver.Starts()) {
      CHECK(start.target.vm != "vm-0");
    }
  }

  SECTION("failures of one job do not") {
    fail("a", 1);
    driver.Add(Job("d", {Step(1)}), Policy(9));
    bool is_used = false;
    for (const start_order& start : driver.Starts()) {
      is_used = is_used || start.target.vm == "vm-0";
    }
    CHECK(is_used);
  }
}

TEST_CASE("A task without progress is stopped and moved to another VM") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  driver.Add(Job("job", {Step(1)}));
  const auto starts = driver.StartAll();
  const run_ref target = starts[0].target;
  const vm_id other = target.vm == "vm-1" ? "vm-2" : "vm-1";
  for (int i = 0; i < 4; ++i) {
    CHECK(driver.stops.empty());
    driver.Pass(seconds(1));
    driver.scheduler.NextHold(target.vm, driver.now);
    driver.List(other, {}, {});
    driver.List(target.vm, {Running(target.task, 1, 30)}, {});
    driver.Starts();
  }
  REQUIRE(driver.stops.size() == 1);
  driver.scheduler.OnStopAnswer(target, true, driver.now);
  driver.Pass(milliseconds(300));
  driver.List(target.vm, {}, {Ended(1, target.task, 1, end_kind::kStopped)});
  driver.List(other, {}, {});
  const auto again = driver.Starts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].target.vm != target.vm);
}

TEST_CASE("A VM that is emptied keeps tasks that may not be interrupted") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1"), Vm("vm-2"), Vm("vm-3")});
  step_spec long_running = Step(2);
  long_running.long_running = true;
  long_running.max_per_vm = 1;
  long_running.max_unavailable = 1;
  driver.Add(Job("job", {long_running}));
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 2);
  const run_ref moved = starts[0].target;
  const run_ref other = starts[1].target;
  driver.scheduler.CloseVm(moved.vm, driver.now);

  SECTION("a long-running task stays while the other one is not ready") {
    driver.List(moved.vm, {Running(moved.task, 1, 100)}, {});
    driver.List(other.vm, {Running(other.task, 1, 60)}, {});
    driver.Starts();
    CHECK(driver.stops.empty());

    SECTION("and moves when it is") {
      driver.Pass(milliseconds(100));
      driver.List(other.vm, {Running(other.task, 1, 100)}, {});
      driver.Starts();
      REQUIRE(driver.stops.size() == 1);
      CHECK(driver.stops[0].target == moved);
    }
  }

  SECTION("a VM that is draining is emptied at once") {
    auto leaving = Vm(moved.vm);
    leaving.draining = true;
    driver.scheduler.UpdateVms({leaving, Vm(other.vm)}, driver.now);
    driver.List(moved.vm, {Running(moved.task, 1, 100)}, {});
    driver.Starts();
    CHECK(driver.stops.size() == 1);
  }
}

TEST_CASE("Best-effort tasks are throttled for latency-sensitive ones") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  step_spec latency_sensitive = Step(1);
  latency_sensitive.long_running = true;
  latency_sensitive.latency_target = milliseconds(100);
  step_spec background = Step(1, 50000);
  background.best_effort = true;
  background.long_running = true;
  driver.Add(Job("job", {latency_sensitive, background}));
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 2);
  const auto listing = [&](std::int64_t tail_ms) {
    driver.Pass(milliseconds(500));
    driver.List("vm-1",
                {Running({"job", 0, 0, 0}, 1, 100, tail_ms),
                 Running({"job", 0, 1, 0}, 1, 100, 3000)},
                {});
    driver.Starts();
  };
  listing(50);
  CHECK(driver.paces.empty());
  listing(90);
  REQUIRE(driver.paces.size() == 1);
  CHECK(driver.paces[0].percent == 50);
  CHECK(driver.paces[0].target.task.step == 1);
  listing(120);
  REQUIRE(driver.paces.size() == 1);
  CHECK(driver.paces[0].percent == 0);
  listing(40);
  REQUIRE(driver.paces.size() == 1);
  CHECK(driver.paces[0].percent == 20);
}

// Guards against starts of cancelled jobs. The store answers the renewals of an
// owner but none of its reads. The owner does not learn of cancellations, and
// would start tasks of jobs whose callers were told seconds ago that they are
// cancelled.
TEST_CASE("Nothing starts while the known cancellations are outdated") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  const time_point read_at = driver.now;
  driver.scheduler.NoteCancellationsRead(read_at);
  driver.Add(Job("job", {Step(1)}));
  driver.Pass(milliseconds(2601));
  driver.List("vm-1", {}, {});
  CHECK(driver.Starts().empty());

  SECTION("and tasks start as soon as they are up to date") {
    driver.scheduler.NoteCancellationsRead(driver.now - milliseconds(2600));
    CHECK(driver.Starts().size() == 1);
  }

  SECTION("tasks are still stopped") {
    driver.scheduler.NoteCancellationsRead(driver.now);
    REQUIRE(driver.Starts().size() == 1);
    driver.scheduler.OnStartAnswer({"vm-1", {"job", 0, 0, 0}, 1},
                                   start_result::kStarted, driver.now);
    driver.Pass(milliseconds(3000));
    driver.scheduler.CancelJob("job");
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.size() == 1);
  }
}

TEST_CASE("A cancelled job starts no tasks and its tasks are stopped") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1", 1000)});
  driver.Add(Job("job", {Step(3)}));
  REQUIRE(driver.StartAll().size() == 1);
  driver.scheduler.CancelJob("job");
  CHECK(driver.Starts().empty());
  CHECK(driver.stops.size() == 1);
  CHECK(driver.Store().back().jobs[0].second.phase == job_phase::kCancelled);
}

}  // namespace
}  // namespace plantainhead::core::jobs
