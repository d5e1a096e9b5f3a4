#include "jobs/store_outage_tracker.h"

#include <catch2/catch.hpp>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

constexpr core::time_point kStart{std::chrono::hours(1)};

core::time_point At(int millis) {
  return kStart + milliseconds(millis);
}

// The store is unavailable for some seconds. Pending calls fail one by one
// while others are still answered, and the same happens when it recovers. One
// line is logged at the first failure and one when the store has recovered for
// good, not a pair of lines for each of dozens of changes per second.
TEST_CASE("An intermittent outage is reported as one outage and one recovery") {
  store_outage_tracker tracker;

  SECTION("answers without a failure are not reported") {
    CHECK_FALSE(tracker.NoteAnswer(At(0)));
    CHECK_FALSE(tracker.NoteAnswer(At(10000)));
  }

  SECTION("the first failure is reported immediately, and later ones are not") {
    CHECK(tracker.NoteFailure(At(0)));
    CHECK_FALSE(tracker.NoteFailure(At(10)));

    SECTION("nor are answers between failures, or failures after an answer") {
      int reported = 0;
      for (int millis = 20; millis < 1020; millis += 20) {
        reported += tracker.NoteAnswer(At(millis)) ? 1 : 0;
        reported += tracker.NoteFailure(At(millis + 10)) ? 1 : 0;
      }
      CHECK(reported == 0);

      SECTION(
          "until calls have been answered for some time without a failure") {
        CHECK_FALSE(tracker.NoteAnswer(At(4000)));
        CHECK_FALSE(tracker.NoteAnswer(At(4000) + kRecoveryTime / 2));
        const auto recovery = tracker.NoteAnswer(At(4000) + kRecoveryTime);
        REQUIRE(recovery);
        CHECK(*recovery == store_recovery{51, milliseconds(4000),
                                          milliseconds(kRecoveryTime)});
        CHECK_FALSE(tracker.NoteAnswer(At(4100) + kRecoveryTime));

        SECTION("and the next failure is reported again") {
          CHECK(tracker.NoteFailure(At(9000)));
        }
      }
    }
  }

  SECTION(
      "a single answer long after a failure is not reported as a recovery") {
    CHECK(tracker.NoteFailure(At(0)));
    CHECK_FALSE(tracker.NoteAnswer(At(30000)));
    CHECK_FALSE(tracker.NoteFailure(At(30010)));
  }
}

}  // namespace
}  // namespace plantainhead::jobs
