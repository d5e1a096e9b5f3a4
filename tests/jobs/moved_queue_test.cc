#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "jobs/job_partitions.h"
#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

const std::string kNext = "fedcba9876543210";
const std::string kOpen = "aaaaaaaaaaaaaaaa";

std::string LastingJob() {
  return R"({"spec":"lasts","steps":[{"count":1,"cpu":100,"mem_mb":10,)"
         R"("estimate_ms":1000,"lasting":true}]})";
}

// Returns a pool whose partition another process may own than that of "pool".
std::string OtherPool() {
  std::string other = "other";
  while (PoolPartitionOf(other) % 2 == PoolPartitionOf("pool") % 2) {
    other += "x";
  }
  return other;
}

// Moves the queue to another pool.
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

// Guards against a job that nobody starts: the process that accepted it knew
// the configuration before the one that moved its queue to another pool.
TEST_CASE("A job that is stored for a queue's former pool is started") {
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

  SECTION("after it has moved, while another job of it is open there") {
    REQUIRE(site.Call(site.addresses.at("p1"), net::method::kPost,
                      "/q/" + kOpen, LastingJob())
                .status == 200);
    REQUIRE(RunUntil(&site.context,
                     [&] { return site.StartsOf(kOpen + ".0.0.0") == 1; }));
    move_queue();
  }

  SECTION("after it has moved") {
    move_queue();
  }

  site.store.Put("keyed.plantain-jobs", kNext, record,
                 JobPartitionOf("q", kNext));
  constexpr int kTries = 80;
  for (int i = 0; i < kTries && site.StartsOf(kNext + ".0.0.0") == 0; ++i) {
    site.RunFor(std::chrono::milliseconds(100));
  }
  CHECK(site.StartsOf(kNext + ".0.0.0") == 1);
}

}  // namespace
}  // namespace plantainhead::jobs
