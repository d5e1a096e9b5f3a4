#include "settings/units.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace plantainhead::settings {
namespace {

TEST_CASE("Values with units") {
  SECTION("are parsed") {
    CHECK(ParseDuration("800ms") == std::chrono::milliseconds(800));
    CHECK(ParseDuration("1.5s") == std::chrono::milliseconds(1500));
    CHECK(ParseDuration("30d") == std::chrono::hours(720));
    CHECK(ParseBytes("8MiB") == 8U << 20);
    CHECK(ParseShare("99.5%") == Approx(0.995));
    CHECK(ParseWholeNumber("8080") == 8080);
  }

  SECTION("are refused without a unit or with an unknown unit") {
    for (const char* text : {"800", "", "ms", "-1s", "5 parsecs", "nans"}) {
      CHECK_THROWS_AS(ParseDuration(text), unit_error);
    }
    for (const char* text : {"8MB", "8", "-1B", "99999999999GiB"}) {
      CHECK_THROWS_AS(ParseBytes(text), unit_error);
    }
    for (const char* text : {"0.995", "101%", "-1%", "%"}) {
      CHECK_THROWS_AS(ParseShare(text), unit_error);
    }
    CHECK_THROWS_AS(ParseWholeNumber("-1"), unit_error);
    CHECK_THROWS_AS(ParseWholeNumber("1.5"), unit_error);
  }

  SECTION("are formatted so that they are parsed to the same value") {
    CHECK(FormatDuration(std::chrono::milliseconds(1500)) == "1500ms");
    CHECK(FormatBytes(8 << 20) == "8MiB");
    CHECK(FormatShare(0.995) == "99.5%");
    CHECK(rc::check([](std::uint32_t value) {
      const core::duration time(value);
      RC_ASSERT(ParseDuration(FormatDuration(time)) == time);
    }));
    CHECK(rc::check([](std::uint32_t numerator) {
      const double share = numerator / 4294967296.0;
      RC_ASSERT(ParseShare(FormatShare(share)) == share);
    }));
  }
}

}  // namespace
}  // namespace plantainhead::settings
