#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "jobs/job_partitions.h"
#include "jobs/queue_history.h"
#include "jobs/record_codec.h"
#include "jobs/small_site.h"
#include "net/http_status.h"
#include "peers/owner_announcement.h"

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

constexpr const char* kJobsTopic = "keyed.plantain-jobs";

/// Two pools and three processes. The queue is moved to the second pool, and
/// each pool has an owner of its own.
struct moved_site : site {
  moved_site() {
    AddVm("vm-1", milliseconds(30));
    AddVm("vm-2", milliseconds(30));
    store.Put("keyed.servers", "vm-2",
              vms.at("vm-2")->RegistryValue(OtherPool()));
    const std::string both =
        std::string(kConfiguration)
            .replace(
                std::string(kConfiguration).find("[{\"name\":\"pool\"}]"),
                std::string("[{\"name\":\"pool\"}]").size(),
                "[{\"name\":\"pool\"},{\"name\":\"" + OtherPool() + "\"}]");
    store.Put("keyed.op", "config", both);
    for (const char* name : {"p1", "p2", "p3"}) {
      AddProcess(name);
    }
    for (const char* name : {"p1", "p2", "p3"}) {
      REQUIRE(AwaitReady(name));
    }
    RunFor(seconds(2));
    former_owner = OwnerOf("pool");
    next_owner = OwnerOf(OtherPool());
    for (const char* name : {"p1", "p2", "p3"}) {
      third = name != former_owner && name != next_owner ? name : third;
    }
    REQUIRE(former_owner != next_owner);
    REQUIRE_FALSE(third.empty());
  }

  void MoveQueue() {
    store.Put("keyed.op", "config", MovedConfiguration());
    RunFor(seconds(2));
  }

  bool AwaitEndRecord(const std::string& id) {
    const adapter::keyed_record end =
        Encode(ended_record{id, core::jobs::job_phase::kCompleted});
    return RunUntil(&context,
                    [&] { return store.Newest(kJobsTopic, id) == end.value; });
  }

  /// Starts all processes again. They know only what is stored.
  void RestartAll() {
    for (const char* name : {"p1", "p2", "p3"}) {
      Crash(name);
      Expire(name);
    }
    for (const char* name : {"p4", "p5", "p6"}) {
      AddProcess(name);
    }
    for (const char* name : {"p4", "p5", "p6"}) {
      REQUIRE(AwaitReady(name));
    }
    RunFor(seconds(6));
  }

  std::string former_owner;
  std::string next_owner;
  std::string third;
};

// Guards against a completed job that runs again in the pool that its queue was
// moved to, because a repeated submission, stored without reading, replaced the
// record of its end.
TEST_CASE(
    "A repeated submission does not restart a job after its queue moved") {
  moved_site site;
  REQUIRE(site.Submit("p1", kId).status == net::kOk);
  REQUIRE(site.AwaitState("p1", "completed"));
  REQUIRE(site.AwaitEndRecord(kId));
  site.MoveQueue();

  SECTION("when the new pool has an owner") {
    const int appends = site.store_calls["append keyed.plantain-jobs"];
    CHECK(site.Submit(site.third, kId).status == net::kOk);
    CHECK(site.store_calls["append keyed.plantain-jobs"] == appends);
    CHECK(site.AwaitEndRecord(kId));

    SECTION("and other jobs run in the new pool") {
      REQUIRE(site.Submit(site.third, kNextJob).status == net::kOk);
      CHECK(site.AwaitState(site.third, "completed", kNextJob));
      CHECK(site.vms.at("vm-2")->starts().count(kNextJob + ".0.0.0") == 1);
    }
  }

  SECTION("when the new pool's owner has crashed") {
    site.Crash(site.next_owner);
    const auto reply = site.Submit(site.third, kId);
    CHECK(reply.status == net::kUnavailable);
    CHECK(site.AwaitEndRecord(kId));

    SECTION("and the next owner accepts other jobs") {
      site.Expire(site.next_owner);
      for (int i = 0;
           i < 100 && site.Submit(site.third, kNextJob).status != net::kOk;
           ++i) {
        site.RunFor(milliseconds(100));
      }
      CHECK(site.AwaitState(site.third, "completed", kNextJob));
    }
  }

  SECTION("when a process that started after the move handles it") {
    site.Crash(site.next_owner);
    site.AddProcess("p4");
    REQUIRE(site.AwaitReady("p4"));
    CHECK(site.Submit("p4", kId).status == net::kUnavailable);
    CHECK(site.AwaitEndRecord(kId));
  }

  site.RunFor(seconds(2));
  CHECK(site.StartsOf(std::string(kId) + ".0.0.0") == 1);
}

