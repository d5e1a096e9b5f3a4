#include "jobs/store_outage_tracker.h"

#include <catch2/catch.hpp>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

constexpr core::time_point kStart{std::chrono::hours(1)};

core::time_point At(int millis) {
  return kStart + milliseconds(millis);
}

// The store goes away for some seconds. Calls that were under way fail one by
// one while others are still answered, and again when it comes back. The
// on-call engineer sees one line at the first failure and one when the store is
// back for good, and not a pair of lines for each of dozens of changes in a
// second.
TEST_CASE("A store that comes and goes is told lost once and regained once") {
  store_outage_tracker tracker;

  SECTION("answers alone tell nothing") {
    CHECK_FALSE(tracker.NoteAnswer(At(0)));
    CHECK_FALSE(tracker.NoteAnswer(At(10000)));
  }

  SECTION("the first failure is told at once, and later ones aren't") {
    CHECK(tracker.NoteFailure(At(0)));
    CHECK_FALSE(tracker.NoteFailure(At(10)));

    SECTION("nor is an answer between them, or a failure after it") {
      int reported = 0;
      for (int millis = 20; millis < 1020; millis += 20) {
        reported += tracker.NoteAnswer(At(millis)) ? 1 : 0;
        reported += tracker.NoteFailure(At(millis + 10)) ? 1 : 0;
      }
      CHECK(reported == 0);

      SECTION("until answers have come for a while without a failure") {
        CHECK_FALSE(tracker.NoteAnswer(At(4000)));
        CHECK_FALSE(tracker.NoteAnswer(At(4000) + kRecoveryTime / 2));
        const auto regained = tracker.NoteAnswer(At(4000) + kRecoveryTime);
        REQUIRE(regained);
        CHECK(*regained == store_recovery{51, milliseconds(4000),
                                          milliseconds(kRecoveryTime)});
        CHECK_FALSE(tracker.NoteAnswer(At(4100) + kRecoveryTime));

        SECTION("and the next failure is told again") {
          CHECK(tracker.NoteFailure(At(9000)));
        }
      }
    }
  }

  SECTION("one answer long after a failure isn't taken for its return") {
    CHECK(tracker.NoteFailure(At(0)));
    CHECK_FALSE(tracker.NoteAnswer(At(30000)));
    CHECK_FALSE(tracker.NoteFailure(At(30010)));
  }
}

}  // namespace
}  // namespace plantainhead::jobs
