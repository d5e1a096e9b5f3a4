#include <catch2/catch.hpp>
#include <string>

#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

// Guards against the load of an owner's full link: its VMs answer each hold,
// the answers arrive after the timeout and were thrown away. The VMs passed for
// silent, and what they had told of ended tasks was lost, so that these ran
// again.
TEST_CASE("A VM whose answers arrive late is heard all the same") {
  site site;
  site.AddVm("vm-1", milliseconds(30)).listing_delay = milliseconds(1500);
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  CHECK(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));
  CHECK(site.StartsOf(std::string(kId) + ".0.0.0") == 1);
  CHECK(site.StartsOf(std::string(kId) + ".0.1.0") == 1);
}

}  // namespace
}  // namespace plantainhead::jobs