// Guards against the same when the repeated submission was stored by a process
// of an earlier version, or by an append that was carried out late.
TEST_CASE("A job stays in the pool that recorded its progress") {
  moved_site site;
  const bool is_long = GENERATE(false, true);
  CAPTURE(is_long);
  if (is_long) {
    REQUIRE(site.Call(site.addresses.at("p1"), net::method::kPost,
                      std::string("/q/") + kId, LongRunningJob())
                .status == net::kOk);
    REQUIRE(site.AwaitState("p1", "running"));
  } else {
    REQUIRE(site.Submit("p1", kId).status == net::kOk);
    REQUIRE(site.AwaitState("p1", "completed"));
    REQUIRE(site.AwaitEndRecord(kId));
  }
  site.MoveQueue();
  submission_record repeated;
  repeated.spec.id = kId;
  repeated.spec.queue = "q";
  repeated.spec.pool = OtherPool();
  repeated.spec.payload = "x";
  core::jobs::step_spec step;
  step.need = {100, 10, 0};
  step.estimate = milliseconds(50);
  step.long_running = is_long;
  step.task_count = 1;
  repeated.spec.steps = {step};
  site.store.Put(kJobsTopic, kId, Encode(repeated).value,
                 JobPartitionOf("q", kId));
  site.RestartAll();
  const std::string task = std::string(kId) + ".0.0.0";
  CHECK(site.StartsOf(task) == 1);
  CHECK(site.vms.at("vm-2")->starts().count(task) == 0);
  CHECK(site.AwaitState("p4", is_long ? "running" : "completed"));
}

// Guards against a job that nobody reads: it is stored for the former pool of
// its queue after the owner of that pool was restarted.
TEST_CASE(
    "An owner that starts after a queue has moved reads its former jobs") {
  moved_site site;
  REQUIRE(site.Submit("p1", kId).status == net::kOk);
  const auto record = site.store.Newest(kJobsTopic, kId);
  REQUIRE(record);
  REQUIRE(site.AwaitState("p1", "completed"));
  site.MoveQueue();
  site.RestartAll();
  site.store.Put(kJobsTopic, kNextJob, record, JobPartitionOf("q", kNextJob));
  CHECK(RunUntil(&site.context,
                 [&] { return site.StartsOf(kNextJob + ".0.0.0") == 1; }));
  CHECK(site.vms.at("vm-1")->starts().count(kNextJob + ".0.0.0") == 1);
}

// Guards against reads that every submission and every takeover would wait for:
// only queues that were moved need them.
TEST_CASE("The jobs of a queue that was not moved are not looked for") {
  site site;
  site.AddVm("vm-1", milliseconds(30));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  site.RunFor(seconds(2));
  const int appends = site.store_calls["append keyed.plantain-jobs"];
  const int reads = site.store_calls["read keyed.plantain-jobs"];
  REQUIRE(site.Submit("p1", kId).status == net::kOk);
  CHECK(site.store_calls["append keyed.plantain-jobs"] == appends + 1);
  CHECK(site.store_calls["read keyed.plantain-jobs"] == reads);
  REQUIRE(site.AwaitState("p1", "completed"));
  // The partitions of the pool and of the fleet.
  CHECK(site.store_calls["newest keyed.plantain-progress"] <= 2);
}

TEST_CASE("A record of a queue's pool") {
  const served_queue served{"queue", "pool"};
  const adapter::keyed_record record = Encode(served);

  SECTION("is decoded as it was encoded") {
    REQUIRE(IsServedQueueKey(record.key));
    const auto decoded = DecodeServedQueue(record);
    REQUIRE(decoded);
    CHECK(decoded->queue == "queue");
    CHECK(decoded->pool == "pool");
  }

  SECTION("has a key of its own for each pair of names") {
    CHECK(Encode(served_queue{"queu", "epool"}).key != record.key);
    CHECK(Encode(served_queue{"queue", "pool2"}).key != record.key);
  }

  SECTION("is a fault if it is malformed") {
    for (const char* value :
         {"", "[]", "{}", R"({"q":"queue"})", R"({"q":1,"p":"pool"})",
          R"({"q":"queue","p":"other"})"}) {
      CHECK_FALSE(DecodeServedQueue({record.key, value}));
    }
    CHECK_FALSE(DecodeServedQueue({record.key, std::nullopt}));
  }

  SECTION("is a fault, and not an address, to an earlier version") {
    CHECK_FALSE(peers::DecodeAnnouncement(record));
  }
}

TEST_CASE("The pools of a queue are known from configurations and records") {
  queue_history history;
  CHECK_FALSE(history.HasOtherPool("queue", "pool"));
  history.NoteConfigured({"queue", "pool"});
  CHECK_FALSE(history.HasOtherPool("queue", "pool"));
  CHECK_FALSE(history.IsStored({"queue", "pool"}));
  history.NoteStored({"queue", "other"});
  CHECK(history.HasOtherPool("queue", "pool"));
  CHECK(history.HasOtherPool("queue", "other"));
  CHECK(history.IsStored({"queue", "other"}));
  CHECK_FALSE(history.HasOtherPool("other queue", "pool"));
}

}  // namespace
}  // namespace plantainhead::jobs
