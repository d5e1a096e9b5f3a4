#include <catch2/catch.hpp>
#include <string>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_scheduler.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kClaimed = time_point(std::chrono::hours(1));

takeover_bounds Bounds() {
  takeover_bounds bounds;
  bounds.exclusive_from = kClaimed + seconds(2);
  bounds.default_lease_end = kClaimed + seconds(7);
  return bounds;
}

// Guards against a pool that starts nothing for the length of a lease after
// each change of its owner, because of VMs that were emptied and removed
// before.
TEST_CASE("A new owner does not wait for VMs that are recorded as vacant") {
  scheduler_driver driver(Bounds());
  driver.scheduler.RestoreVacantVms({"vm-2"});
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.Add(Job("job", {Step(2)}));

  driver.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});

  SECTION("one that has left") {
    driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
    driver.List("vm-1", {}, {});
    CHECK(driver.Starts().size() == 2);
  }

  SECTION("one that is registered and does not answer") {
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.scheduler.CloseVm("vm-2", driver.now);
    driver.scheduler.OnHoldUnanswered("vm-2");
    driver.List("vm-1", {}, {});
    CHECK(driver.Starts().size() == 2);
  }

  SECTION("but it waits for all others") {
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.scheduler.CloseVm("vm-2", driver.now);
    driver.List("vm-2", {}, {});
    CHECK(driver.Starts().empty());
  }

  SECTION("and a task that it lists nevertheless is not started again") {
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.scheduler.CloseVm("vm-2", driver.now);
    driver.List("vm-2", {Running({"job", 0, 0, 0}, 1)}, {});
    driver.List("vm-1", {}, {});
    const auto starts = driver.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.index == 1);
  }
}

// Guards against stops while too many tasks are unavailable: the former owner
// has stopped a task that its VM still lists as running.
TEST_CASE("A new owner does not count on tasks that may have been stopped") {
  takeover_bounds bounds;
  bounds.exclusive_from = kClaimed + milliseconds(1);
  scheduler_driver driver(bounds);
  step_spec step = Step(3);
  step.long_running = true;
  step.max_unavailable = 1;
  driver.Add(Job("job", {step}));
  const auto list = [&driver](std::uint32_t index) {
    driver.List("vm-" + std::to_string(index),
                {Running({"job", 0, 0, index}, 1, 100)}, {});
  };
  driver.scheduler.UpdateVms({Vm("vm-0"), Vm("vm-1"), Vm("vm-2")}, driver.now);
  for (std::uint32_t index = 0; index < 3; ++index) {
    list(index);
  }
  driver.scheduler.CloseVm("vm-0", driver.now);
  driver.scheduler.CloseVm("vm-1", driver.now);
  CHECK(driver.Starts().empty());
  CHECK(driver.stops.empty());

  SECTION("until a stop would have ended them") {
    driver.Pass(milliseconds(1100));
    for (std::uint32_t index = 0; index < 3; ++index) {
      list(index);
    }
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.size() == 1);
  }

  SECTION("and not if they have ended") {
    driver.Pass(milliseconds(500));
    driver.List("vm-0", {},
                {Ended(1, {"job", 0, 0, 0}, 1, end_kind::kStopped)});
    driver.Pass(milliseconds(600));
    list(1);
    list(2);
    driver.Starts();
    CHECK(driver.stops.empty());
  }
}

// Guards against the same delay because of VMs whose records were deleted and
// that the registry lists for some more seconds.
TEST_CASE("A new owner does not wait for vacant VMs that are only registered") {
  scheduler_driver driver(Bounds());
  driver.scheduler.RestoreVacantVms({"vm-2"});
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.Add(Job("job", {Step(2)}));
  driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
  driver.scheduler.CloseVm("vm-2", driver.now);
  driver.List("vm-1", {}, {});
  CHECK(driver.Starts().size() == 2);
}

// Guards against a takeover that waits, one after the other, for records of
// expired leases of vacant VMs.
TEST_CASE("The end of a vacant VM's lease does not delay a takeover") {
  takeover_bounds bounds = Bounds();
  bounds.lease_ends["vm-2"] = kClaimed;
  scheduler_driver driver(bounds);
  driver.scheduler.RestoreVacantVms({"vm-2"});
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
  driver.Add(Job("job", {Step(2)}));
  driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
  driver.Starts();
  driver.List("vm-1", {}, {});
  CHECK(driver.Starts().size() == 2);
}

