#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "jobs/small_site.h"
#include "jobs/store_view.h"

// Malformed records of another writer in the store of a running deployment.
namespace plantainhead::jobs {
namespace {

constexpr const char* kOtherId = "fedcba9876543210";
constexpr const char* kMalformedBytes = "\xff\xfe{[";

// Polls the metrics until they report a fault, up to a limit.
bool AwaitFault(site* site, const std::string& process) {
  constexpr int kMaxCalls = 500;
  for (int i = 0; i < kMaxCalls; ++i) {
    if (site->MetricsOf(process).find("plantain_faulty_keys 1") !=
        std::string::npos) {
      return true;
    }
    site->RunFor(milliseconds(20));
  }
  return false;
}

// The registry entry of a VM with running tasks becomes malformed. Its tasks
// complete there, each run once, and later tasks start on other VMs: the entry
// could mean anything, including a VM that is being retired.
TEST_CASE("A VM with a malformed entry keeps its tasks and gets no new ones") {
  const std::string entry =
      GENERATE(std::string(kMalformedBytes), std::string("{}"),
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
    "A VM of a service that the configuration does not name gets no task") {
  site site;
  auto& malformed = site.AddVm("vm-1", milliseconds(30));
  site.store.Put("keyed.servers", "vm-1", malformed.RegistryValue("elsewhere"));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  site.AddVm("vm-2", milliseconds(30));
  CHECK(site.AwaitState("p1", "completed"));
  CHECK(malformed.starts().empty());
}

// Malformed records are in every topic before the process starts. All other
// records are read and applied.
TEST_CASE("Malformed records do not prevent others from being read") {
  site site;
  const std::uint32_t pool = PoolPartitionOf("pool");
  const std::string malformed = std::string("\0\0\0\2\x7fx", 6);
  for (const char* key : {"odd", "owner", "vm/odd", "vacant/odd", "order/odd",
                          "wave/1", "wanted/odd", kOtherId}) {
    site.store.Put("keyed.op", key, kMalformedBytes);
    site.store.Put("keyed.servers", key, kMalformedBytes);
    site.store.Put("keyed.plantain-jobs", key, kMalformedBytes);
    site.store.Put("keyed.plantain-fleet", key, kMalformedBytes);
    site.store.Put("keyed.plantain-progress", key, kMalformedBytes, pool);
  }
  site.store.PutRaw("keyed.plantain-progress", pool, malformed);
  site.AddVm("vm-1", milliseconds(30));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));

  SECTION("including those that arrive while the process runs") {
    site.store.PutRaw("keyed.plantain-progress", pool, malformed);
    site.store.PutRaw("keyed.servers", 0, malformed);
    site.store.PutRaw("keyed.plantain-jobs", JobPartitionOf("q", kOtherId),
                      malformed);
    CHECK(site.Submit("p1", kOtherId).status == 200);
    CHECK(site.AwaitState("p1", "completed", kOtherId));
  }
}

// Guards against processes that end, or stop following the VMs, because another
// writer has left an odd entry among those of the VMs.
TEST_CASE("An odd registry entry does not hide the other VMs") {
  const std::string deep(100'000, '[');
  const std::string end(100'000, ']');
  site site;
  auto& odd = site.AddVm("odd", milliseconds(30));
  const std::string valid = odd.RegistryValue("pool");
  const std::string fields = valid.substr(0, valid.size() - 1);
  const std::vector<std::string> entries = {
      deep + end, fields + R"(,"other":)" + deep + end + "}",
      fields + R"(,"other":1e999})",
      fields + R"(,"remaining_ms":18446744073709551616})",
      odd.RegistryValue("pool", "127.0.0.1:99999")};
  const std::string& entry = entries.at(GENERATE(0, 1, 2, 3, 4));
  CAPTURE(entry.substr(0, 60));
  const bool is_there_at_start = GENERATE(true, false);
  if (is_there_at_start) {
    site.store.Put("keyed.servers", "odd", entry);
  } else {
    site.store.Put("keyed.servers", "odd", std::nullopt);
  }
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  site.RunFor(milliseconds(300));
  site.store.Put("keyed.servers", "odd", entry);
  site.AddVm("vm-1", milliseconds(30));
  REQUIRE(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));
  CHECK(odd.starts().empty());
  CHECK(AwaitFault(&site, "p1"));
}

TEST_CASE("A malformed configuration leaves the last valid one in effect") {
  site site;
  site.AddVm("vm-1", milliseconds(30));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  const std::string bad = GENERATE(
      std::string(kMalformedBytes), std::string(R"({"version":9})"),
      std::string(R"({"version":9,"routes":[{"name":7}],"services":[]})"));
  site.store.Put("keyed.op", "config", bad);
  REQUIRE(AwaitFault(&site, "p1"));
  CHECK(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));
}

// An owner dies while its tasks run, and its claim in the partition is
// overwritten. The next owner cannot determine its predecessor. It takes over
// the partition regardless, and starts no task a second time.
TEST_CASE("A partition with a malformed claim is taken over") {
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
  site.store.Put("keyed.plantain-progress", "owner", kMalformedBytes, pool);
  site.store.Put("keyed.plantain-progress", "vm/vm-1", kMalformedBytes, pool);
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p2"));
  CHECK(site.AwaitState("p2", "completed"));
  for (const auto& [task, starts] : site.vms["vm-1"]->starts()) {
    CAPTURE(task);
    CHECK(starts == 1);
  }
}

// As above, and the VM does not respond, so that nobody can query what runs
// there. If the partition were treated as one that never had an owner, its
// tasks would start elsewhere immediately, while the first runs continue under
// the lease.
TEST_CASE(
    "A takeover after a malformed claim waits for the leases of silent VMs") {
  site site;
  auto& silent = site.AddVm("vm-1", seconds(100));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return silent.Running() == 2; }));
  site.processes.erase("p1");
  site.store.Expire("p1");
  silent.is_silent = true;
  site.store.Put("keyed.plantain-progress", "owner", kMalformedBytes,
                 PoolPartitionOf("pool"));
  auto& other = site.AddVm("vm-2", milliseconds(30));
  site.AddProcess("p2");
  REQUIRE(RunUntil(&site.context, [&] { return !other.starts().empty(); }));
  CHECK(silent.Running() == 0);
  CHECK(site.AwaitState("p2", "completed"));
}

}  // namespace
}  // namespace plantainhead::jobs
