#include "jobs/log_rate_limiter.h"

#include <catch2/catch.hpp>

#include "jobs/event_log.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;
using decision = log_rate_limiter::decision;

constexpr core::time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kWindow{1000};

TEST_CASE("Lines of one kind are limited per time window") {
  log_rate_limiter budget;
  const auto acquire = [&](int millis) {
    return budget.Acquire(kStart + milliseconds(millis), 2, kWindow);
  };
  CHECK(acquire(0) == decision{true, 0});
  CHECK(acquire(10) == decision{true, 0});

  SECTION("suppressed lines are counted and reported in the next window") {
    CHECK(acquire(20) == decision{false, 0});
    CHECK(acquire(999) == decision{false, 0});
    CHECK(acquire(1000) == decision{true, 2});
    CHECK(acquire(1010) == decision{true, 0});
    CHECK(acquire(1020) == decision{false, 0});
  }

  SECTION("nothing is reported after a window without suppressed lines") {
    CHECK(acquire(5000) == decision{true, 0});
  }
}

// Around an outage a process starts hundreds of tasks and misses dozens of
// answers per second, for many seconds. Its lines about ownership and readiness
// must not be suppressed because of that, nor be displaced quickly from the
// retained end of the log.
TEST_CASE("Task and read events have lower rate limits than ownership events") {
  for (const job_event event :
       {job_event::kTaskStarted, job_event::kTaskNotStarted,
        job_event::kTaskStopped, job_event::kTaskEnded}) {
    CHECK(RateLimitOf(event) == kTaskRateLimit);
  }
  CHECK(RateLimitOf(job_event::kReadUnanswered) == kReadRateLimit);
  CHECK(RateLimitOf(job_event::kReadRepeated) == kReadRateLimit);
  for (const job_event event :
       {job_event::kOwnershipGained, job_event::kOwnershipLost,
        job_event::kTakeoverFailed, job_event::kReadinessChanged,
        job_event::kConfigurationApplied, job_event::kStoreLost,
        job_event::kProcessState, job_event::kJobEnded}) {
    CHECK(RateLimitOf(event) == kDefaultRateLimit);
  }
  const auto lines_per_second = [](const log_rate_limit& budget) {
    return budget.lines / budget.window.count();
  };
  CHECK(lines_per_second(kTaskRateLimit) < lines_per_second(kDefaultRateLimit));
  CHECK(lines_per_second(kReadRateLimit) < lines_per_second(kTaskRateLimit));
}

}  // namespace
}  // namespace plantainhead::jobs
