#include <catch2/catch.hpp>
#include <string>

#include "jobs/small_site.h"
#include "jobs/store_view.h"

// Another writer puts records into the store of a deployment at work.
namespace plantainhead::jobs {
namespace {

constexpr const char* kOther = "fedcba9876543210";
constexpr const char* kBytes = "\xff\xfe{[";

// Asks for the metrics again and again, as long as there is no fault in them.
bool AwaitFault(site* site, const std::string& process) {
  constexpr int kMostCalls = 500;
  for (int i = 0; i < kMostCalls; ++i) {
    if (site->MetricsOf(process).find("plantain_faulty_keys 1") !=
        std::string::npos) {
      return true;
    }
    site->RunFor(milliseconds(20));
  }
  return false;
}

// The entry of a VM on which tasks run turns unreadable. Its tasks end there,
// each run once, and what starts from then on goes to other VMs: the entry may
// stand for anything, also for a VM that leaves.
TEST_CASE("A VM whose entry can't be read keeps its tasks and gets no other") {
  const std::string entry =
      GENERATE(std::string(kBytes), std::string("{}"),
               std::string(R"({"service":"pool","state":"retired"})"));
  site site;
  auto& first = site.AddVm("vm-1", milliseconds(700));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return first.Running() == 2; }));
  site.store.Put("keyed.servers", "vm-1", entry);
  auto& second = site.AddVm("vm-2", milliseconds(30));
  CHECK(site.AwaitState("p1", "completed"));
  const std::string id = kId;
  CHECK(first.starts() ==
        std::map<std::string, int>{{id + ".0.0.0", 1}, {id + ".0.0.1", 1}});
  CHECK(second.starts() == std::map<std::string, int>{{id + ".0.1.0", 1}});
  CHECK(AwaitFault(&site, "p1"));
}

TEST_CASE(
    "A VM of a service that the configuration doesn't name gets no task") {
  site site;
  auto& odd = site.AddVm("vm-1", milliseconds(30));
  site.store.Put("keyed.servers", "vm-1", odd.RegistryValue("elsewhere"));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  site.AddVm("vm-2", milliseconds(30));
  CHECK(site.AwaitState("p1", "completed"));
  CHECK(odd.starts().empty());
}

// Records that can't be read stand in every topic before the process starts.
// All others are read and acted on.
TEST_CASE("Records that can't be read hide no others") {
  site site;
  const std::uint32_t pool = PoolPartitionOf("pool");
  const std::string odd = std::string("\0\0\0\2\x7fx", 6);
  for (const char* key : {"odd", "owner", "vm/odd", "vacant/odd", "order/odd",
                          "wave/1", "wanted/odd", kOther}) {
    site.store.Put("keyed.op", key, kBytes);
    site.store.Put("keyed.servers", key, kBytes);
    site.store.Put("keyed.plantain-jobs", key, kBytes);
    site.store.Put("keyed.plantain-fleet", key, kBytes);
    site.store.Put("keyed.plantain-progress", key, kBytes, pool);
  }
  site.store.PutRaw("keyed.plantain-progress", pool, odd);
  site.AddVm("vm-1", milliseconds(30));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));

  SECTION("also those that come while it is at work") {
    site.store.PutRaw("keyed.plantain-progress", pool, odd);
    site.store.PutRaw("keyed.servers", 0, odd);
    site.store.PutRaw("keyed.plantain-jobs", JobPartitionOf("q", kOther), odd);
    CHECK(site.Submit("p1", kOther).status == 200);
    CHECK(site.AwaitState("p1", "completed", kOther));
  }
}

TEST_CASE("A bad configuration leaves the last good one in force") {
  site site;
  site.AddVm("vm-1", milliseconds(30));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  const std::string bad = GENERATE(
      std::string(kBytes), std::string(R"({"version":9})"),
      std::string(R"({"version":9,"routes":[{"name":7}],"services":[]})"));
  site.store.Put("keyed.op", "config", bad);
  REQUIRE(AwaitFault(&site, "p1"));
  CHECK(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));
}

// An owner dies while its tasks run, and its claim in the partition has been
// written over. The next owner can't tell who was before it. It takes the
// partition over all the same, and starts no task a second time.
TEST_CASE("A partition whose claim can't be read is taken over") {
  site site;
  site.AddVm("vm-1", milliseconds(600));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(RunUntil(&site.context,
                   [&] { return site.vms["vm-1"]->Running() == 2; }));
  site.processes.erase("p1");
  site.store.Expire("p1");
  const std::uint32_t pool = PoolPartitionOf("pool");
  site.store.Put("keyed.plantain-progress", "owner", kBytes, pool);
  site.store.Put("keyed.plantain-progress", "vm/vm-1", kBytes, pool);
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p2"));
  CHECK(site.AwaitState("p2", "completed"));
  for (const auto& [task, starts] : site.vms["vm-1"]->starts()) {
    CAPTURE(task);
    CHECK(starts == 1);
  }
}

// The same, and the VM has fallen silent: nobody can ask it what runs there. If
// the partition counted as one that nobody has worked on, its tasks would start
// elsewhere at once, beside those that run on under the lease.
TEST_CASE(
    "After a claim that can't be read silent VMs' leases are waited for") {
  site site;
  auto& silent = site.AddVm("vm-1", seconds(100));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return silent.Running() == 2; }));
  site.processes.erase("p1");
  site.store.Expire("p1");
  silent.is_silent = true;
  site.store.Put("keyed.plantain-progress", "owner", kBytes,
                 PoolPartitionOf("pool"));
  auto& other = site.AddVm("vm-2", milliseconds(30));
  site.AddProcess("p2");
  REQUIRE(RunUntil(&site.context, [&] { return !other.starts().empty(); }));
  CHECK(silent.Running() == 0);
  CHECK(site.AwaitState("p2", "completed"));
}

}  // namespace
}  // namespace plantainhead::jobs
