#include "jobs/job_service.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "jobs/record_codec.h"
#include "jobs/small_site.h"
#include "jobs/store_view.h"
#include "net/http_client.h"
#include "run_until.h"

namespace plantainhead::jobs {
namespace {

TEST_CASE("A job is accepted, run and shown as completed by every process") {
  site site;
  site.AddVm("vm-1", milliseconds(30));
  site.AddProcess("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.AwaitReady("p2"));
  CHECK(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p2", "completed"));
  CHECK(site.StateOf("p1", kId) == R"({"state":"completed"})");
  CHECK(site.StartsOf(std::string(kId) + ".0.0.0") == 1);
  CHECK(site.StartsOf(std::string(kId) + ".0.1.0") == 1);

  // The record of the submission is replaced by a short one some seconds after
  // the end; a process that starts later must know the job all the same.
  SECTION("also by one that starts when only its end is kept") {
    REQUIRE(RunUntil(&site.context, [&] {
      return site.store.Newest("keyed.plantain-jobs", kId) ==
             R"({"x":"completed"})";
    }));
    site.AddProcess("p3");
    REQUIRE(site.AwaitReady("p3"));
    CHECK(site.StateOf("p3", kId) == R"({"state":"completed"})");
    CHECK(site.Submit("p3", kId).status == 200);
    site.RunFor(milliseconds(300));
    CHECK(site.StartsOf(std::string(kId) + ".0.0.0") == 1);
  }

  SECTION("a submission that is repeated elsewhere starts nothing") {
    CHECK(site.Submit("p2", kId).status == 200);
    site.RunFor(milliseconds(300));
    CHECK(site.StartsOf(std::string(kId) + ".0.0.0") == 1);
  }

  SECTION("what isn't there is told so") {
    CHECK(site.StateOf("p1", "ffffffffffffffff").find("no such job") !=
          std::string::npos);
    CHECK(site.Call(site.addresses.at("p1"), net::method::kPost,
                    "/nowhere/" + std::string(kId), kJob)
              .status == 404);
    CHECK(
        site.Call(site.addresses.at("p1"), net::method::kPost, "/q/short", kJob)
            .status == 400);
    CHECK(site.Call(site.addresses.at("p1"), net::method::kPost,
                    "/q/aaaaaaaaaaaaaaaa", "{}")
              .status == 400);
    CHECK(site.Call(site.addresses.at("p1"), net::method::kDelete,
                    "/q/bbbbbbbbbbbbbbbb")
              .status == 410);
    CHECK(site.Call(site.addresses.at("p1"), net::method::kGet, "/q/").body ==
          R"({"pending":0})");
  }
}

TEST_CASE("A cancelled job's tasks are stopped") {
  site site;
  auto& vm = site.AddVm("vm-1", seconds(100));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return vm.Running() == 2; }));
  CHECK(site.Call(site.addresses.at("p1"), net::method::kDelete,
                  "/q/" + std::string(kId))
            .status == 200);
  CHECK(RunUntil(&site.context, [&] { return vm.Running() == 0; }));
  CHECK(site.StateOf("p1", kId) == R"({"state":"cancelled"})");
}

// The store answers an owner's renewals, and none of its reads of jobs. It goes
// on with its old copy of them, of whatever age, and starts tasks of a job that
// was cancelled long before.
TEST_CASE("An owner that can't read its jobs starts nothing for long") {
  constexpr int kSteps = 6;
  std::string steps;
  for (int i = 0; i < kSteps; ++i) {
    steps += std::string(i == 0 ? "" : ",") +
             R"({"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":1000)" +
             (i == 0 ? "" : ",\"depends_on\":[" + std::to_string(i - 1) + "]") +
             "}";
  }
  site site;
  auto& vm = site.AddVm("vm-1", seconds(1));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Call(site.addresses.at("p1"), net::method::kPost,
                    "/q/" + std::string(kId),
                    R"({"spec":"x","steps":[)" + steps + "]}")
              .status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return vm.Running() == 1; }));
  site.store.faults.silent_topic = "plantain-jobs";
  site.store.SilenceWaitingReads();
  const auto cancel = Encode(cancel_record{kId});
  site.store.Put("keyed.plantain-jobs", cancel.key, cancel.value);
  site.RunFor(milliseconds(6500));
  // 5 s after the cancellation was stored.
  CHECK(site.StartsOf(std::string(kId) + ".0.5.0") == 0);
}

