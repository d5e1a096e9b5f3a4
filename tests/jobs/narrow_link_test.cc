#include "narrow_link.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "jobs/job_partitions.h"
#include "jobs/record_codec.h"
#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

// All partitions take 4 s over the link, and each a quarter of a second.
constexpr std::int64_t kBytesPerSecond = 40'000;
constexpr std::size_t kPayloadBytes = 4'000;
constexpr std::uint32_t kJobsOfPartition = 2;

/// Stores jobs of a pool that has no owner in each partition of jobs.
void PutJobsOfAnotherPool(site* site) {
  constexpr std::uint32_t kFirstNumber = 10;
  for (std::uint32_t i = 0; i < kJobPartitions * kJobsOfPartition; ++i) {
    submission_record record;
    record.spec.id =
        std::string(kId).substr(2) + std::to_string(kFirstNumber + i);
    record.spec.pool = "another-pool";
    record.spec.queue = "another-queue";
    record.spec.payload = std::string(kPayloadBytes, 'x');
    record.spec.steps.resize(1);
    const adapter::keyed_record encoded = Encode(record);
    site->store.Put("keyed.plantain-jobs", encoded.key, encoded.value,
                    i % kJobPartitions);
  }
}

// Guards against takeovers that never end: all partitions were read at once,
// each answer came after its timeout and was read again, and the renewals of
// the membership waited behind them.
TEST_CASE("A pool is taken over through a link that carries little") {
  site site;
  PutJobsOfAnotherPool(&site);
  site.AddVm("vm-1", milliseconds(30));
  site.NarrowStoreLink(kBytesPerSecond);
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  CHECK(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));
}

// Guards against LOST: lasting tasks that lapse in a planned restart, since
// nobody holds their VM while the next owner reads the jobs of all pools.
TEST_CASE("A lasting task outlives a planned change of its pool's owner") {
  site site;
  PutJobsOfAnotherPool(&site);
  auto& vm = site.AddVm("vm-1", seconds(100));
  int lapsed = 0;
  vm.on_event = [&](fakes::vm_event event, const std::string& /*task*/,
                    std::uint32_t /*run*/) {
    lapsed += event == fakes::vm_event::kLapsed ? 1 : 0;
  };
  site.NarrowStoreLink(kBytesPerSecond);
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Call(site.addresses.at("p1"), net::method::kPost,
                    "/q/" + std::string(kId),
                    R"({"spec":"lasts","steps":[{"count":1,"cpu":1000,
                        "mem_mb":10,"lasting":true}]})")
              .status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return vm.Running() == 1; }));
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p2"));

  SECTION("that stops") {
    bool is_stopped = false;
    site.processes.at("p1")->Stop([&] { is_stopped = true; });
    REQUIRE(RunUntil(&site.context, [&] { return is_stopped; }));
    site.processes.erase("p1");
    site.RunFor(seconds(9));
  }

  SECTION("that the group deals the pool away from while it works") {
    site.store.DealAnew();
    site.RunFor(seconds(9));
  }

  SECTION("while deals follow one another") {
    for (int i = 0; i < 4; ++i) {
      site.store.DealAnew();
      site.RunFor(seconds(2));
    }
    site.RunFor(seconds(4));
  }

  CHECK(lapsed == 0);
  CHECK(vm.Running() == 1);
}

}  // namespace
}  // namespace plantainhead::jobs
