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
  store_contact contact;

  SECTION("answers alone tell nothing") {
    CHECK_FALSE(contact.NoteAnswer(At(0)));
    CHECK_FALSE(contact.NoteAnswer(At(10000)));
  }

  SECTION("the first failure is told at once, and later ones aren't") {
    CHECK(contact.NoteFailure(At(0)));
    CHECK_FALSE(contact.NoteFailure(At(10)));

    SECTION("nor is an answer between them, or a failure after it") {
      int told = 0;
      for (int millis = 20; millis < 1020; millis += 20) {
        told += contact.NoteAnswer(At(millis)) ? 1 : 0;
        told += contact.NoteFailure(At(millis + 10)) ? 1 : 0;
      }
      CHECK(told == 0);

      SECTION("until answers have come for a while without a failure") {
        CHECK_FALSE(contact.NoteAnswer(At(4000)));
        CHECK_FALSE(contact.NoteAnswer(At(4000) + kContactHeld / 2));
        const auto regained = contact.NoteAnswer(At(4000) + kContactHeld);
        REQUIRE(regained);
        CHECK(*regained == contact_regained{51, milliseconds(4000),
                                            milliseconds(kContactHeld)});
        CHECK_FALSE(contact.NoteAnswer(At(4100) + kContactHeld));

        SECTION("and the next failure is told again") {
          CHECK(contact.NoteFailure(At(9000)));
        }
      }
    }
  }

  SECTION("one answer long after a failure isn't taken for its return") {
    CHECK(contact.NoteFailure(At(0)));
    CHECK_FALSE(contact.NoteAnswer(At(30000)));
    CHECK_FALSE(contact.NoteFailure(At(30010)));
  }
}

}  // namespace
}  // namespace plantainhead::jobs
