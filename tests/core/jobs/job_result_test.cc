#include "plantainhead/core/jobs/job_result.h"

#include <catch2/catch.hpp>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A job's result tells what spent its time") {
  const time_point begin{std::chrono::hours(1)};
  job_result result;
  result.arrived_at = begin;
  result.started_at = begin + milliseconds(100);
  result.deadline = begin + seconds(3);
  result.chain = seconds(2);
  const time_point late = begin + seconds(4);
  CHECK(VerdictOf(result, result.deadline) == job_verdict::kInTime);
  CHECK(VerdictOf(result, late) == job_verdict::kRanLong);

  SECTION("it waited when its first task started later than its work allows") {
    result.started_at = begin + milliseconds(1001);
    CHECK(VerdictOf(result, late) == job_verdict::kWaitedForRoom);
    result.started_at.reset();
    CHECK(VerdictOf(result, late) == job_verdict::kWaitedForRoom);
  }

  SECTION("what was repeated, or went through two owners, comes before that") {
    result.started_at = begin + milliseconds(1001);
    result.repeated_runs = 1;
    CHECK(VerdictOf(result, late) == job_verdict::kRunsRepeated);
    result.is_inherited = true;
    CHECK(VerdictOf(result, late) == job_verdict::kOwnerChanged);
    CHECK(VerdictOf(result, result.deadline) == job_verdict::kInTime);
  }

  SECTION("a job that failed or was cancelled missed no deadline") {
    result.phase = job_phase::kFailed;
    CHECK(VerdictOf(result, late) == job_verdict::kFailed);
    result.phase = job_phase::kCancelled;
    CHECK(VerdictOf(result, late) == job_verdict::kCancelled);
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
