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
  // the end of the job; a process that starts later must still know the job.
  SECTION("also by one that starts when only the short record is left") {
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

  SECTION("a submission that is repeated at another process starts no task") {
    CHECK(site.Submit("p2", kId).status == 200);
    site.RunFor(milliseconds(300));
    CHECK(site.StartsOf(std::string(kId) + ".0.0.0") == 1);
  }

  SECTION("unknown jobs, unknown queues and malformed requests are rejected") {
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

// The store answers an owner's renewals, but none of its reads of jobs. The
// owner would continue with its old copy of the jobs, however old, and start
// tasks of a job that was cancelled long before.
TEST_CASE("An owner that cannot read its jobs soon stops starting tasks") {
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

// A configuration moves a queue to another pool while one of its jobs runs in
// the old one. If the owner of the old pool then followed the queue's
// partitions only in the background, a read that hangs would delay the job's
// cancellation by up to 10.9 s.
TEST_CASE("A cancellation reaches the owner of a queue's former pool") {
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

  SECTION("before the queue moves") {}

  SECTION("after the queue has moved") {
    std::string configuration = kConfiguration;
    configuration.replace(configuration.find("\"version\":3"), 11,
                          "\"version\":4");
    configuration.replace(configuration.find("\"service\":\"pool\""), 16,
                          "\"service\":\"" + other + "\"");
    configuration.replace(configuration.find("[{\"name\":\"pool\"}]"), 17,
                          "[{\"name\":\"pool\"},{\"name\":\"" + other + "\"}]");
    site.store.Put("keyed.op", "config", configuration);
    // Reads that were sent in watch mode end in the meantime.
    site.RunFor(seconds(5));
  }

  REQUIRE(vm.Running() == 1);
  site.store.SilenceWaitingReads();
  REQUIRE(site.Call(site.addresses.at("p1"), net::method::kDelete,
                    "/q/" + std::string(kId))
              .status == 200);
  // A read that hangs in watch mode is abandoned after 2 s.
  site.RunFor(seconds(4));
  CHECK(vm.Running() == 0);
}

// The owner of a pool crashes while its tasks run. The group assigns the pool
// to another process, which finds the tasks on the VM and lets them finish: no
// task starts a second time, and none is lost.
TEST_CASE("The tasks of an owner that crashed are taken over") {
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

// Guards against task ends of a VM's new incarnation that are attributed to its
// previous one, so that tasks ran twice.
TEST_CASE("A VM that restarts under its id runs each task once") {
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

// The request to start a task is executed, and its response is lost. The owner
// must not start the task on another VM as well.
TEST_CASE("A start whose response is lost duplicates no task") {
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

TEST_CASE(
    "Without a store a submission is refused, and a refused job never runs") {
  site site;
  auto& vm = site.AddVm("vm-1", milliseconds(50));
  site.AddProcess("p1");
  REQUIRE(site.AwaitReady("p1"));

  SECTION("the store refuses: 503 with Retry-After, and no task runs") {
    site.store.faults.is_refusing = true;
    CHECK(site.Submit("p1", kId).status == 503);
    site.store.faults.is_refusing = false;
    site.RunFor(milliseconds(500));
    CHECK(vm.starts().empty());
  }

  SECTION(
      "the store loses the response: the stored job is found and accepted") {
    site.store.faults.loses_answers = true;
    CHECK(site.Submit("p1", kId).status == 200);
    site.store.faults.loses_answers = false;
    CHECK(site.AwaitState("p1", "completed"));
  }

  SECTION("the store does not respond: 504, because the job may be stored") {
    site.store.faults.is_silent = true;
    CHECK(site.Submit("p1", kId).status == 504);
  }
}

// A process that has just started knows the queue but none of its jobs. A count
// of what it has read so far would be 0, and operators would conclude that no
// job waits.
TEST_CASE("The number of jobs is not reported before the jobs have been read") {
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

// Guards against an outdated count: two processes reported that no job was
// waiting, while six had waited for 5 s. They counted the records read so far,
// and their reads hung, because the store had been unreachable when these were
// sent. No read that may hang bounds the age of a copy, so the pool's owner
// reads the store before each answer, and reports no number if the store does
// not respond.
TEST_CASE("The number of waiting jobs is as current as the query") {
  constexpr const char* kJobsTopic = "keyed.plantain-jobs";
  site site;
  site.AddProcess("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.AwaitReady("p2"));
  const auto ask = [&](const std::string& process) {
    return site.Call(site.addresses.at(process), net::method::kGet, "/q/");
  };
  // Only the owner reads the jobs.
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

  SECTION("and is not reported when the store does not respond") {
    site.store.faults.silent_topic = "plantain-jobs";
    CHECK(ask("p1").status == 503);
    CHECK(ask("p2").status == 503);
    site.store.faults.silent_topic.clear();
    CHECK(ask("p1").body == R"({"pending":2})");
  }
}

// Guards against a job that runs after its cancellation was answered, because
// the store carries out an append of its submission later.
TEST_CASE("A job that is stored after its cancellation does not run") {
  site site;
  site.AddVm("vm-1", milliseconds(30));
  site.AddProcess("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.AwaitReady("p2"));
  site.RunFor(seconds(1));
  const std::string owner = site.OwnerOf("pool");
  const std::string other = owner == "p1" ? "p2" : "p1";
  const auto cancel = [&](const std::string& process) {
    return site
        .Call(site.addresses.at(process), net::method::kDelete,
              "/q/" + std::string(kId))
        .status;
  };
  const auto store_late = [&] {
    submission_record late;
    late.spec.id = kId;
    late.spec.queue = "q";
    late.spec.pool = "pool";
    late.spec.payload = "x";
    late.spec.steps.emplace_back().estimate = milliseconds(50);
    late.spec.steps.back().task_count = 2;
    site.store.Put("keyed.plantain-jobs", kId, Encode(late).value,
                   JobPartitionOf("q", kId));
    site.RunFor(seconds(1));
  };

  SECTION("when the owner was asked") {
    CHECK(cancel(owner) == 410);
    store_late();
    CHECK(site.StateOf(owner, kId) == R"({"state":"cancelled"})");

    SECTION("and the next owner reads both") {
      site.Crash(owner);
      site.Expire(owner);
      site.RunFor(seconds(6));
      CHECK(site.StateOf(other, kId) == R"({"state":"cancelled"})");
    }
  }

  SECTION("when another process was asked") {
    CHECK(cancel(other) == 410);
    store_late();
  }

  SECTION("when the owner changes before it is stored") {
    CHECK(cancel(owner) == 410);
    site.Crash(owner);
    site.Expire(owner);
    site.RunFor(seconds(6));
    store_late();
    CHECK(site.StateOf(other, kId) == R"({"state":"cancelled"})");
  }

  SECTION("when the store did not answer the owner's append") {
    site.store.faults.loses_answers = true;
    CHECK(cancel(owner) == 410);
    site.store.faults.loses_answers = false;
    store_late();
  }

  SECTION("and a cancellation that cannot be stored is not acknowledged") {
    site.store.faults.is_refusing = true;
    CHECK(cancel(owner) == 503);
    site.store.faults.is_refusing = false;
  }

  CHECK(site.StartsOf(std::string(kId) + ".0.0.0") == 0);
}

}  // namespace
}  // namespace plantainhead::jobs
