#include "jobs/cpu_time_meter.h"

#include <catch2/catch.hpp>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

core::duration TimeOf(const cpu_times& times, loop_work kind) {
  return times[static_cast<std::size_t>(kind)];
}

// The lag of a loop that is never idle is one turn, so that it doesn't tell
// which work leaves no time for the rest.
TEST_CASE("A process tells what its thread of all work is busy with") {
  core::duration used = milliseconds(100);
  cpu_time_meter meter([&used] { return used; });

  SECTION("what isn't metered by itself counts as other work") {
    used += milliseconds(5);
    CHECK(TimeOf(meter.Totals(), loop_work::kOther) == milliseconds(5));
  }

  SECTION("a kind of work counts until its end") {
    {
      const cpu_time_meter::scope plan(&meter, loop_work::kPlan);
      used += milliseconds(7);

      SECTION("without the time of what is metered within it") {
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