// Guards against a VM that is recorded as vacant before its whole listing is
// processed: the next owner does not query it and would start its task again.
TEST_CASE("A VM that lists an end of an unknown job is not empty") {
  scheduler_driver driver(Bounds());
  driver.Register({Vm("vm-1")});
  CHECK(driver.scheduler.IsEmpty("vm-1"));
  driver.List("vm-1", {}, {Ended(1, {"unknown", 0, 0, 0}, 1, end_kind::kDone)});
  CHECK_FALSE(driver.scheduler.IsEmpty("vm-1"));
}

// Guards against tasks that run twice after a change of the owner. The runs of
// the earlier owner continue, and VMs that the new owner has not heard from may
// hold any task of the jobs that were accepted before.
TEST_CASE("A new owner queries all VMs before it starts tasks again") {
  scheduler_driver driver(Bounds());
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
  driver.Add(Job("job", {Step(2)}));
  const task_name first{"job", 0, 0, 0};

  SECTION("also one that is not registered") {
    driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
    CHECK(driver.scheduler.Vms().size() == 2);
    driver.List("vm-1", {}, {});
    CHECK(driver.Starts().empty());

    SECTION("a task that it lists is not started again") {
      driver.Pass(milliseconds(10));
      driver.List("vm-2", {Running(first, 3)}, {});
      const auto starts = driver.Starts();
      REQUIRE(starts.size() == 1);
      CHECK(starts[0].target.task.index == 1);
    }

    SECTION("the owner waits for it until its last lease has expired") {
      driver.Pass(seconds(6));
      driver.List("vm-1", {}, {});
      CHECK(driver.Starts().empty());
      driver.Pass(seconds(2));
      driver.List("vm-1", {}, {});
      CHECK(driver.Starts().empty());
      driver.Store();
      CHECK(driver.Starts().size() == 2);
    }
  }

  SECTION("a VM is reconciled only when its whole listing was processed") {
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.List("vm-2", {}, {});
    // The end of a job that is unknown here blocks the second end.
    driver.List("vm-1", {},
                {Ended(1, {"unknown", 0, 0, 0}, 1, end_kind::kDone),
                 Ended(2, first, 1, end_kind::kDone)});
    CHECK(driver.Starts().empty());
  }

  SECTION("ends of jobs that have ended do not block other ends") {
    driver.scheduler.AddEndedJob("ended");
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.List("vm-2", {}, {});
    driver.List("vm-1", {},
                {Ended(1, {"ended", 0, 0, 0}, 1, end_kind::kDone),
                 Ended(2, first, 1, end_kind::kDone)});
    const auto starts = driver.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.index == 1);
  }

  SECTION("a job that was accepted since cannot be running anywhere") {
    driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
    driver.List("vm-1", {}, {});
    driver.Pass(seconds(3));
    driver.List("vm-1", {}, {});
    driver.Add(Job("fresh", {Step(1)}));
    const auto starts = driver.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.job == "fresh");
  }

  SECTION("a known end of a VM's lease overrides the default") {
    takeover_bounds bounds = Bounds();
    bounds.lease_ends["vm-2"] = kClaimed + seconds(1);
    scheduler_driver informed(bounds);
    informed.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
    informed.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
    informed.Add(Job("job", {Step(1)}));
    informed.scheduler.UpdateVms({Vm("vm-1")}, informed.now);
    informed.List("vm-1", {}, {});
    CHECK(informed.Starts().empty());
    informed.Pass(milliseconds(1100));
    informed.List("vm-1", {}, {});
    CHECK(informed.Starts().empty());
    informed.Store();
    CHECK(informed.Starts().size() == 1);
  }
}

// Guards against two concurrent runs of a task. The earlier owner reads and
// starts a job that is accepted during the takeover before the VM is fenced by
// the new owner. A read of the new owner is slow, so that the VM lists the run
// before its job is known. The task was started elsewhere before the next
// listing of the VM.
TEST_CASE("A job that is read after a VM listed it is not started again") {
  scheduler_driver driver(Bounds());
  driver.now = kClaimed;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  const task_name task{"job", 0, 0, 0};

  SECTION("when the VM has listed its task as running") {
    driver.List("vm-1", {Running(task, 1)}, {});
    driver.Pass(milliseconds(1500));
    driver.Add(Job("job", {Step(1)}));
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());

    SECTION("and when that run has ended, the next one has a higher number") {
      driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kLeaseExpired)});
      const auto starts = driver.Starts();
      REQUIRE(starts.size() == 1);
      CHECK(starts[0].target.run == 2);
    }
  }

  SECTION("when the VM has listed the end of its task") {
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kDone)});
    driver.Pass(milliseconds(1500));
    driver.Add(Job("job", {Step(1)}));
    CHECK(driver.Starts().empty());
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kDone)});
    CHECK(driver.Starts().empty());
    CHECK(driver.Store().back().jobs.back().second.phase ==
          job_phase::kCompleted);
  }

  SECTION("a job that no VM has listed starts at once") {
    driver.List("vm-1", {Running({"other", 0, 0, 0}, 1)}, {});
    driver.Add(Job("job", {Step(1)}));
    CHECK(driver.Starts().size() == 1);
  }
}

