#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "jobs/job_partitions.h"
#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

const std::string kNextJob = "fedcba9876543210";
const std::string kOpenJob = "aaaaaaaaaaaaaaaa";

std::string LongRunningJob() {
  return R"({"spec":"lasts","steps":[{"count":1,"cpu":100,"mem_mb":10,)"
         R"("estimate_ms":1000,"lasting":true}]})";
}

// Returns a pool whose partition may belong to another process than that of
// "pool".
std::string OtherPool() {
  std::string other = "other";
  while (PoolPartitionOf(other) % 2 == PoolPartitionOf("pool") % 2) {
    other += "x";
  }
  return other;
}

// Returns a configuration that moves the queue to another pool.
std::string MovedConfiguration() {
  const std::string other = OtherPool();
  std::string configuration = kConfiguration;
  const auto replace = [&](const std::string& from, const std::string& to) {
    configuration.replace(configuration.find(from), from.size(), to);
  };
  replace("\"version\":3", "\"version\":4");
  replace("\"service\":\"pool\"", "\"service\":\"" + other + "\"");
  replace("[{\"name\":\"pool\"}]",
          "[{\"name\":\"pool\"},{\"name\":\"" + other + "\"}]");
  return configuration;
}

// Guards against a job that is never started because the process that accepted
// it still used the configuration before the one that moved its queue to
// another pool.
TEST_CASE("A job stored for the former pool of its queue is started") {
  site site;
  site.AddVm("vm-1", std::chrono::milliseconds(30));
  site.AddProcess("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.AwaitReady("p2"));
  site.RunFor(std::chrono::seconds(1));
  REQUIRE(site.Submit("p1", kId).status == 200);
  const auto record = site.store.Newest("keyed.plantain-jobs", kId);
  REQUIRE(record);
  REQUIRE(site.AwaitState("p1", "completed"));
  const auto move_queue = [&] {
    site.store.Put("keyed.op", "config", MovedConfiguration());
    site.RunFor(std::chrono::seconds(2));
  };

  SECTION("before the queue moves") {}

  SECTION("after the queue has moved, while the former pool has an open job") {
    REQUIRE(site.Call(site.addresses.at("p1"), net::method::kPost,
                      "/q/" + kOpenJob, LongRunningJob())
                .status == 200);
    REQUIRE(RunUntil(&site.context,
                     [&] { return site.StartsOf(kOpenJob + ".0.0.0") == 1; }));
    move_queue();
  }

  SECTION("after the queue has moved") {
    move_queue();
  }

  site.store.Put("keyed.plantain-jobs", kNextJob, record,
                 JobPartitionOf("q", kNextJob));
  constexpr int kTries = 80;
  for (int i = 0; i < kTries && site.StartsOf(kNextJob + ".0.0.0") == 0; ++i) {
    site.RunFor(std::chrono::milliseconds(100));
  }
  CHECK(site.StartsOf(kNextJob + ".0.0.0") == 1);
}

}  // namespace
}  // namespace plantainhead::jobs