// A configuration sends a queue to another pool while a job of it runs in the
// old one. The owner of the old pool follows the queue's partitions in the
// background from then on: when a read hangs it sees the job's cancellation up
// to 10.9 s late.
TEST_CASE(
    "A cancellation reaches the owner of the pool that a queue has left") {
  std::string other = "other";
  while (PoolPartitionOf(other) % 2 == PoolPartitionOf("pool") % 2) {
    other += "x";
  }
  site site;
  auto& vm = site.AddVm("vm-1", seconds(100));
  site.AddProcess("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.AwaitReady("p2"));
  site.RunFor(seconds(1));
  REQUIRE(site.Call(site.addresses.at("p1"), net::method::kPost,
                    "/q/" + std::string(kId),
                    R"({"spec":"lasts","steps":[{"count":1,"cpu":1000,
                        "mem_mb":10,"lasting":true}]})")
              .status == 200);
  REQUIRE(RunUntil(&site.context, [&] { return vm.Running() == 1; }));

  SECTION("before") {}

  SECTION("after it has left") {
    std::string configuration = kConfiguration;
    configuration.replace(configuration.find("\"version\":3"), 11,
                          "\"version\":4");
    configuration.replace(configuration.find("\"service\":\"pool\""), 16,
                          "\"service\":\"" + other + "\"");
    configuration.replace(configuration.find("[{\"name\":\"pool\"}]"), 17,
                          "[{\"name\":\"pool\"},{\"name\":\"" + other + "\"}]");
    site.store.Put("keyed.op", "config", configuration);
    // Reads that were sent while watching end meanwhile.
    site.RunFor(seconds(5));
  }

  REQUIRE(vm.Running() == 1);
  site.store.SilenceWaitingReads();
  REQUIRE(site.Call(site.addresses.at("p1"), net::method::kDelete,
                    "/q/" + std::string(kId))
              .status == 200);
  // A read that hangs while watching is given up after 2 s.
  site.RunFor(seconds(4));
  CHECK(vm.Running() == 0);
}

// The owner of a pool dies while its tasks run. The group gives the pool to
// another process, which finds the tasks on the VM and lets them end: none
// starts a second time, and none is lost.
TEST_CASE("The tasks of an owner that died are taken over") {
  site site;
  site.AddVm("vm-1", milliseconds(600));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(RunUntil(&site.context,
                   [&] { return site.vms["vm-1"]->Running() == 2; }));
  site.processes.erase("p1");
  site.store.Expire("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p2"));
  CHECK(site.AwaitState("p2", "completed"));
  for (const auto& [task, starts] : site.vms["vm-1"]->starts()) {
    CHECK(starts == 1);
  }
}

// Guards against ends of a VM's next life that pass for those of its former
// one: its tasks ran twice.
TEST_CASE("A VM that begins again under its id runs each task once") {
  site site;
  auto& vm = site.AddVm("vm-1", milliseconds(30));
  site.ReportRegularly("vm-1");
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(site.AwaitState("p1", "completed"));
  vm.Crash();
  site.RunFor(milliseconds(200));
  vm.BeginLife("vm-1");
  const std::string next = "fedcba9876543210";
  REQUIRE(site.Submit("p1", next).status == 200);
  CHECK(site.AwaitState("p1", "completed", next));
  for (const auto& [task, starts] : vm.starts()) {
    CHECK(starts == 1);
  }
}

