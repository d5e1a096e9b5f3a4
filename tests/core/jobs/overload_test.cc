#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <string>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_scheduler.h"

namespace plantainhead::core::jobs {
namespace {

constexpr int kVms = 40;
constexpr std::int64_t kVmCores = 16000;

std::string Numbered(const char* prefix, int number) {
  char text[32];
  std::snprintf(text, sizeof text, "%s%05d", prefix, number);
  return text;
}

/// Submits more jobs to a queue at once than the pool has capacity for.
void SubmitBacklog(scheduler_driver* driver, int jobs, step_spec step) {
  std::vector<vm_description> vms;
  for (int i = 0; i < kVms; ++i) {
    vms.push_back(Vm(Numbered("vm-", i), kVmCores));
  }
  driver->Register(vms);
  for (int i = 0; i < jobs; ++i) {
    driver->Add(Job(Numbered("job-", i), {step}));
  }
}

// Guards against plans that waste capacity in an overload. A queue submits five
// times its mean rate for some seconds. Within a plan, demands that found no
// capacity are cached, so that waiting jobs are not tried on every VM. This
// must neither leave capacity unused nor hold back smaller tasks or tasks that
// need another kind of VM.
TEST_CASE("A backlog of tasks of one size") {
  scheduler_driver driver;
  SubmitBacklog(&driver, 100, Step(8, 4400));

  SECTION("fills the pool") {
    // Three tasks of 4.4 cores fit on 16 cores.
    CHECK(driver.Starts().size() == 3 * kVms);
  }

  SECTION("leaves the rest of each VM to smaller tasks") {
    driver.Add(Job("small", {Step(kVms, 2800)}));
    std::size_t small = 0;
    for (const auto& start : driver.Starts()) {
      small += start.target.task.job == "small" ? 1 : 0;
    }
    CHECK(small == kVms);
  }

  SECTION("and capacity that a task releases to the next one") {
    const auto starts = driver.StartAll();
    REQUIRE(starts.size() == 3 * kVms);
    driver.Pass(std::chrono::milliseconds(100));
    driver.List(starts[0].target.vm, {},
                {Ended(1, starts[0].target.task, 1, end_kind::kDone)});
    CHECK(driver.Starts().size() == 1);
  }
}

// Guards against a gang that does not fit and keeps the capacity that was
// reserved for the attempt.
TEST_CASE("A gang that does not fit uses no capacity") {
  scheduler_driver driver;
  step_spec gang = Step(3 * kVms + 1, 4400);
  gang.gang = true;
  SubmitBacklog(&driver, 1, gang);
  driver.Add(Job("next", {Step(3 * kVms, 4400)}));
  CHECK(driver.Starts().size() == 3 * kVms);
}

}  // namespace
}  // namespace plantainhead::core::jobs
