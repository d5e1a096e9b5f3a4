#include "plantainhead/core/jobs/job_result.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A job's result shows why it was late") {
  const time_point begin{std::chrono::hours(1)};
  job_result result;
  result.arrived_at = begin;
  result.started_at = begin + milliseconds(100);
  result.deadline = begin + seconds(3);
  result.critical_path = seconds(2);
  const time_point late = begin + seconds(4);
  CHECK(VerdictOf(result, result.deadline) == job_verdict::kInTime);
  CHECK(VerdictOf(result, late) == job_verdict::kRanLong);

  SECTION("it waited if its first task started too late for its estimate") {
    result.started_at = begin + milliseconds(1001);
    CHECK(VerdictOf(result, late) == job_verdict::kWaitedForCapacity);
    result.started_at.reset();
    CHECK(VerdictOf(result, late) == job_verdict::kWaitedForCapacity);
  }

  SECTION("it waited if its tasks waited for as long as it was late") {
    result.waits.SetCause(wait_cause::kCapacity, begin + seconds(1));
    SECTION("for capacity") {
      result.waits.SetCause(std::nullopt, begin + seconds(2));
      CHECK(VerdictOf(result, late) == job_verdict::kWaitedForCapacity);
    }
    SECTION("mostly for the owner of its pool") {
      result.waits.SetCause(wait_cause::kRecovery, begin + milliseconds(1300));
      result.waits.SetCause(std::nullopt, begin + seconds(2));
      CHECK(VerdictOf(result, late) == job_verdict::kWaitedForOwner);
    }
    SECTION("but not if it waited for less") {
      result.waits.SetCause(std::nullopt, begin + milliseconds(1900));
      CHECK(VerdictOf(result, late) == job_verdict::kRanLong);
    }
  }

  SECTION("repeated runs and a change of owner take precedence") {
    result.started_at = begin + milliseconds(1001);
    result.repeated_runs = 1;
    CHECK(VerdictOf(result, late) == job_verdict::kRunsRepeated);
    result.is_inherited = true;
    CHECK(VerdictOf(result, late) == job_verdict::kOwnerChanged);
    CHECK(VerdictOf(result, result.deadline) == job_verdict::kInTime);
  }

  SECTION("a job that failed or was cancelled is not reported as late") {
    result.phase = job_phase::kFailed;
    CHECK(VerdictOf(result, late) == job_verdict::kFailed);
    result.phase = job_phase::kCancelled;
    CHECK(VerdictOf(result, late) == job_verdict::kCancelled);
  }
}

// Guards against a job that is reported to have run long although only its
// first task found capacity immediately.
TEST_CASE("A job whose second step finds no capacity waited for capacity") {
  scheduler_driver driver;
  step_spec second = Step(1, 8000);
  second.depends_on = {0};
  driver.Register({Vm("vm-1")});
  driver.Add(Job("a", {Step(1), second}));
  REQUIRE(driver.StartAll().size() == 1);
  driver.Add(Job("b", {Step(1, 5000)}));
  REQUIRE(driver.StartAll().size() == 1);
  driver.Pass(seconds(1));
  const task_name a{"a", 0, 0, 0};
  const task_name b{"b", 0, 0, 0};
  driver.List("vm-1", {Running(b, 1)}, {Ended(1, a, 1, end_kind::kDone)});
  REQUIRE(driver.StartAll().empty());
  driver.Pass(seconds(2));
  driver.List("vm-1", {}, {Ended(2, b, 1, end_kind::kDone)});
  REQUIRE(driver.StartAll().size() == 1);
  driver.Pass(seconds(2));
  const task_name last{"a", 0, 1, 0};
  driver.List("vm-1", {}, {Ended(3, last, 1, end_kind::kDone)});
  std::vector<job_result> results;
  for (const progress_batch& batch : driver.Store()) {
    results.insert(results.end(), batch.results.begin(), batch.results.end());
  }
  const auto ended =
      std::find_if(results.begin(), results.end(),
                   [](const job_result& result) { return result.id == "a"; });
  REQUIRE(ended != results.end());
  CHECK(ended->waits.waited(wait_cause::kCapacity) == seconds(2));
  CHECK(VerdictOf(*ended, driver.now) == job_verdict::kWaitedForCapacity);
}

}  // namespace
}  // namespace plantainhead::core::jobs
