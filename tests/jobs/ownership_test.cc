#include "jobs/ownership.h"

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "jobs/job_partitions.h"
#include "jobs/small_site.h"

namespace plantainhead::jobs {
namespace {

constexpr const char* kThreePools =
    R"({"version":3,"routes":[],
        "services":[{"name":"pool-a"},{"name":"pool-b"},{"name":"pool-c"}]})";
constexpr std::array<const char*, 3> kPools = {"pool-a", "pool-b", "pool-c"};

/// Returns the processes that own pools, according to the newest claims.
std::set<std::string> OwnersOf(const fakes::site_store& store) {
  std::set<std::string> owners;
  for (const char* pool : kPools) {
    const auto record = store.NewestIn("keyed.plantain-progress",
                                       PoolPartitionOf(pool), "owner");
    const std::string process =
        record ? nlohmann::json::parse(*record)["member"].get<std::string>()
               : "";
    if (!process.empty()) {
      owners.insert(process);
    }
  }
  return owners;
}

// Guards against one process owning several large pools permanently because the
// group assigned it adjacent partitions.
TEST_CASE("Each process owns one pool however partitions are assigned") {
  site site;
  site.store.Put("keyed.op", "config", kThreePools);
  site.store.deals_in_blocks = true;
  for (const char* process : {"p1", "p2", "p3"}) {
    site.AddProcess(process);
  }
  CHECK(RunUntil(&site.context,
                 [&] { return OwnersOf(site.store).size() == kPools.size(); }));
}

}  // namespace
}  // namespace plantainhead::jobs
