#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// From a small pool to the largest supported one.
const std::vector<std::size_t> kPoolSizes = {50, 350, 1100};

vm_id NameOf(std::size_t number) {
  return "vm-" + std::to_string(number);
}

/// A pool whose VMs have listed all their tasks. The first few of them run one
/// task each.
class reconciled_pool {
 public:
  explicit reconciled_pool(std::size_t vm_count) {
    std::vector<vm_description> vms;
    vms.reserve(vm_count);
    for (std::size_t i = 0; i < vm_count; ++i) {
      vms.push_back(Vm(NameOf(i)));
    }
    driver.Register(vms);
    driver.Add(Job("older", {Step(4, 6000)}));
    driver.StartAll();
    driver.Store();
    driver.Starts();
    REQUIRE(driver.scheduler.Counts().visited_vms >= vm_count);
  }

  /// Returns the number of visits of VMs caused by `event`, the following plan
  /// and record, and a query of the pool's load.
  std::uint64_t VisitsOf(const std::function<void(scheduler_driver*)>& event) {
    const std::uint64_t before = driver.scheduler.Counts().visited_vms;
    event(&driver);
    driver.scheduler.FindUnknownJob();
    driver.Starts();
    driver.Store();
    driver.scheduler.Load("pool", driver.now);
    return driver.scheduler.Counts().visited_vms - before;
  }

  scheduler_driver driver;
};

/// Returns the visits for an event in pools of each size.
std::vector<std::uint64_t> VisitsBySize(
    const std::function<void(scheduler_driver*)>& event) {
  std::vector<std::uint64_t> visits;
  for (const std::size_t size : kPoolSizes) {
    reconciled_pool pool(size);
    visits.push_back(pool.VisitsOf(event));
  }
  return visits;
}

void CheckFlat(const std::vector<std::uint64_t>& visits) {
  CAPTURE(visits);
  CHECK(visits.back() <= visits.front());
}

// Guards against an owner whose work for an event grows with its pool: it has
// no processor time left under peak load, and its jobs are late although VMs
// have free capacity.
TEST_CASE("The work of an owner for an event is independent of its VM count") {
  SECTION("for a VM whose listing is unchanged") {
    CheckFlat(VisitsBySize([](scheduler_driver* driver) {
      driver->Pass(milliseconds(100));
      driver->List(NameOf(40), {}, {});
    }));
  }

  SECTION("for a job that is added, started and ended") {
    CheckFlat(VisitsBySize([](scheduler_driver* driver) {
      driver->Add(Job("job", {Step(8)}));
      std::uint64_t number = 0;
      for (const start_order& start : driver->StartAll()) {
        driver->List(start.target.vm, {},
                     {Ended(++number, start.target.task, start.target.run,
                            end_kind::kDone)});
      }
      CHECK(number > 0);
    }));
  }

  SECTION("for a job that is cancelled") {
    CheckFlat(VisitsBySize([](scheduler_driver* driver) {
      CHECK(driver->scheduler.CancelJob("older"));
    }));
  }

  SECTION("for a VM that is closed") {
    CheckFlat(VisitsBySize([](scheduler_driver* driver) {
      driver->scheduler.CloseVm(NameOf(45), driver->now);
    }));
  }

  SECTION("for a VM that stops answering") {
    CheckFlat(VisitsBySize([](scheduler_driver* driver) {
      driver->scheduler.OnHoldUnanswered(NameOf(0));
    }));
  }

  SECTION("for a task that does not fit") {
    CheckFlat(VisitsBySize([](scheduler_driver* driver) {
      driver->Add(Job("large", {Step(30, 9000)}));
    }));
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
