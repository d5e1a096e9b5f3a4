#include "jobs/job_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/record_codec.h"
#include "net/address.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "plantainhead/settings/scheduler_settings.h"
#include "run_until.h"
#include "site_store.h"
#include "site_vm.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RunUntil;

std::string FreeAddress() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context,
                                          net::ParseAddress("127.0.0.1:0"));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

constexpr const char* kConfiguration =
    R"({"version":3,"routes":[{"name":"q","host":"a.example","path_prefix":"/q/",
        "service":"pool","max_attempts":2,"stretch":2}],
        "services":[{"name":"pool"}]})";
constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":50},
        {"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":50,"depends_on":[0]}]})";
constexpr const char* kId = "0123456789abcdef";

/// A small deployment in one thread: a store, VMs and processes of the
/// scheduler, which talk over loopback.
class site {
 public:
  site() : store(&context), store_address_(FreeAddress()) {
    store_server_ = std::make_unique<net::http_server>(
        &context, store_address_, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          store.Handle(request, respond);
        });
    store.Put("keyed.op", "config", kConfiguration);
  }

  fakes::site_vm& AddVm(const std::string& id, milliseconds task_time) {
    const std::string address = FreeAddress();
    vms[id] =
        std::make_unique<fakes::site_vm>(&context, id, address, task_time);
    store.Put("keyed.servers", id, vms[id]->RegistryValue("pool"));
    return *vms[id];
  }

  void AddProcess(const std::string& name) {
    settings::scheduler_process_settings settings;
    settings.name = name;
    settings.caller_address = FreeAddress();
    settings.probe_address = FreeAddress();
    settings.store_address = store_address_;
    addresses[name] = settings.caller_address;
    probes_[name] = settings.probe_address;
    processes[name] = std::make_unique<job_service>(&context, settings);
    processes[name]->Start();
  }

  net::client_reply Call(const std::string& address,
                         net::method verb,
                         const std::string& target,
                         const std::string& body = "") {
    net::http_client client(&context, address, {});
    net::client_request request;
    request.verb = verb;
    request.target = target;
    request.headers.emplace_back("Host", "a.example");
    request.body = body;
    std::optional<net::client_reply> reply;
    client.Send(request, seconds(30),
                [&](net::client_reply got) { reply = std::move(got); });
    RunUntil(&context, [&] { return reply.has_value(); });
    return reply.value_or(net::client_reply());
  }

  net::client_reply Submit(const std::string& process, const std::string& id) {
    return Call(addresses.at(process), net::method::kPost, "/q/" + id, kJob);
  }

  std::string StateOf(const std::string& process, const std::string& id) {
    return Call(addresses.at(process), net::method::kGet, "/q/" + id).body;
  }

  bool IsReady(const std::string& process) {
    return Call(probes_.at(process), net::method::kGet, "/plantainhead/ready")
               .status == 200;
  }

  bool AwaitReady(const std::string& process) {
    for (int i = 0; i < 500 && !IsReady(process); ++i) {
      Pass(milliseconds(20));
    }
    return IsReady(process);
  }

  bool AwaitState(const std::string& process, const std::string& state) {
    const std::string wanted = "{\"state\":\"" + state + "\"}";
    for (int i = 0; i < 1500; ++i) {
      if (StateOf(process, kId) == wanted) {
        return true;
      }
      Pass(milliseconds(20));
    }
    return false;
  }

  void Pass(milliseconds time) { context.run_for(time); }

  int StartsOf(const std::string& task) const {
    int starts = 0;
    for (const auto& [id, vm] : vms) {
      const auto found = vm->starts().find(task);
      starts += found == vm->starts().end() ? 0 : found->second;
    }
    return starts;
  }

  boost::asio::io_context context;
  fakes::site_store store;
  std::map<std::string, std::unique_ptr<fakes::site_vm>> vms;
  std::map<std::string, std::unique_ptr<job_service>> processes;
  std::map<std::string, std::string> addresses;

 private:
  std::string store_address_;
  std::unique_ptr<net::http_server> store_server_;
  std::map<std::string, std::string> probes_;
};

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
    site.Pass(milliseconds(300));
    CHECK(site.StartsOf(std::string(kId) + ".0.0.0") == 1);
  }

  SECTION("a submission that is repeated elsewhere starts nothing") {
    CHECK(site.Submit("p2", kId).status == 200);
    site.Pass(milliseconds(300));
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
    site.Pass(milliseconds(500));
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
    site.Pass(milliseconds(20));
  }
  CHECK(reply.status == 503);
  site.store.faults.silent_topic.clear();
  REQUIRE(site.AwaitReady("p1"));
  CHECK(ask() == 200);
  CHECK(reply.body == R"({"pending":0})");
}

// An operator asked two processes how many jobs wait and got 0, while six had
// waited for 5 s. Each answered from the records that it had read so far, and
// its reads of them hung: the store had been away when they were sent. The age
// of what is read is bounded by no read that may hang, so the store is asked
// before each answer, and without its answer no number is told.
TEST_CASE("A number of waiting jobs is as new as the question") {
  constexpr const char* kJobsTopic = "keyed.plantain-jobs";
  constexpr std::size_t kTopicPartitions = 16;
  site site;
  site.AddProcess("p1");
  site.AddProcess("p2");
  REQUIRE(site.AwaitReady("p1"));
  REQUIRE(site.AwaitReady("p2"));
  const auto ask = [&](const std::string& process) {
    return site.Call(site.addresses.at(process), net::method::kGet, "/q/");
  };
  REQUIRE(RunUntil(&site.context, [&] {
    return site.store.WaitingReads(kJobsTopic) == 2 * kTopicPartitions;
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