// Guards against exceeding the capacity of a VM. The run of a job that ended
// under the earlier owner is still on the VM, and its resources are unknown
// here.
TEST_CASE("A run of an ended job blocks its VM until it has ended") {
  scheduler_driver driver(Bounds());
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddEndedJob("ended");
  driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
  const task_name old{"ended", 0, 0, 0};
  driver.List("vm-1", {Running(old, 1)}, {});
  driver.Add(Job("job", {Step(1)}));
  CHECK(driver.Starts().empty());
  REQUIRE(driver.stops.size() == 1);
  driver.scheduler.OnStopAnswer(driver.stops[0].target, true, driver.now);
  driver.Pass(milliseconds(100));
  driver.List("vm-1", {}, {Ended(1, old, 1, end_kind::kStopped)});
  CHECK(driver.Starts().size() == 1);
}

// Guards against reused run numbers. An owner starts run 1 of a task on vm-1
// and records nothing of it. When it is replaced, the lease of vm-1 has expired
// and vm-1 does not answer. The second owner deletes the record of vm-1. If it
// is replaced before it starts another run, the third owner knows neither the
// VM nor the run and uses number 1 again. When vm-1 lists the end of the old
// run, it is mistaken for the end of the new one, and the task is started a
// second time while it runs.
TEST_CASE("The end of an unreported run is not mistaken for a newer one") {
  const task_name task{"job", 0, 0, 0};
  takeover_bounds bounds = Bounds();
  bounds.lease_ends["vm-1"] = kClaimed;
  const known_vm unresponsive{"vm-1", "10.0.0.1:80"};

  // Lets the unresponsive VM answer while the new run of the task is on vm-2.
  const auto bring_back = [&](scheduler_driver* driver, std::uint32_t run) {
    driver->Pass(milliseconds(500));
    driver->scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver->now);
    driver->List("vm-2", {Running(task, run)}, {});
    driver->List("vm-1", {}, {Ended(1, task, 1, end_kind::kLeaseExpired)});
    driver->Store();
  };

  scheduler_driver successor(bounds);
  successor.scheduler.AddKnownVm(unresponsive);
  successor.Add(Job("job", {Step(1)}));

  SECTION("under the owner that deleted the VM's record") {
    successor.Starts();
    successor.Register({Vm("vm-2")});
    const auto starts = successor.StartAll();
    REQUIRE(starts.size() == 1);
    bring_back(&successor, starts[0].target.run);
    CHECK(successor.Starts().empty());
  }

  SECTION("under an owner that replaces it before it has started any") {
    successor.Starts();
    job_progress recorded;
    bool is_vm_recorded = true;
    for (const progress_batch& batch : successor.Store()) {
      for (const auto& [id, progress] : batch.jobs) {
        recorded = progress;
      }
      is_vm_recorded = is_vm_recorded && batch.dropped_vms.empty();
    }

    scheduler_driver next(bounds);
    next.Add(Job("job", {Step(1)}));
    next.scheduler.RestoreJob("job", recorded);
    if (is_vm_recorded) {
      next.scheduler.AddKnownVm(unresponsive);
    }
    next.Starts();
    next.Register({Vm("vm-2")});
    const auto starts = next.StartAll();
    REQUIRE(starts.size() == 1);
    bring_back(&next, starts[0].target.run);
    CHECK(next.Starts().empty());
  }
}

