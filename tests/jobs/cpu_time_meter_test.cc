#include "jobs/cpu_time_meter.h"

#include <catch2/catch.hpp>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

core::duration TimeOf(const cpu_times& times, loop_work kind) {
  return times[static_cast<std::size_t>(kind)];
}

// The lag of an event loop that is never idle is the duration of one iteration,
// so it does not show which kind of work uses up the time.
TEST_CASE("The CPU time of the event loop thread is measured by kind of work") {
  core::duration used = milliseconds(100);
  cpu_time_meter meter([&used] { return used; });

  SECTION("time outside of any scope counts as other work") {
    used += milliseconds(5);
    CHECK(TimeOf(meter.Totals(), loop_work::kOther) == milliseconds(5));
  }

  SECTION("time within a scope counts for its kind of work") {
    {
      const cpu_time_meter::scope plan(&meter, loop_work::kPlan);
      used += milliseconds(7);

      SECTION("without the time of a nested scope") {
        {
          const cpu_time_meter::scope starts(&meter, loop_work::kStarts);
          used += milliseconds(2);
        }
        used += milliseconds(1);
        CHECK(TimeOf(meter.Totals(), loop_work::kPlan) == milliseconds(8));
        CHECK(TimeOf(meter.Totals(), loop_work::kStarts) == milliseconds(2));
        CHECK(ToText(meter.Totals()) == "plan 8, starts 2");
      }
    }
    used += milliseconds(1);
    CHECK(TimeOf(meter.Totals(), loop_work::kPlan) >= milliseconds(7));
    CHECK(TimeOf(meter.Totals(), loop_work::kOther) == milliseconds(1));
  }
}

}  // namespace
}  // namespace plantainhead::jobs
