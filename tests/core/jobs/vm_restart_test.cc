#include <catch2/catch.hpp>

#include <string>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kFirstIncarnation = 1'790'000'000'000;
constexpr std::int64_t kNextIncarnation = kFirstIncarnation + 7000;

/// A pool of two VMs, one of which restarts under its id.
class restarted_vm {
 public:
  restarted_vm() {
    driver.Register({Described(kFirstIncarnation), Vm("vm-2", 1000)});
  }

  static vm_description Described(std::int64_t incarnation) {
    vm_description vm = Vm("vm-1");
    vm.incarnation = incarnation;
    return vm;
  }

  /// Registers the VM with the entry that its next incarnation writes.
  void RegisterNextIncarnation() {
    driver.scheduler.UpdateVms({Described(kNextIncarnation), Vm("vm-2", 1000)},
                               driver.now);
  }

  void List(std::int64_t incarnation,
            duration clock,
            std::vector<running_task> running = {},
            std::vector<ended_task> ended = {}) {
    ListSentAt(driver.now, incarnation, clock, std::move(running),
               std::move(ended));
  }

  void ListSentAt(time_point sent_at,
                  std::int64_t incarnation,
                  duration clock,
                  std::vector<running_task> running = {},
                  std::vector<ended_task> ended = {}) {
    run_listing listing;
    listing.incarnation = incarnation;
    listing.vm_clock = clock;
    listing.running = std::move(running);
    listing.ended = std::move(ended);
    driver.scheduler.OnListing("vm-1", sent_at, listing, driver.now);
  }

  duration FirstClock() const { return driver.now.time_since_epoch(); }

  /// Lets a job with `count` tasks end as done on the first incarnation.
  void EndTasksOfFirstIncarnation(std::uint32_t count) {
    driver.Add(Job("before", {Step(count, 1500)}));
    driver.StartAll();
    std::vector<ended_task> ended;
    for (std::uint32_t i = 0; i < count; ++i) {
      ended.push_back(Ended(i + 1, {"before", 0, 0, i}, 1, end_kind::kDone));
    }
    List(kFirstIncarnation, FirstClock(), {}, ended);
    driver.Store();
  }

  scheduler_driver driver;
  const task_name task{"job", 0, 0, 0};
};

// Guards against tasks that run twice. The first ends of a VM that restarts
// under its id were mistaken for ends of its previous incarnation that were
// processed before.
TEST_CASE("All ends of the next incarnation of a VM are processed") {
  restarted_vm vm;
  scheduler_driver& driver = vm.driver;
  vm.EndTasksOfFirstIncarnation(3);
  CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
        3);
  driver.scheduler.OnHoldUnanswered("vm-1");
  CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
        0);
  driver.Pass(seconds(2));

  const auto clock = GENERATE(as<duration>(), seconds(1), seconds(9'000'000));
  vm.List(kNextIncarnation, clock);
  vm.RegisterNextIncarnation();
  driver.Add(Job("job", {Step(1, 2000)}));
  REQUIRE(driver.StartAll().size() == 1);
  driver.Pass(milliseconds(500));
  vm.List(kNextIncarnation, clock + milliseconds(500), {},
          {Ended(1, vm.task, 1, end_kind::kDone)});
  const auto batches = driver.Store();
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].jobs.back().second.phase == job_phase::kCompleted);
  CHECK(driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
        1);
  CHECK(driver.StartAll().empty());
}

// Guards against runs that were lost with the previous incarnation of a VM and
// are treated as if they were on the next one.
TEST_CASE("Runs of an incarnation have ended when the next one answers") {
  restarted_vm vm;
  scheduler_driver& driver = vm.driver;
  driver.Add(Job("job", {Step(1, 2000)}));
  REQUIRE(driver.StartAll().size() == 1);
  vm.List(kFirstIncarnation, vm.FirstClock(), {Running(vm.task, 1)});
  driver.Pass(seconds(1));

  SECTION("by its listing") {
    vm.List(kNextIncarnation, seconds(1));
    driver.Store();
    CHECK(driver.StartAll().empty());

    SECTION("and it accepts tasks once the registry has its entry") {
      vm.RegisterNextIncarnation();
      const auto starts = driver.StartAll();
      REQUIRE(starts.size() == 1);
      CHECK(starts[0].target.run == 2);
    }

    SECTION("and a late answer of the previous incarnation is ignored") {
      vm.RegisterNextIncarnation();
      REQUIRE(driver.StartAll().size() == 1);
      vm.ListSentAt(driver.now - seconds(1), kFirstIncarnation, vm.FirstClock(),
                    {}, {Ended(1, vm.task, 1, end_kind::kStopped)});
      driver.Pass(milliseconds(500));
      vm.List(kNextIncarnation, milliseconds(1500), {},
              {Ended(1, vm.task, 2, end_kind::kDone)});
      driver.Store();
      CHECK(driver.StartAll().empty());
      CHECK(
          driver.scheduler.NextHold("vm-1", driver.now).acknowledged_through ==
          1);
    }
  }

  SECTION("by the registry, and it accepts tasks once it has answered") {
    vm.RegisterNextIncarnation();
    driver.Store();
    CHECK(driver.StartAll().empty());
    vm.List(kNextIncarnation, seconds(1));
    driver.Store();
    CHECK(driver.StartAll().size() == 1);
  }
}