// The order to start a task is carried out and its answer is lost. The owner
// must not start the task elsewhere beside it.
TEST_CASE("A start whose answer is lost doubles no task") {
  site site;
  auto& vm = site.AddVm("vm-1", milliseconds(50));
  vm.loses_start_answers = true;
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.Submit("p1", kId).status == 200);
  CHECK(site.AwaitState("p1", "completed"));
  for (const auto& [task, starts] : vm.starts()) {
    CHECK(starts == 1);
  }
}

TEST_CASE("Without a store a submission is refused, and the refusal is true") {
  site site;
  auto& vm = site.AddVm("vm-1", milliseconds(50));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));

  SECTION("the store refuses: 503 with a time to come back, and nothing runs") {
    site.store.faults.is_refusing = true;
    CHECK(site.Submit("p1", kId).status == 503);
    site.store.faults.is_refusing = false;
    site.RunFor(milliseconds(500));
    CHECK(vm.starts().empty());
  }

  SECTION("the store loses the answer: the job is found there and accepted") {
    site.store.faults.loses_answers = true;
    CHECK(site.Submit("p1", kId).status == 200);
    site.store.faults.loses_answers = false;
    CHECK(site.AwaitState("p1", "completed"));
  }

  SECTION("the store is silent: 504, since the job may be stored") {
    site.store.faults.is_silent = true;
    CHECK(site.Submit("p1", kId).status == 504);
  }
}

// A process that has just started knows the queue and none of its jobs. A count
// of what it has read so far would be 0, and operators would believe that
// nothing waits.
TEST_CASE("Before the jobs have been read their number isn't told") {
  site site;
  site.AddVm("vm-1", milliseconds(50));
  site.store.faults.silent_topic = "plantain-jobs";
  site.AddProcess("p1");
  net::client_reply reply;
  const auto ask = [&] {
    reply = site.Call(site.addresses.at("p1"), net::method::kGet, "/q/");
    return reply.status;
  };
  while (ask() == 404) {
    site.RunFor(milliseconds(20));
  }
  CHECK(reply.status == 503);
  site.store.faults.silent_topic.clear();
  REQUIRE(site.AwaitReady("p1"));
  CHECK(ask() == 200);
  CHECK(reply.body == R"({"pending":0})");
}

// An operator asked two processes how many jobs wait and got 0, while six had
// waited for 5 s. The answer came from the records that had been read so far,
// and the reads of them hung: the store had been away when they were sent. The
// age of what is read is bounded by no read that may hang, so the pool's owner
// asks the store before each answer, and without its answer no number is told.
TEST_CASE("A number of waiting jobs is as new as the question") {
  constexpr const char* kJobsTopic = "keyed.plantain-jobs";
  site site;
  site.AddProcess("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.AwaitReady("p2"));
  const auto ask = [&](const std::string& process) {
    return site.Call(site.addresses.at(process), net::method::kGet, "/q/");
  };
  // The owner alone reads the jobs.
  REQUIRE(RunUntil(&site.context, [&] {
    return site.store.WaitingReads(kJobsTopic) == kPartitionsPerQueue;
  }));
  site.store.SilenceWaitingReads();
  REQUIRE(site.Submit("p1", kId).status == 200);
  REQUIRE(site.Submit("p2", "0123456789abcde0").status == 200);

  SECTION("at every process, when reads hang and the store answers again") {
    CHECK(ask("p1").body == R"({"pending":2})");
    CHECK(ask("p2").body == R"({"pending":2})");
  }

  SECTION("and isn't told when the store doesn't answer") {
    site.store.faults.silent_topic = "plantain-jobs";
    CHECK(ask("p1").status == 503);
    CHECK(ask("p2").status == 503);
    site.store.faults.silent_topic.clear();
    CHECK(ask("p1").body == R"({"pending":2})");
  }
}

}  // namespace
}  // namespace plantainhead::jobs
