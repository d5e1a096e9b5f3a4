#include "jobs/log_rate_limiter.h"

#include <catch2/catch.hpp>

#include "jobs/event_log.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;
using verdict = line_budget::verdict;

constexpr core::time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kWindow{1000};

TEST_CASE("Lines of a kind are written up to so many in a window") {
  line_budget budget;
  const auto take = [&](int millis) {
    return budget.Take(kStart + milliseconds(millis), 2, kWindow);
  };
  CHECK(take(0) == verdict{true, 0});
  CHECK(take(10) == verdict{true, 0});

  SECTION("and the rest is counted and told in the next window") {
    CHECK(take(20) == verdict{false, 0});
    CHECK(take(999) == verdict{false, 0});
    CHECK(take(1000) == verdict{true, 2});
    CHECK(take(1010) == verdict{true, 0});
    CHECK(take(1020) == verdict{false, 0});
  }

  SECTION("and a window without any more tells nothing") {
    CHECK(take(5000) == verdict{true, 0});
  }
}

// Around an outage a process starts hundreds of tasks and misses dozens of
// answers in each second, for many seconds. What it says of its pools and of
// its readiness must not be cut for that, nor as soon pushed out of the log's
// end.
TEST_CASE("Details have a smaller budget than what a process owns") {
  for (const job_event event :
       {job_event::kTaskStarted, job_event::kTaskNotStarted,
        job_event::kTaskStopped, job_event::kTaskEnded}) {
    CHECK(BudgetOf(event) == kTaskBudget);
  }
  CHECK(BudgetOf(job_event::kReadUnanswered) == kReadBudget);
  CHECK(BudgetOf(job_event::kReadRepeated) == kReadBudget);
  for (const job_event event :
       {job_event::kOwnershipGained, job_event::kOwnershipLost,
        job_event::kTakeoverFailed, job_event::kReadinessChanged,
        job_event::kConfigurationApplied, job_event::kStoreLost,
        job_event::kProcessState, job_event::kJobEnded}) {
    CHECK(BudgetOf(event) == kLineBudget);
  }
  const auto lines_a_second = [](const event_budget& budget) {
    return budget.lines / budget.window.count();
  };
  CHECK(lines_a_second(kTaskBudget) < lines_a_second(kLineBudget));
  CHECK(lines_a_second(kReadBudget) < lines_a_second(kTaskBudget));
}

}  // namespace
}  // namespace plantainhead::jobs