// Guards against tasks that crash their VMs and start without limit. The next
// incarnation of a VM under its id was mistaken for a VM that had only been
// disconnected.
TEST_CASE("A run lost by a previous incarnation counts against its task") {
  restarted_vm vm;
  scheduler_driver& driver = vm.driver;
  driver.Add(Job("job", {Step(1, 2000)}));
  REQUIRE(driver.StartAll().size() == 1);
  driver.scheduler.OnHoldUnanswered("vm-1");
  driver.Pass(seconds(2));
  vm.List(kNextIncarnation, seconds(1));
  vm.RegisterNextIncarnation();
  driver.Starts();
  vm.List(kNextIncarnation, seconds(1));
  const auto losses = driver.scheduler.TakeLosses();
  REQUIRE(losses.size() == 1);
  CHECK(losses[0].kind == loss_kind::kCrashAtStart);
  const auto batches = driver.Store();
  REQUIRE_FALSE(batches.empty());
  const job_progress& progress = batches.back().jobs.back().second;
  REQUIRE(progress.tasks.size() == 1);
  CHECK(progress.tasks[0].losses.size() == 1);
}

// Guards against the same error if another owner has recorded the loss.
TEST_CASE("A loss is not withdrawn by the next incarnation of its VM") {
  const auto incarnation = GENERATE(kFirstIncarnation, kNextIncarnation);
  scheduler_driver driver;
  driver.Add(Job("job", {Step(1, 2000)}));
  task_record record;
  record.ended_run = 1;
  record.is_presumed = true;
  record.losses = {{1, loss_kind::kSilenceAtStart, "vm-1", kFirstIncarnation}};
  driver.scheduler.RestoreJob("job", {job_phase::kRunning, {record}});
  driver.Register({restarted_vm::Described(incarnation)});
  run_listing listing;
  listing.incarnation = incarnation;
  listing.vm_clock = driver.now.time_since_epoch();
  driver.scheduler.OnHoldUnanswered("vm-1");
  driver.scheduler.OnListing("vm-1", driver.now, listing, driver.now);
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 1);
  driver.List("vm-1", {}, {Ended(1, {"job", 0, 0, 0}, 2, end_kind::kFailed)});
  const auto batches = driver.Store();
  REQUIRE_FALSE(batches.empty());
  const job_progress& progress = batches.back().jobs.back().second;
  REQUIRE(progress.tasks.size() == 1);
  CHECK(progress.tasks[0].losses.empty() == (incarnation == kFirstIncarnation));
}

// Guards against a start of the previous incarnation that the next one carries
// out late, concurrently with a newer run.
TEST_CASE("An unanswered start is also resolved with the next incarnation") {
  restarted_vm vm;
  scheduler_driver& driver = vm.driver;
  driver.Add(Job("job", {Step(1, 2000)}));
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 1);
  driver.scheduler.OnStartAnswer(starts[0].target, start_result::kUnknown,
                                 driver.now);

  SECTION("when the previous incarnation ended before it confirmed the stop") {
    driver.scheduler.OnHoldUnanswered("vm-1");
    driver.Starts();
    REQUIRE(driver.stops.size() == 1);
    driver.Pass(seconds(2));
    vm.List(kNextIncarnation, seconds(1));
    vm.RegisterNextIncarnation();
    // The previous incarnation may have confirmed this stop.
    driver.scheduler.OnStopAnswer(starts[0].target, true, driver.now);
    vm.List(kNextIncarnation, seconds(1));
    driver.Store();
    CHECK(driver.Starts().empty());
  }

  SECTION("when the previous incarnation had confirmed the stop") {
    driver.Starts();
    driver.scheduler.OnStopAnswer(starts[0].target, true, driver.now);
    vm.List(kFirstIncarnation, vm.FirstClock() + milliseconds(1));
    driver.Store();
    driver.Pass(milliseconds(1));
    vm.List(kNextIncarnation, seconds(1));
    vm.RegisterNextIncarnation();
    driver.Starts();
  }
  REQUIRE(driver.stops.size() == 1);
  CHECK(driver.stops[0].target.run == 1);
  driver.scheduler.OnStopAnswer(driver.stops[0].target, true, driver.now);
  driver.Pass(milliseconds(10));
  vm.List(kNextIncarnation, milliseconds(1010));
  driver.Store();
  const auto again = driver.Starts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].target.run == 2);
}

