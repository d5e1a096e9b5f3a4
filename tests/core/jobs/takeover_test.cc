#include <catch2/catch.hpp>

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

// Guards against a pool that stands still for the length of a lease after each
// change of its owner, for VMs that were emptied and moved away before.
TEST_CASE("A new owner doesn't wait for VMs that were recorded as vacant") {
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

  SECTION("one that is listed and silent") {
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.scheduler.CloseVm("vm-2", driver.now);
    driver.scheduler.OnHoldUnanswered("vm-2");
    driver.List("vm-1", {}, {});
    CHECK(driver.Starts().size() == 2);
  }

  SECTION("but for all others") {
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.scheduler.CloseVm("vm-2", driver.now);
    driver.List("vm-2", {}, {});
    CHECK(driver.Starts().empty());
  }

  SECTION("and what it tells to run all the same isn't started again") {
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.scheduler.CloseVm("vm-2", driver.now);
    driver.List("vm-2", {Running({"job", 0, 0, 0}, 1)}, {});
    driver.List("vm-1", {}, {});
    const auto starts = driver.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.index == 1);
  }
}

// Guards against the same for VMs whose records of use were dropped, and that
// the registry lists for some seconds more.
TEST_CASE("A new owner doesn't wait for vacant VMs that are only listed yet") {
  scheduler_driver driver(Bounds());
  driver.scheduler.RestoreVacantVms({"vm-2"});
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.Add(Job("job", {Step(2)}));
  driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
  driver.scheduler.CloseVm("vm-2", driver.now);
  driver.List("vm-1", {}, {});
  CHECK(driver.Starts().size() == 2);
}

// Guards against a takeover that waits for records of leases that have ended,
// one after the other, on VMs that were vacant.
TEST_CASE("The end of a vacant VM's lease holds up no takeover") {
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

// Guards against a VM that is recorded as vacant before all that it tells is
// known: the next owner doesn't ask it, and would start its task again.
TEST_CASE("A VM that tells an end of an unknown job isn't empty") {
  scheduler_driver driver(Bounds());
  driver.Register({Vm("vm-1")});
  CHECK(driver.scheduler.IsEmpty("vm-1"));
  driver.List("vm-1", {}, {Ended(1, {"unknown", 0, 0, 0}, 1, end_kind::kDone)});
  CHECK_FALSE(driver.scheduler.IsEmpty("vm-1"));
}

// An owner is replaced. What it started runs on, and VMs that the new owner
// hasn't heard may hold any task of the jobs that were accepted before. A task
// that started at once would run twice.
TEST_CASE("A new owner asks all VMs before it starts what may be running") {
  scheduler_driver driver(Bounds());
  driver.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
  driver.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
  driver.Add(Job("job", {Step(2)}));
  const task_name first{"job", 0, 0, 0};

  SECTION("also one that the registry doesn't list") {
    driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
    CHECK(driver.scheduler.Vms().size() == 2);
    driver.List("vm-1", {}, {});
    CHECK(driver.Starts().empty());

    SECTION("what it tells is running isn't started again") {
      driver.Pass(milliseconds(10));
      driver.List("vm-2", {Running(first, 3)}, {});
      const auto starts = driver.Starts();
      REQUIRE(starts.size() == 1);
      CHECK(starts[0].target.task.index == 1);
    }

    SECTION("it is waited for until its last lease is over") {
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

  SECTION("a VM is heard only when its listing was taken in whole") {
    driver.scheduler.UpdateVms({Vm("vm-1"), Vm("vm-2")}, driver.now);
    driver.List("vm-2", {}, {});
    // The end of a job that isn't known here holds back the second one.
    driver.List("vm-1", {},
                {Ended(1, {"unknown", 0, 0, 0}, 1, end_kind::kDone),
                 Ended(2, first, 1, end_kind::kDone)});
    CHECK(driver.Starts().empty());
  }

  SECTION("ends of jobs that have ended hold nothing back") {
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

  SECTION("a job that was accepted since can't be running anywhere") {
    driver.scheduler.UpdateVms({Vm("vm-1")}, driver.now);
    driver.List("vm-1", {}, {});
    driver.Pass(seconds(3));
    driver.List("vm-1", {}, {});
    driver.Add(Job("fresh", {Step(1)}));
    const auto starts = driver.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.task.job == "fresh");
  }

  SECTION("a known end of a VM's lease goes before the general bound") {
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

// Two runs of a task were seen at once. The owner before had read a job that
// was accepted during the takeover, and started it before the VM heard of the
// new owner. A read of the new one was slow, so that the VM listed the run
// first, of a job that wasn't known, and the job was read later. It was started
// elsewhere before the VM's next listing.
TEST_CASE("A job that is read after a VM has told of it isn't started again") {
  scheduler_driver driver(Bounds());
  driver.now = kClaimed;
  driver.Register({Vm("vm-1"), Vm("vm-2")});
  const task_name task{"job", 0, 0, 0};

  SECTION("when the VM has told that its task runs") {
    driver.List("vm-1", {Running(task, 1)}, {});
    driver.Pass(milliseconds(1500));
    driver.Add(Job("job", {Step(1)}));
    CHECK(driver.Starts().empty());
    CHECK(driver.stops.empty());

    SECTION("and when that run is over, the next one has a higher number") {
      driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kLeaseExpired)});
      const auto starts = driver.Starts();
      REQUIRE(starts.size() == 1);
      CHECK(starts[0].target.run == 2);
    }
  }

  SECTION("when the VM has told that its task ended") {
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kDone)});
    driver.Pass(milliseconds(1500));
    driver.Add(Job("job", {Step(1)}));
    CHECK(driver.Starts().empty());
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kDone)});
    CHECK(driver.Starts().empty());
    CHECK(driver.Store().back().jobs.back().second.phase ==
          job_phase::kCompleted);
  }

  SECTION("a job of which no VM has told starts at once") {
    driver.List("vm-1", {Running({"other", 0, 0, 0}, 1)}, {});
    driver.Add(Job("job", {Step(1)}));
    CHECK(driver.Starts().size() == 1);
  }
}

