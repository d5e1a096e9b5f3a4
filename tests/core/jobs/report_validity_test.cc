#include "plantainhead/core/jobs/report_validity.h"

#include <catch2/catch.hpp>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against starts based on a capacity from before the VM's reports
// stopped, and against pools that start nothing because their VMs report
// rarely.
TEST_CASE("A VM's report is trusted in proportion to the report interval") {
  report_validity ages;
  const time_point first(seconds(100));
  ages.Note("vm", first);
  CHECK(ages.trusted_until().empty());

  SECTION("short interval") {
    ages.Note("vm", first + milliseconds(1500));
    CHECK(ages.trusted_until().at("vm") ==
          first + milliseconds(1500) + milliseconds(3200));
  }

  SECTION("long interval") {
    ages.Note("vm", first + seconds(10));
    CHECK(ages.trusted_until().at("vm") ==
          first + seconds(10) + milliseconds(20'200));
  }

  SECTION("a VM that reported once uses the interval of the others") {
    ages.Note("vm", first + milliseconds(1500));
    ages.Note("new", first + seconds(2));
    CHECK(ages.trusted_until().at("new") ==
          first + seconds(2) + milliseconds(3200));
  }

  SECTION("a single unavailability of the store has little effect") {
    for (int i = 1; i <= 10; ++i) {
      ages.Note("vm", first + i * seconds(2));
    }
    ages.Note("vm", first + seconds(80));
    CHECK(ages.trusted_until().at("vm") <
          first + seconds(80) + milliseconds(4500));
  }

  SECTION("a repeated report does not count") {
    ages.Note("vm", first);
    CHECK(ages.trusted_until().empty());
  }

  SECTION("it is forgotten with the VM") {
    ages.Note("vm", first + seconds(1));
    ages.Drop("vm");
    CHECK(ages.trusted_until().empty());
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
