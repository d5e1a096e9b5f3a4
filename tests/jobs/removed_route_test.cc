#include <catch2/catch.hpp>
#include <string>

#include "jobs/job_partitions.h"
#include "jobs/queue_history.h"
#include "jobs/small_site.h"
#include "net/http_status.h"
#include "peers/owner_announcement.h"

namespace plantainhead::jobs {
namespace {

constexpr const char* kAddressTopic = "keyed.plantain-addresses";
const std::string kTask = std::string(kId) + ".0.0.0";

// Returns a configuration with a route that stays and, unless `max_attempts` is
// 0, the route of the test's queue.
std::string Configuration(int version, int max_attempts) {
  std::string routes =
      R"({"name":"kept","host":"a.example","path_prefix":"/kept/",
          "service":"pool","max_attempts":4,"stretch":2})";
  if (max_attempts > 0) {
    routes += R"(,{"name":"q","host":"a.example","path_prefix":"/q/",
        "service":"pool","priority":3,"stretch":2.5,"target_latency_ms":700,
        "max_attempts":)" +
              std::to_string(max_attempts) + "}";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes + R"(],"services":[{"name":"pool"}]})";
}

/// A process that owns the pool, and a job whose first run fails. The route of
/// its queue is removed while that run is on the VM.
struct removed_route_site : site {
  removed_route_site() {
    store.Put("keyed.op", "config", Configuration(3, 4));
    vm = &AddVm("vm-1", seconds(2));
    vm->failing_ends = 1;
    AddProcess("p1");
    REQUIRE(AwaitReady("p1"));
    RunFor(seconds(1));
  }

  void SubmitJob() {
    REQUIRE(Call(addresses.at("p1"), net::method::kPost,
                 "/q/" + std::string(kId),
                 R"({"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":10,)"
                 R"("estimate_ms":50}]})")
                .status == net::kOk);
    REQUIRE(RunUntil(&context, [this] { return StartsOf(kTask) == 1; }));
  }

  void Publish(const std::string& configuration) {
    store.Put("keyed.op", "config", configuration);
    RunFor(milliseconds(300));
  }

  void RestartOwner() {
    Crash("p1");
    Expire("p1");
    AddProcess("p2");
    REQUIRE(AwaitReady("p2"));
  }

  fakes::site_vm* vm = nullptr;
};

// Guards against a job that fails after its first attempt because an owner that
// started after its route was removed knows no policy of its queue.
TEST_CASE("A job keeps the policy of its queue after its route was removed") {
  removed_route_site site;
  site.SubmitJob();

  SECTION("when its owner is replaced") {
    site.Publish(Configuration(4, 0));
    site.RestartOwner();
  }

  SECTION("when the policy had changed before") {
    site.Publish(Configuration(4, 1));
    site.Publish(Configuration(5, 3));
    site.Publish(Configuration(6, 0));
    site.RestartOwner();
  }

  SECTION("when an older record of the policy was stored late") {
    const auto older = site.store.Newest(kAddressTopic, "policy/q");
    REQUIRE(older);
    site.Publish(Configuration(4, 3));
    site.store.Put(kAddressTopic, "policy/q",
                   Encode(recorded_policy{"q", {3, 1}, 2}).value);
    site.RunFor(milliseconds(300));
    site.Publish(Configuration(5, 0));
    site.RestartOwner();
  }

  CHECK(RunUntil(&site.context, [&] { return site.StartsOf(kTask) == 2; }));
  site.vm->failing_ends = 0;
  site.Publish(Configuration(9, 4));
  CHECK(site.AwaitState("p2", "completed"));
}

// Guards against an append for each configuration, or for each restart.
TEST_CASE("An unchanged policy is recorded once") {
  removed_route_site site;
  CHECK(site.store.CountRecords(kAddressTopic, "policy/q") == 1);
  site.Publish(Configuration(4, 4));
  site.RestartOwner();
  site.RunFor(seconds(3));
  CHECK(site.OwnerOf("pool") == "p2");
  CHECK(site.store.CountRecords(kAddressTopic, "policy/q") == 1);
  site.Publish(Configuration(5, 2));
  CHECK(site.store.CountRecords(kAddressTopic, "policy/q") == 2);
}

TEST_CASE("A record of a queue's policy") {
  core::jobs::queue_policy policy;
  policy.priority = -2;
  policy.max_attempts = 4;
  policy.stretch = 1.6;
  policy.latency_target = milliseconds(600);
  const adapter::keyed_record record = Encode(recorded_policy{"q", policy, 7});

  SECTION("is decoded as it was encoded") {
    REQUIRE(IsPolicyKey(record.key));
    const auto decoded = DecodeRecordedPolicy(record);
    REQUIRE(decoded);
    CHECK(decoded->queue == "q");
    CHECK(decoded->policy == policy);
    CHECK(decoded->version == 7);
  }

  SECTION("is a fault if it is malformed") {
    for (const char* value : {"", "{}", R"({"v":0,"r":0,"a":1,"s":1,"t":0})",
                              R"({"v":1,"r":0,"a":0,"s":1,"t":0})",
                              R"({"v":1,"r":99999999999,"a":1,"s":1,"t":0})",
                              R"({"v":1,"r":0,"a":1,"s":1e999,"t":0})",
                              R"({"v":1,"r":0,"a":1,"s":1,"t":-1})"}) {
      CHECK_FALSE(DecodeRecordedPolicy({record.key, value}));
    }
    CHECK_FALSE(DecodeRecordedPolicy({record.key, std::nullopt}));
    CHECK_FALSE(DecodeRecordedPolicy({"policy/", record.value}));
  }

  SECTION("is a fault, and not an address, to an earlier version") {
    CHECK_FALSE(peers::DecodeAnnouncement(record));
  }
}

TEST_CASE("The newest of several policies of a queue counts") {
  queue_history history;
  CHECK_FALSE(history.PolicyOf("q"));
  history.NotePolicy({"q", {0, 4}, 3});
  CHECK(history.PoliciesToStore().size() == 1);

  SECTION("a newer one in the store, though this process is behind") {
    CHECK_FALSE(history.NoteStoredPolicy({"q", {0, 2}, 5}));
    CHECK(history.PolicyOf("q")->max_attempts == 2);
    history.NotePolicy({"q", {0, 3}, 4});
    CHECK(history.PolicyOf("q")->max_attempts == 2);
    CHECK(history.PoliciesToStore().empty());
  }

  SECTION("a newer one than in the store, which is stored again") {
    CHECK(history.NoteStoredPolicy({"q", {0, 2}, 1}));
    CHECK(history.PolicyOf("q")->max_attempts == 4);
    CHECK(history.PoliciesToStore().size() == 1);
  }

  SECTION("the same one in the store is not stored again") {
    CHECK_FALSE(history.NoteStoredPolicy({"q", {0, 4}, 1}));
    CHECK(history.PoliciesToStore().empty());
  }
}

}  // namespace
}  // namespace plantainhead::jobs