// Guards against reused run numbers. An owner skips 100 run numbers because of
// a VM without a listing, uses the next number for a run before the record of
// that is stored, and is replaced. The next owner knows nothing of it, skips
// the same 100 because the VM of that run does not answer, and uses the same
// number. The end of the first run is then mistaken for the end of the second
// one, which still runs.
TEST_CASE("A number that was used before it was recorded is not reused") {
  const task_name task{"job", 0, 0, 0};
  takeover_bounds bounds = Bounds();
  bounds.lease_ends["vm-1"] = kClaimed;
  scheduler_driver successor(bounds);
  std::vector<start_order> given;

  SECTION("for a job that is read after the VM's record was deleted") {
    successor.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
    successor.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
    successor.Starts();
    successor.Register({Vm("vm-2")});
    successor.Pass(seconds(1));
    successor.List("vm-2", {}, {});
    successor.Add(Job("job", {Step(1)}));
    given = successor.StartAll();
  }

  SECTION("because of a VM without a record") {
    bounds.lease_ends["vm-1"] = kClaimed + milliseconds(100);
    scheduler_driver other(bounds);
    other.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
    other.Add(Job("job", {Step(1)}));
    other.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, other.now);
    other.List("vm-2", {}, {});
    other.Starts();
    other.Store();
    other.Pass(milliseconds(200));
    other.List("vm-2", {}, {});
    given = other.StartAll();
  }

  // Nothing may be started before the record is stored; then no number can be
  // reused.
  if (given.empty()) {
    return;
  }
  REQUIRE(given.size() == 1);
  REQUIRE(given[0].target.vm == "vm-2");

  takeover_bounds later = Bounds();
  later.lease_ends["vm-2"] = kClaimed;
  scheduler_driver next(later);
  next.Add(Job("job", {Step(1)}));
  next.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
  next.Starts();
  next.Store();
  next.Register({Vm("vm-3")});
  const auto starts = next.StartAll();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.run != given[0].target.run);
  next.Pass(milliseconds(500));
  next.scheduler.UpdateVms({Vm("vm-2"), Vm("vm-3")}, next.now);
  next.List("vm-3", {Running(task, starts[0].target.run)}, {});
  next.List("vm-2", {},
            {Ended(1, task, given[0].target.run, end_kind::kLeaseExpired)});
  next.Store();
  CHECK(next.Starts().empty());
}

// Guards against a job that starts again although its task is done. An earlier
// owner started it, the new one has not read it, and the VM lists the end. The
// read of the job hangs, or the store is unavailable, for longer than ends of
// unknown jobs were kept: then the end was acknowledged and dropped.
TEST_CASE("A job that is read late is not started again after its end") {
  scheduler_driver driver(Bounds());
  driver.now = kClaimed;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  const task_name task{"job", 0, 0, 0};
  const ended_task end = Ended(1, task, 1, end_kind::kDone);
  for (int i = 0; i < 35; ++i) {
    driver.List("vm-1", {}, {end});
    driver.List("vm-2", {}, {});
    driver.Starts();
    driver.Pass(milliseconds(100));
  }
  driver.Add(Job("job", {Step(1)}));
  CHECK(driver.Starts().empty());
  CHECK(driver.Starts().empty());
}

// Guards against reused run numbers. The new owner knows from a VM of a run of
// a job that it has not read. The store becomes unavailable, all leases expire,
// and the run is removed with its VM. When the store is available again, the
// job is read before the VM answers, counts as new and gets the same run
// number. The end of the old run is mistaken for that of the new one, and the
// task runs twice at the same time.
TEST_CASE("The number of a run listed before its job was read is not reused") {
  scheduler_driver driver(Bounds());
  driver.now = kClaimed;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  const task_name task{"job", 0, 0, 0};
  const auto start_after_read = [&] {
    driver.Pass(seconds(8));
    driver.Starts();
    driver.Store();
    driver.List("vm-2", {}, {});
    driver.Store();
    driver.Add(Job("job", {Step(1)}));
    const auto starts = driver.StartAll();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].target.vm == "vm-2");
    CHECK(starts[0].target.run > 1);
    driver.Pass(milliseconds(100));
    driver.List("vm-2", {Running(task, starts[0].target.run)}, {});
  };

  SECTION("of a run that was running") {
    driver.List("vm-1", {Running(task, 1)}, {});
    start_after_read();
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kLeaseExpired)});
    driver.Starts();
    driver.Store();
    CHECK(driver.Starts().empty());
  }

  SECTION("of a run that had ended") {
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kFailed)});
    start_after_read();
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kFailed)});
    driver.Starts();
    driver.Store();
    CHECK(driver.Starts().empty());
  }
}

