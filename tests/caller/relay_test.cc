#include <caf/all.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "caller/load_sender.h"
#include "plantainhead/caller/http_server.h"
#include "plantainhead/endpoint/endpoint_client.h"
#include "runner.h"

namespace plantainhead::caller {
namespace {

using namespace std::chrono_literals;

core::time_point Now() {
  return core::time_point(std::chrono::duration_cast<core::duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

// Decisions that send every request to one endpoint, at once.
class relay {
 public:
  explicit relay(std::uint16_t runner)
      : runner_(runner),
        system_(config_),
        link_(system_, {}, Now, [this](core::event what) { Post(what); }) {}

  core::core_gateway Gateway() {
    core::core_gateway gateway;
    gateway.submit = [this](core::request_envelope envelope) {
      core::call_endpoint call;
      std::future<core::response> future;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        call.call = core::call_id{++calls_};
        future = waiting_[call.call].get_future();
      }
      call.host = "127.0.0.1";
      call.port = runner_;
      call.envelope = std::move(envelope);
      link_.Call(std::move(call));
      return future;
    };
    return gateway;
  }

 private:
  void Post(const core::event& what) {
    if (const auto* replied = std::get_if<core::endpoint_replied>(&what)) {
      Answer(replied->call, {replied->status,
                             replied->headers,
                             replied->body,
                             core::outcome::kDone,
                             {},
                             "",
                             {}});
    } else if (const auto* failed = std::get_if<core::endpoint_failed>(&what)) {
      core::response answer;
      const bool ran = failed->failure == core::endpoint_failure::kMaybeSent;
      answer.result = ran ? core::outcome::kUnknown : core::outcome::kNotRun;
      answer.reason = core::answer_reason::kEndpointLost;
      Answer(failed->call, std::move(answer));
    }
  }

  void Answer(core::call_id call, core::response answer) {
    std::promise<core::response> promise;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      promise = std::move(waiting_.at(call));
      waiting_.erase(call);
    }
    promise.set_value(std::move(answer));
  }

  const std::uint16_t runner_;
  std::mutex mutex_;
  std::map<core::call_id, std::promise<core::response>> waiting_;
  std::uint64_t calls_ = 0;
  caf::actor_system_config config_;
  caf::actor_system system_;
  endpoint::endpoint_client link_;
};

TEST_CASE("Many callers get their own answers through both sides") {
  fakes::runner_options runner_options;
  runner_options.keep_alive = 1s;
  runner_options.service_time = 2ms;
  runner_options.jitter = 2ms;
  fakes::runner runner(runner_options);
  const auto runner_port = static_cast<std::uint16_t>(runner.Start(0));
  relay decisions(runner_port);
  http_server_options options;
  options.threads = 32;
  options.now = Now;
  http_server server(
      options, decisions.Gateway(),
      {{"GET", "/readyz", [](const http_request&) { return http_answer{}; }}});
  load_options load;
  load.entries = {{"127.0.0.1", server.Start()}};
  load.run_id = "relay";
  const load_plan plan =
      DrawPlan({ParseLoadClass("service=a,rate=600,idempotent=false,keys=true"),
                ParseLoadClass("service=b,rate=400,method=GET")},
               500ms, 3);
  load_report report(plan.classes);

  const auto audit = [&] {
    const collected_runs runs = CollectRuns({{"127.0.0.1", runner_port}}, 5s);
    report.Audit(runs.runs, runs.read, runs.unread,
                 [](std::uint64_t number) { return NonceOf("relay", number); });
    return report.ToJson();
  };

  SECTION("while the endpoint is well") {
    SendLoad(plan, load, &report);
    const nlohmann::json figures = audit();
    INFO(figures.dump(1));
    CHECK(report.IsClean());
    CHECK(figures["audit"]["unfounded"] == 0);
    for (const auto& one : figures["classes"]) {
      // What goes beyond the slots is refused by the endpoint, and not run.
      CHECK(one["done"].get<int>() + one["not_run"].get<int>() ==
            one["sent"].get<int>());
      CHECK(one["done"].get<int>() > 0);
    }
  }

  SECTION("while a reboot without a drain cuts requests") {
    // The endpoint starts again in the middle of requests. Their callers are
    // told that nobody knows; no answer is lost, mixed up or untrue.
    constexpr int kCutRequests = 20;
    std::thread rebooting([&] {
      httplib::Client control("127.0.0.1", runner_port);
      while (runner.Counters()["cut"] < kCutRequests) {
        control.Post("/control/reboot");
      }
    });
    SendLoad(plan, load, &report);
    rebooting.join();
    const nlohmann::json figures = audit();
    INFO(figures.dump(1));
    CHECK(report.IsClean());
    CHECK(figures["audit"]["unfounded"] == 0);
    std::uint64_t unknown = 0;
    for (const auto& one : figures["classes"]) {
      unknown += one["unknown"].get<std::uint64_t>();
    }
    CHECK(unknown >= kCutRequests);
  }
}

}  // namespace
}  // namespace plantainhead::caller
