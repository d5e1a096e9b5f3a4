#include "plantainhead/core/jobs/report_validity.h"

#include <catch2/catch.hpp>

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against starts by a capacity that a VM had before its reports stopped,
// and against pools that start nothing since their VMs report rarely.
TEST_CASE("How long a VM's report is trusted follows how often it reports") {
  report_validity ages;
  const time_point first(seconds(100));
  ages.Note("vm", first);
  CHECK(ages.trusted_until().empty());

  SECTION("often") {
    ages.Note("vm", first + milliseconds(1500));
    CHECK(ages.trusted_until().at("vm") ==
          first + milliseconds(1500) + milliseconds(3200));
  }

  SECTION("rarely") {
    ages.Note("vm", first + seconds(10));
    CHECK(ages.trusted_until().at("vm") ==
          first + seconds(10) + milliseconds(20'200));
  }

  SECTION("also of one that has reported once, when others have oftener") {
    ages.Note("vm", first + milliseconds(1500));
    ages.Note("new", first + seconds(2));
    CHECK(ages.trusted_until().at("new") ==
          first + seconds(2) + milliseconds(3200));
  }

  SECTION("and a store that was away for once changes little") {
    for (int i = 1; i <= 10; ++i) {
      ages.Note("vm", first + i * seconds(2));
    }
    ages.Note("vm", first + seconds(80));
    CHECK(ages.trusted_until().at("vm") <
          first + seconds(80) + milliseconds(4500));
  }

  SECTION("never again") {
    ages.Note("vm", first);
    CHECK(ages.trusted_until().empty());
  }

  SECTION("and it is forgotten with the VM") {
    ages.Note("vm", first + seconds(1));
    ages.Drop("vm");
    CHECK(ages.trusted_until().empty());
  }
}

}  // namespace
}  // namespace plantainhead::core::jobs
