#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/pool_scheduler.h"
#include "plantainhead/core/jobs/run_loss.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against logs that do not name the tasks of a lost VM.
TEST_CASE("The runs of a lost VM are reported") {
  scheduler_driver driver;
  driver.Register({Vm("vm-1")});
  driver.Add(Job("job", {Step(2)}));
  const auto starts = driver.StartAll();
  REQUIRE(starts.size() == 2);
  const run_ref reported = starts[0].target;
  const run_ref unreported = starts[1].target;
  driver.Pass(milliseconds(100));
  driver.List("vm-1", {Running(reported.task, 1)}, {});
  CHECK(driver.scheduler.TakeLosses().empty());

  SECTION("once, as crashes, when another incarnation of it answers") {
    driver.scheduler.OnReplaced("vm-1", driver.now);
    const std::vector<lost_run> expected = {
        {reported, loss_kind::kCrashLater},
        {unreported, loss_kind::kCrashAtStart}};
    CHECK(driver.scheduler.TakeLosses() == expected);
    CHECK(driver.scheduler.TakeLosses().empty());
    CHECK(driver.scheduler.Counts().lost_runs == 2);
  }

  SECTION("as silence when its lease has expired") {
    driver.scheduler.OnHoldUnanswered("vm-1");
    driver.Pass(seconds(5));
    driver.Starts();
    const std::vector<lost_run> expected = {
        {reported, loss_kind::kSilenceLater},
        {unreported, loss_kind::kSilenceAtStart}};
    CHECK(driver.scheduler.TakeLosses() == expected);

    SECTION("and not again when another incarnation answers later") {
      driver.scheduler.OnReplaced("vm-1", driver.now);
      CHECK(driver.scheduler.TakeLosses().empty());
    }
  }

  SECTION("except for a run that the other incarnation rejected") {
    driver.scheduler.OnStartAnswer(unreported, start_result::kReplaced,
                                   driver.now);
    const std::vector<lost_run> expected = {{reported, loss_kind::kCrashLater}};
    CHECK(driver.scheduler.TakeLosses() == expected);
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