// The run of a job that ended under the earlier owner is still on a VM. How
// much room it takes isn't known here; a start beside it could exceed the VM.
TEST_CASE("A run of an ended job closes its VM until it is gone") {
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

// An owner started run 1 of a task on vm-1 and recorded nothing of it. By the
// time it is replaced, the VM's lease is over and the VM is silent. Its heir
// drops the record of the VM; if the heir is replaced before it gives another
// run, the next owner knows of neither VM nor run and gives number 1 again.
// When vm-1 tells the end of the old run, that passes for the end of the new
// one, and the task is started a second time while it runs.
TEST_CASE(
    "The end of a run that nobody has heard doesn't pass for a newer one") {
  const task_name task{"job", 0, 0, 0};
  takeover_bounds bounds = Bounds();
  bounds.lease_ends["vm-1"] = kClaimed;
  const known_vm unresponsive{"vm-1", "10.0.0.1:80"};

  // Brings the silent VM back while the task's new run is on vm-2.
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

  SECTION("under the heir that dropped the VM's record") {
    successor.Starts();
    successor.Register({Vm("vm-2")});
    const auto starts = successor.StartAll();
    REQUIRE(starts.size() == 1);
    bring_back(&successor, starts[0].target.run);
    CHECK(successor.Starts().empty());
  }

  SECTION("under an owner that replaces the heir before it has started any") {
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

// An heir leaves out 100 run numbers because of a VM that never told. It gives
// the next number to a run before a record of that is stored, and is replaced.
// The next owner knows nothing of it, leaves out the same 100 because the VM of
// that run is silent, and gives the same number. The end of the first of the
// two runs then passes for the end of the second one, which still runs.
TEST_CASE("A number that was given before a record of it is not given again") {
  const task_name task{"job", 0, 0, 0};
  takeover_bounds bounds = Bounds();
  bounds.lease_ends["vm-1"] = kClaimed;
  scheduler_driver successor(bounds);
  std::vector<start_order> given;

  SECTION("to a job that is read after the silent VM's record was dropped") {
    successor.scheduler.AddKnownVm({"vm-1", "10.0.0.1:80"});
    successor.scheduler.AddKnownVm({"vm-2", "10.0.0.2:80"});
    successor.Starts();
    successor.Register({Vm("vm-2")});
    successor.Pass(seconds(1));
    successor.List("vm-2", {}, {});
    successor.Add(Job("job", {Step(1)}));
    given = successor.StartAll();
  }

  SECTION("because of a VM of which no record was kept") {
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

  // Nothing is to be started before the record; if so, no number can recur.
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

// An earlier owner started a job that the new one hasn't read, and the task is
// done. The VM tells that end. The read that would bring the job hangs, or the
// store is away, for longer than ends of unknown jobs are kept: then the end is
// acknowledged and forgotten, and the job, once read, starts again.
TEST_CASE("A job that is read late isn't started again after its end") {
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

// The new owner has heard that a run of a job that it hasn't read is on a VM.
// The store falls silent, all leases end, and the run is forgotten with its VM.
// When the store answers again the job is read before the VM is heard, counts
// as new and gets the same number. The end of the old run passes for the new
// one's, and the task is started beside itself.
TEST_CASE("A run that was told before its job was read keeps its number") {
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

  SECTION("one that ran") {
    driver.List("vm-1", {Running(task, 1)}, {});
    start_after_read();
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kLeaseExpired)});
    driver.Starts();
    driver.Store();
    CHECK(driver.Starts().empty());
  }

  SECTION("one that had ended") {
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kFailed)});
    start_after_read();
    driver.List("vm-1", {}, {Ended(1, task, 1, end_kind::kFailed)});
    driver.Starts();
    driver.Store();
    CHECK(driver.Starts().empty());
  }
}

TEST_CASE("What an earlier owner recorded is kept") {
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

  SECTION("a recorded end that a VM lists again is no second failure") {
    driver.Pass(milliseconds(10));
    driver.List("vm-1", {Running(starts[0].target.task, 3)},
                {Ended(1, starts[0].target.task, 2, end_kind::kFailed)});
    for (const progress_batch& batch : driver.Store()) {
      for (const auto& [id, stored] : batch.jobs) {
        CHECK(stored.phase == job_phase::kRunning);
      }
    }
  }

  SECTION("and a batch tells the same to the next owner") {
    driver.Pass(milliseconds(10));
    driver.List("vm-1", {},
                {Ended(1, starts[0].target.task, 3, end_kind::kFailed)});
    const auto batches = driver.Store();
    REQUIRE_FALSE(batches.empty());
    CHECK(batches.back().jobs[0].second.phase == job_phase::kFailed);
  }
}

// A task failed twice under an owner that couldn't reach the store, so that
// nothing of it is recorded. The new owner hears the VM of the second run
// first. A failure that is passed over would allow a third run.
TEST_CASE("Failures are counted in whatever order VMs tell of them") {
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

  SECTION("and dropped from the records when its lease is over") {
    driver.scheduler.OnHoldUnanswered("vm-1");
    driver.Pass(seconds(6));
    driver.Starts();
    const auto later = driver.Store();
    REQUIRE_FALSE(later.empty());
    CHECK(later[0].dropped_vms == std::vector<vm_id>{"vm-1"});
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
