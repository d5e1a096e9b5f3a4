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

// Guards against calls that a VM carries out late, after it has restarted under
// its id. The next incarnation had seen no token, so that it accepted them: a
// start, and a deadline on the former clock.
TEST_CASE("A VM that has restarted rejects late calls to the one before") {
  site site;
  auto& vm = site.AddVm("vm-1", milliseconds(30));
  site.ReportRegularly("vm-1");
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(site.AwaitState("p1", "completed"));
  vm.holds_back_calls = true;
  REQUIRE(site.Submit("p1", kNextId).status == 200);
  REQUIRE(RunUntil(&site.context, [&] {
    return vm.HeldBack("/plantainhead/run-start") == 2 &&
           vm.HeldBack("/plantainhead/hold") > 0;
  }));
  vm.holds_back_calls = false;
  std::string owner = "p1";

  SECTION("by the same owner") {
    vm.Crash();
    vm.BeginLife("vm-1");
  }

  SECTION("by an owner that was killed, while the VM was away") {
    vm.Crash();
    site.Crash("p1");
    site.Expire("p1");
    owner = "p2";
    site.AddProcess(owner);
    REQUIRE(site.AwaitReady(owner));
    vm.BeginLife("vm-1");
  }

  SECTION("by an owner that was killed after the restart") {
    vm.Crash();
    vm.BeginLife("vm-1");
    site.Crash("p1");
    site.Expire("p1");
    owner = "p2";
    site.AddProcess(owner);
    REQUIRE(site.AwaitReady(owner));
  }

  CHECK(site.AwaitState(owner, "completed", kNextId));
  const auto starts = vm.starts();
  vm.CarryOutHeldBack();
  CHECK(vm.starts() == starts);
  CHECK(vm.longest_lease() < seconds(6));
}

// Guards against an owner that calls its new incarnation of a VM with a token
// that the store doesn't know: the token of the next owner would be lower, and
// the VM would reject its calls.
TEST_CASE("The owner after a restarted VM holds it with a higher token") {
  site site;
  auto& vm = site.AddVm("vm-1", milliseconds(30));
  site.ReportRegularly("vm-1");
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  for (int restart = 0; restart < 3; ++restart) {
    vm.Crash();
    vm.BeginLife("vm-1");
    const std::string id = "000000000000000" + std::to_string(restart);
    REQUIRE(site.Submit("p1", id).status == 200);
    REQUIRE(site.AwaitState("p1", "completed", id));
  }
  const int fenced_before = vm.fenced_calls();
  site.Crash("p1");
  site.Expire("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p2"));
  REQUIRE(site.Submit("p2", kNextId).status == 200);
  CHECK(site.AwaitState("p2", "completed", kNextId));
  CHECK(vm.fenced_calls() == fenced_before);
}

}  // namespace
}  // namespace plantainhead::jobs
