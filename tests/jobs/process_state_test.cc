#include "jobs/process_state.h"

#include <catch2/catch.hpp>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

// A log collector keeps only the end of each log. Whatever else a process logs,
// this part has to show what the process owns, whether it is ready, and how old
// its copy of the jobs is.
TEST_CASE("The state of a process is formatted as log fields") {
  process_state state;
  state.configuration_version = 13;

  SECTION("of a process that owns nothing and has not read the jobs yet") {
    CHECK(FormatProcessState(state) ==
          observe::log_fields{{"owns", ""},
                              {"fleet", "no"},
                              {"ready", "no"},
                              {"configuration", "13"},
                              {"loop_lag_ms", "0"}});
  }

  SECTION("of a process that owns pools and is taking one over") {
    state.pools = {{3, 12, true}, {7, 0, false}};
    state.owns_fleet = true;
    state.is_ready = true;
    state.loop_lag = milliseconds(310);
    state.renewed_ago = milliseconds(120);
    state.job_copy_age = milliseconds(3500);
    CHECK(FormatProcessState(state) ==
          observe::log_fields{{"owns", "3@12 7@0?"},
                              {"fleet", "yes"},
                              {"ready", "yes"},
                              {"configuration", "13"},
                              {"loop_lag_ms", "310"},
                              {"renewed_ms_ago", "120"},
                              {"job_copy_ms", "3500"}});
  }
}

TEST_CASE("A process that logs many lines logs its state more often") {
  const core::time_point start(std::chrono::hours(1));
  state_log_schedule schedule;
  CHECK(schedule.IsDue(start, 5));
  CHECK_FALSE(schedule.IsDue(start + kStateCheckInterval, 6));

  SECTION("a process that logs little logs it at a fixed interval") {
    CHECK_FALSE(
        schedule.IsDue(start + kStateTimeInterval - milliseconds(1), 6));
    CHECK(schedule.IsDue(start + kStateTimeInterval, 6));
    CHECK_FALSE(
        schedule.IsDue(start + kStateTimeInterval + kStateCheckInterval, 6));
  }

  SECTION("a process that logs much logs it after a number of lines") {
    CHECK_FALSE(
        schedule.IsDue(start + kStateCheckInterval, 4 + kStateLineInterval));
    CHECK(schedule.IsDue(start + 2 * kStateCheckInterval,
                         5 + kStateLineInterval));
    CHECK_FALSE(schedule.IsDue(start + 3 * kStateCheckInterval,
                               4 + 2 * kStateLineInterval));
    CHECK(schedule.IsDue(start + 4 * kStateCheckInterval,
                         5 + 2 * kStateLineInterval));
  }
}

}  // namespace
}  // namespace plantainhead::jobs