// Guards against a lease that is not renewed and a task that is suspected of
// crashing its VM, because a hold of the previous incarnation fails late.
TEST_CASE("A hold fails only the incarnation for which it was sent") {
  restarted_vm vm;
  scheduler_driver& driver = vm.driver;
  const time_point former_sent_at = driver.now;
  driver.Pass(seconds(1));
  vm.RegisterNextIncarnation();
  vm.List(kNextIncarnation, seconds(1));
  driver.Add(Job("job", {Step(1, 2000)}));
  REQUIRE(driver.StartAll().size() == 1);
  vm.List(kNextIncarnation, seconds(1), {Running(vm.task, 1)});
  driver.Store();
  driver.Pass(milliseconds(100));

  SECTION("a hold of the previous one does not count") {
    CHECK_FALSE(driver.scheduler.OnHoldUnanswered("vm-1", former_sent_at));
    CHECK(driver.scheduler.NextHold("vm-1", driver.now).lease_until);
    CHECK(driver.Store().empty());
  }

  SECTION("a hold of the current one counts") {
    CHECK(driver.scheduler.OnHoldUnanswered("vm-1", driver.now));
    CHECK_FALSE(driver.scheduler.NextHold("vm-1", driver.now).lease_until);
    const auto batches = driver.Store();
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].jobs.back().second.tasks.at(0).losses.size() == 1);
  }
}

// Guards against a task that runs twice. A call to the former address of a VM
// is answered there by another VM, after the first one has restarted under its
// id at another address.
TEST_CASE("A late rejection does not end the runs of the next incarnation") {
  restarted_vm vm;
  scheduler_driver& driver = vm.driver;
  driver.Add(Job("first", {Step(1, 2000)}));
  const auto former = driver.Starts();
  REQUIRE(former.size() == 1);
  const time_point former_sent_at = driver.now;
  driver.Pass(seconds(1));
  vm.RegisterNextIncarnation();
  vm.List(kNextIncarnation, seconds(1));
  driver.Add(Job("job", {Step(1, 2000)}));
  const auto starts = driver.Starts();
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].target.task == vm.task);
  driver.scheduler.OnStartAnswer(starts[0].target, start_result::kStarted,
                                 driver.now);
  driver.Pass(milliseconds(100));

  SECTION("of a hold") {
    CHECK_FALSE(
        driver.scheduler.OnReplaced("vm-1", driver.now, former_sent_at));
    CHECK(driver.scheduler.FindVm("vm-1") != nullptr);
    CHECK(driver.scheduler.TakeLosses().empty());
  }

  SECTION("of a start, which has not been accepted by any incarnation") {
    driver.scheduler.OnStartAnswer(former[0].target, start_result::kReplaced,
                                   driver.now);
    CHECK(driver.scheduler.FindVm("vm-1") != nullptr);
    CHECK(driver.scheduler.TakeLosses().empty());
    driver.Store();
    const auto again = driver.Starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.task.job == "first");
  }

  SECTION("unless the call was sent to this incarnation") {
    CHECK(driver.scheduler.OnReplaced("vm-1", driver.now, driver.now));
    CHECK(driver.scheduler.FindVm("vm-1") == nullptr);
  }
}

// Guards against a VM that is never used again, since another VM had taken over
// its address before it restarted under its id.
TEST_CASE("A VM that was replaced is used again in its next incarnation") {
  restarted_vm vm;
  scheduler_driver& driver = vm.driver;
  driver.scheduler.OnReplaced("vm-1", driver.now);
  driver.Pass(seconds(1));

  SECTION("when the registry has the entry of that incarnation") {
    vm.RegisterNextIncarnation();
    REQUIRE(driver.scheduler.FindVm("vm-1") != nullptr);
    vm.List(kNextIncarnation, seconds(1));
    driver.Store();
    vm.List(kNextIncarnation, seconds(1));
    driver.Add(Job("job", {Step(1, 2000)}));
    const auto starts = driver.StartAll();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.vm == "vm-1");
  }

  SECTION("not while the registry has the entry of the former one") {
    driver.scheduler.UpdateVms(
        {restarted_vm::Described(kFirstIncarnation), Vm("vm-2", 1000)},
        driver.now);
    CHECK(driver.scheduler.FindVm("vm-1") == nullptr);
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
