#include <catch2/catch.hpp>
#include <string>

#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

constexpr const char* kNextId = "fedcba9876543210";

// Guards against a start that was made for an earlier incarnation of a VM and
// is carried out by the next one. The clock of the next incarnation is behind,
// so that the deadline in the start gave its tasks the longest lease, and they
// still ran when they were started elsewhere.
TEST_CASE("A start does not extend the lease of a later incarnation of a VM") {
  site site;
  auto& vm = site.AddVm("vm-1", milliseconds(30));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(site.AwaitState("p1", "completed"));
  vm.Crash();
  vm.BeginLife("vm-1");
  REQUIRE(site.Submit("p1", kNextId).status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return vm.calls() > 0; }));
  site.ReportRegularly("vm-1");

  CHECK(site.AwaitState("p1", "completed", kNextId));
  CHECK(vm.longest_lease() < seconds(6));
  for (const auto& [task, starts] : vm.starts()) {
    CHECK(starts == 1);
  }
}

}  // namespace
}  // namespace plantainhead::jobs