TEST_CASE("The state that an earlier owner recorded is kept") {
  scheduler_driver driver(Bounds());
  step_spec second = Step(1);
  second.depends_on = {0};
  driver.Add(Job("job", {Step(2), second}));
  job_progress progress;
  progress.phase = job_phase::kRunning;
  progress.tasks.push_back({0, 0, 0, 4, {1}, true, "", false});
  progress.tasks.push_back({0, 0, 1, 2, {2}, false, "saved", false});
  driver.scheduler.RestoreJob("job", progress);
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.Register({Vm("vm-1")});
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.task.index == 1);
  CHECK(starts[0].target.run == 3);
  CHECK(starts[0].checkpoint == "saved");

  SECTION("a recorded end that is listed again is not counted twice") {
    driver.Pass(milliseconds(10));
    driver.List("vm-1", {Running(starts[0].target.task, 3)},
                {Ended(1, starts[0].target.task, 2, end_kind::kFailed)});
    for (const progress_batch& batch : driver.Store()) {
      for (const auto& [id, stored] : batch.jobs) {
        CHECK(stored.phase == job_phase::kRunning);
      }
    }
  }

  SECTION("and a batch passes the same state to the next owner") {
    driver.Pass(milliseconds(10));
    driver.List("vm-1", {},
                {Ended(1, starts[0].target.task, 3, end_kind::kFailed)});
    const auto batches = driver.Store();
    REQUIRE_FALSE(batches.empty());
    CHECK(batches.back().jobs[0].second.phase == job_phase::kFailed);
  }
}

// Guards against failures that are not counted. A task failed twice under an
// owner that could not reach the store, so that nothing is recorded. The new
// owner hears from the VM of the second run first. If a failure were ignored, a
// third run would be permitted.
TEST_CASE("Failures are counted in whatever order VMs list them") {
  scheduler_driver driver(Bounds());
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
  driver.Add(Job("job", {Step(1)}), Policy(2));
  driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
  const task_name task{"job", 0, 0, 0};
  driver.List("vm-2", {}, {Ended(1, task, 2, end_kind::kFailed)});
  driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kFailed)});
  CHECK(driver.Starts().empty());
  CHECK(driver.Store().back().jobs[0].second.phase == job_phase::kFailed);
}

TEST_CASE("A VM is used only after a record of it is stored") {
  scheduler_driver driver;
  driver.Add(Job("job", {Step(1)}));
  driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
  driver.List("vm-1", {}, {});
  CHECK(driver.Starts().empty());
  const auto batches = driver.Store();
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].used_vms.size() == 1);
  CHECK(driver.StartAll().size() == 1);

  SECTION("and its record is deleted when its lease has expired") {
    driver.scheduler.OnHoldUnanswered("vm-1");
    driver.Pass(seconds(6));
    driver.Starts();
    const auto later = driver.Store();
    REQUIRE_FALSE(later.empty());
    CHECK(later[0].dropped_vms == std::vector<vm_id>{"vm-1"});
  }
}

