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

// Guards against starts that wait for a connection to their VM, and leave after
// the caller was told that the job is cancelled.
TEST_CASE("A start that isn't sent yet is called off by a cancellation") {
  const std::string steps =
      R"({"spec":"x","steps":[{"count":8,"cpu":100,"mem_mb":10,"estimate_ms":1000}]})";
  const std::string target = "/q/" + std::string(kId);
  site site;
  auto& vm = site.AddVm("vm-1", std::chrono::seconds(100));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  vm.loses_start_answers = true;
  std::size_t starts = 0;
  vm.on_event = [&](fakes::vm_event event, const std::string& /*task*/,
                    std::uint32_t /*run*/) {
    starts += event == fakes::vm_event::kStarted ? 1 : 0;
  };
  const std::string& address = site.addresses.at("p1");
  REQUIRE(site.Call(address, net::method::kPost, target, steps).status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return vm.Running() >= 3; }));
  REQUIRE(site.Call(address, net::method::kDelete, target).status == 200);
  const std::size_t before = starts;
  site.RunFor(std::chrono::seconds(2));
  CHECK(starts == before);
}

}  // namespace
}  // namespace plantainhead::jobs
