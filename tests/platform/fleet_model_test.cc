#include "fleet_model.h"

#include <catch2/catch.hpp>

namespace plantainhead::fakes {
namespace {

using namespace core;
using namespace std::chrono_literals;

constexpr time_point kStart{1h};
const vm_id kVm{"vm-1"};
const job_id kJob{"job-1"};

class fleet_fixture {
 public:
  fleet_fixture() {
    vm_listing vm;
    vm.vm = kVm;
    vm.processors = 4;
    vm.memory_mb = 1000;
    fleet_.Register(vm, kStart);
  }

 protected:
  operation_progress Run(const std::string& id,
                         const platform_operation& what,
                         time_point now) {
    return fleet_.Run(operation_id(id), what, now).answer.progress;
  }

  operation_progress StartTask(const std::string& id, time_point now) {
    return Run(id, start_task{kJob, kVm, 2, 100, 0, 10s}, now);
  }

  vm_listing_state VmAt(time_point now) {
    return fleet_.ReadVms(0, now).items.at(kVm)->state;
  }

  task_listing TaskAt(time_point now) {
    return *fleet_.ReadTasks(0, now).items.at(kJob);
  }

  fleet_model fleet_;
};

TEST_CASE_METHOD(fleet_fixture, "A VM is rebooted once for one operation") {
  fleet_.set_reboot_time(5s);
  CHECK(Run("o1", reboot_vm{kVm}, kStart) == operation_progress::kRunning);
  CHECK(VmAt(kStart + 4s) == vm_listing_state::kLeaving);
  CHECK(Run("o1", reboot_vm{kVm}, kStart + 4s) == operation_progress::kRunning);
  CHECK(Run("o1", reboot_vm{kVm}, kStart + 5s) == operation_progress::kDone);
  CHECK(VmAt(kStart + 5s) == vm_listing_state::kLive);
  CHECK(Run("o1", reboot_vm{kVm}, kStart + 9s) == operation_progress::kDone);
  CHECK(fleet_.reboots().at(kVm) == 1);

  SECTION("and its id cannot be reused for another operation") {
    CHECK(Run("o1", move_vm{kVm, pool_id("a")}, kStart + 9s) ==
          operation_progress::kRefused);
  }
}

TEST_CASE_METHOD(fleet_fixture,
                 "Changes appear in the VM list after the list lag") {
  fleet_.set_list_lag(3s);
  CHECK(fleet_.ReadVms(0, kStart + 2s).items.empty());
  const auto first = fleet_.ReadVms(0, kStart + 3s);
  CHECK(first.is_whole);
  CHECK(first.items.size() == 1);
  fleet_.SetState(kVm, vm_listing_state::kLeaving, kStart + 4s);
  CHECK(VmAt(kStart + 6s) == vm_listing_state::kLive);
  CHECK(VmAt(kStart + 7s) == vm_listing_state::kLeaving);

  SECTION("and are read incrementally") {
    fleet_.Remove(kVm, kStart + 8s);
    const auto changed = fleet_.ReadVms(first.version, kStart + 10s);
    CHECK_FALSE(changed.is_whole);
    CHECK(changed.items.at(kVm)->state == vm_listing_state::kLeaving);
    const auto gone = fleet_.ReadVms(changed.version, kStart + 11s);
    CHECK_FALSE(gone.items.at(kVm).has_value());
    CHECK(fleet_.ReadVms(gone.version, kStart + 12s).items.empty());
    CHECK(fleet_.ReadVms(0, kStart + 12s).items.empty());
  }

  SECTION("and the whole list is read by a reader that is far behind") {
    for (int i = 0; i < 10'000; ++i) {
      fleet_.SetState(kVm, vm_listing_state::kLeaving, kStart + 10s);
    }
    CHECK_FALSE(fleet_.ReadVms(first.version, kStart + 60s).is_whole);
    CHECK(fleet_.ReadVms(first.version, kStart + 60s).is_whole);
  }
}

// The holder of a task lease stops renewing it. The platform must end the task
// when the lease expires and refuse a later renewal, even if the task was not
// read in between.
TEST_CASE_METHOD(fleet_fixture, "A lease expires unless it is renewed") {
  CHECK(StartTask("o1", kStart) == operation_progress::kDone);
  CHECK(TaskAt(kStart + 9s).state == task_state::kRunning);
  CHECK(Run("o2", renew_task{kJob, kVm, 10s}, kStart + 9s) ==
        operation_progress::kDone);
  CHECK(TaskAt(kStart + 18s).state == task_state::kRunning);
  CHECK(Run("o3", renew_task{kJob, kVm, 10s}, kStart + 19s) ==
        operation_progress::kRefused);
  CHECK(TaskAt(kStart + 19s).state == task_state::kLeaseExpired);
  CHECK(StartTask("o1", kStart + 20s) == operation_progress::kDone);
  CHECK(TaskAt(kStart + 20s).state == task_state::kLeaseExpired);
  CHECK(StartTask("o4", kStart + 20s) == operation_progress::kDone);
  CHECK(TaskAt(kStart + 20s).started_by == operation_id("o4"));
}

TEST_CASE_METHOD(fleet_fixture, "A task needs a VM with enough capacity") {
  CHECK(StartTask("o1", kStart) == operation_progress::kDone);
  const auto other = [&](std::uint32_t processors, std::uint32_t memory_mb) {
    return Run("o" + std::to_string(processors) + std::to_string(memory_mb),
               start_task{job_id("job-2"), kVm, processors, memory_mb, 0, 10s},
               kStart);
  };
  CHECK(other(3, 100) == operation_progress::kRefused);
  CHECK(other(2, 901) == operation_progress::kRefused);
  CHECK(other(2, 900) == operation_progress::kDone);
  CHECK(Run("again", start_task{kJob, kVm, 0, 0, 0, 10s}, kStart) ==
        operation_progress::kRefused);
}

TEST_CASE_METHOD(fleet_fixture,
                 "A checkpointed task resumes where it stopped") {
  fleet_.tasks().SetBehaviour(kJob, {8s, false, 2, 50});
  StartTask("o1", kStart);
  CHECK(TaskAt(kStart).processors_used == 2);
  CHECK(Run("o2", throttle_task{kJob, kVm, 50}, kStart + 2s) ==
        operation_progress::kDone);
  CHECK(TaskAt(kStart + 2s).processors_used == 1);
  CHECK(Run("o3", checkpoint_task{kJob, kVm}, kStart + 6s) ==
        operation_progress::kDone);
  CHECK(TaskAt(kStart + 6s).state == task_state::kCheckpointed);
  StartTask("o4", kStart + 20s);
  CHECK(TaskAt(kStart + 20s + 3999ms).state == task_state::kRunning);
  CHECK(TaskAt(kStart + 24s).state == task_state::kFinished);
}

TEST_CASE_METHOD(fleet_fixture, "Tasks fail") {
  SECTION("on a VM that fails all tasks") {
    fleet_.SetBehaviour(kVm, {true, {}});
    StartTask("o1", kStart);
    CHECK(TaskAt(kStart + 1s).state == task_state::kFailed);
  }
  SECTION("when their VM is rebooted") {
    StartTask("o1", kStart);
    Run("o2", reboot_vm{kVm}, kStart + 1s);
    CHECK(TaskAt(kStart + 1s).detail == "the VM was rebooted");
    CHECK(StartTask("o3", kStart + 1s) == operation_progress::kRefused);
  }
  SECTION("and a stopped task is no longer listed") {
    StartTask("o1", kStart);
    CHECK(Run("o2", stop_task{kJob, kVm}, kStart) == operation_progress::kDone);
    CHECK(fleet_.ReadTasks(0, kStart).items.empty());
    CHECK(Run("o3", stop_task{kJob, kVm}, kStart) == operation_progress::kDone);
  }
}

TEST_CASE_METHOD(fleet_fixture, "A drain calls the runner of the VM") {
  CHECK(Run("o0", drain_vm{kVm}, kStart) == operation_progress::kDone);
  vm_listing vm;
  vm.vm = kVm;
  vm.host = "10.0.0.1";
  vm.port = 80;
  fleet_.Register(vm, kStart);
  const operation_id id("o1");
  const auto first = fleet_.Run(id, drain_vm{kVm}, kStart);
  REQUIRE(first.call.has_value());
  CHECK(first.call->path == "/control/drain");
  CHECK(fleet_.FinishDrain(id, std::nullopt).progress ==
        operation_progress::kRunning);
  CHECK(fleet_.FinishDrain(id, 3).progress == operation_progress::kRunning);
  CHECK(fleet_.Run(id, drain_vm{kVm}, kStart).call.has_value());
  CHECK(fleet_.FinishDrain(id, 0).progress == operation_progress::kDone);
  CHECK_FALSE(fleet_.Run(id, drain_vm{kVm}, kStart).call.has_value());
}

}  // namespace
}  // namespace plantainhead::fakes