// Guards against tasks of a job with a schedule that a new owner stops, starts
// a second time or forgets as ended, because it has not opened their occurrence
// when a VM lists them.
TEST_CASE("A new owner opens the occurrences that VMs list before its plans") {
  scheduler_driver driver(Bounds());
  const task_name task{"job", 1, 0, 0};
  const auto job = std::make_shared<job_spec>(*Job("job", {Step(2)}));
  job->schedule = job_schedule{driver.now - seconds(20), seconds(15), 3};
  const auto take_over = [&] {
    driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
    driver.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
    driver.Add(job);
    // The tasks of occurrence 0 are done.
    job_progress progress;
    progress.phase = job_phase::kRunning;
    progress.tasks = {{0, 0, 0, 1, {}, true, "", false, {}},
                      {0, 0, 1, 1, {}, true, "", false, {}}};
    driver.scheduler.RestoreJob("job", progress);
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
  };

  SECTION("a listed run continues, and only the other task starts") {
    take_over();
    driver.List("vm-1", {Running(task, 1)}, {});
    driver.List("vm-2", {}, {});
    const auto starts = driver.Starts();
    CHECK(driver.stops.empty());
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.occurrence == 1);
    CHECK(starts[0].target.task.index == 1);
  }

  SECTION("a listed end is counted before it is acknowledged") {
    take_over();
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kDone)});
    driver.List("vm-2", {}, {});
    const auto starts = driver.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.index == 1);
    const auto batches = driver.Store();
    REQUIRE(!batches.empty());
    REQUIRE(batches[0].jobs.size() == 1);
    CHECK(batches[0].jobs[0].second.tasks.back().occurrence == 1);
    CHECK(batches[0].jobs[0].second.tasks.back().done);
    CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
          1);
  }

  SECTION("a listed failure counts as an attempt") {
    take_over();
    driver.List("vm-1", {},
                {Ended(1, task, 1, end_kind::kFailed),
                 Ended(2, task, 2, end_kind::kFailed)});
    const auto batches = driver.Store();
    REQUIRE(!batches.empty());
    REQUIRE(batches[0].jobs.size() == 1);
    CHECK(batches[0].jobs[0].second.phase == job_phase::kFailed);
  }

  SECTION("also when its clock is behind that of the earlier owner") {
    job->schedule->first_due = driver.now - seconds(14);
    take_over();
    driver.List("vm-1", {Running(task, 1)}, {});
    driver.List("vm-2", {}, {});
    CHECK(driver.Starts().size() == 1);
    CHECK(driver.stops.empty());

    SECTION("and the occurrence is not opened again when it is due") {
      driver.Store();
      driver.Pass(seconds(1));
      driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kDone)});
      CHECK(driver.Starts().empty());
    }
  }

  SECTION("also when the job is read after a VM has listed its tasks") {
    driver.now = kClaimed;
    driver.Register({Vm("vm-1"), Vm("vm-2")});
    driver.List("vm-1", {Running({"job", 0, 0, 0}, 1)}, {});
    driver.Pass(milliseconds(1500));
    driver.Add(job);
    driver.List("vm-2", {}, {});
    for (const start_order& start : driver.Starts()) {
      CHECK(start.target.task != task_name{"job", 0, 0, 0});
    }
    CHECK(driver.stops.empty());
  }

  SECTION("a task that the job does not have opens nothing") {
    take_over();
    driver.List("vm-1", {Running({"job", 2, 0, 2}, 1)}, {});
    driver.List("vm-2", {}, {Ended(1, {"job", 3, 0, 0}, 1, end_kind::kDone)});
    for (const start_order& start : driver.Starts()) {
      CHECK(start.target.task.occurrence == 1);
    }
    REQUIRE(driver.stops.size() == 1);
    CHECK(driver.stops[0].target.task.index == 2);
  }
}

// Guards against tasks that are stopped, or run again, because their job waits
// for memory when a new owner reads it.
TEST_CASE("The runs of an unopened job continue until it is opened") {
  scheduler_driver driver(Bounds());
  const task_name first{"job", 0, 0, 0};
  const task_name second{"job", 0, 0, 1};
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddUnopenedJob("job");
  driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
  const auto list = [&] {
    driver.scheduler.NoteJobsRead(driver.now + seconds(1));
    driver.List("vm-1", {Running(first, 1)},
                {Ended(1, second, 1, end_kind::kDone)});
    driver.List("vm-2", {}, {});
    driver.Pass(seconds(2));
  };
  list();
  list();
  CHECK(driver.Starts().empty());
  CHECK(driver.stops.empty());
  CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
        0);
  CHECK(driver.scheduler.ListedUnopenedJobs() == std::vector<job_id>{"job"});

  driver.Add(Job("job", {Step(3)}));
  CHECK(driver.scheduler.ListedUnopenedJobs().empty());
  list();
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.task.index == 2);
  CHECK(driver.stops.empty());
  driver.Store();
  CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
        1);
}

// Guards against tasks that run again because a job was opened without the
// progress that is recorded of it.
TEST_CASE("A job that is opened late continues from its progress") {
  scheduler_driver driver(Bounds());
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddUnopenedJob("job");
  driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
  driver.List("vm-1", {Running({"job", 0, 0, 1}, 4)}, {});
  job_progress progress;
  progress.phase = job_phase::kRunning;
  progress.tasks = {{0, 0, 0, 1, {}, true, "", false, {}},
                    {0, 0, 1, 3, {2}, false, "saved", false, {}},
                    {0, 0, 2, 5, {}, false, "saved", false, {}}};
  driver.scheduler.AddJob(Job("job", {Step(3)}), Policy(), driver.now,
                          duration::zero(), progress);
  driver.List("vm-1", {Running({"job", 0, 0, 1}, 4)}, {});
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.task.index == 2);
  CHECK(starts[0].target.run == 6);
  CHECK(starts[0].checkpoint == "saved");
  CHECK(driver.stops.empty());
}

}  // namespace
}  // namespace plantainhead::core::jobs
