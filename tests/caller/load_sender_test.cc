#include "caller/load_sender.h"

#include <httplib.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "loopback.h"
#include "runner.h"

namespace plantainhead::caller {
namespace {

using namespace std::chrono_literals;

// An entry that passes requests to a runner and then answers as the test says.
class lying_entry {
 public:
  lying_entry(std::uint16_t runner, std::string outcome, std::string nonce) {
    server_.Get("/readyz", [](const httplib::Request&, httplib::Response&) {});
    server_.Post(".*", [=](const httplib::Request& request,
                           httplib::Response& response) {
      httplib::Client client("127.0.0.1", runner);
      client.Post("/", request.headers, "", "a/b");
      response.set_header("Plantain-Outcome", outcome);
      response.set_content(nlohmann::json({{"nonce", nonce}}).dump(), "a/b");
    });
    port_ = static_cast<std::uint16_t>(server_.bind_to_any_port("127.0.0.1"));
    server_.set_keep_alive_timeout(1);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~lying_entry() {
    server_.stop();
    thread_.join();
  }
  std::uint16_t port() const { return port_; }

 private:
  httplib::Server server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

load_plan OneRequest() {
  load_plan plan;
  plan.classes = {ParseLoadClass("service=intake,idempotent=false,keys=true")};
  plan.arrivals = {{1us, 0, 0}};
  return plan;
}

TEST_CASE("The load tool catches a system that breaks its promises") {
  fakes::runner_options runner_options;
  runner_options.keep_alive = 1s;
  runner_options.threads = 8;
  fakes::runner runner(runner_options);
  const auto runner_port = static_cast<std::uint16_t>(runner.Start(0));
  const std::string host = "127.0.0.1";
  load_options options;
  options.run_id = "run";

  const auto audit_through = [&](std::vector<std::uint16_t> ports,
                                 const load_plan& plan) {
    for (const std::uint16_t port : ports) {
      options.entries.emplace_back(host, port);
    }
    load_report report(plan.classes);
    SendLoad(plan, options, &report);
    const collected_runs runs = CollectRuns({{host, runner_port}}, 5s);
    report.Audit(runs.runs, runs.read, runs.unread,
                 [](std::uint64_t number) { return NonceOf("run", number); });
    nlohmann::json figures = report.ToJson();
    figures["audit"]["done"] = figures["classes"][0]["done"];
    return figures["audit"];
  };

  SECTION("one that says 'not run' of what has run") {
    const lying_entry entry(runner_port, "not-run", "");
    const auto audit = audit_through({entry.port()}, OneRequest());
    CHECK(audit["dishonest"] == 1);
    CHECK(audit["read_runners"] == 1);
  }

  SECTION("one that hands out another caller's answer") {
    const lying_entry entry(runner_port, "done", "run-99");
    CHECK(audit_through({entry.port()}, OneRequest())["crossed"] == 1);
  }

  SECTION("one that runs a request twice") {
    load_plan twice = OneRequest();
    twice.arrivals.push_back(twice.arrivals[0]);
    const lying_entry entry(runner_port, "done", "run-0");
    const auto audit = audit_through({entry.port()}, twice);
    CHECK(audit["doubled"] == 1);
    CHECK(audit["crossed"] == 0);
  }

  SECTION("but has nothing against one that keeps them") {
    testing::raw_listener gone;
    const std::uint16_t gone_port = gone.port();
    gone.Close();
    const auto audit = audit_through({gone_port, runner_port}, OneRequest());
    CHECK(audit["done"] == 1);
    for (const char* fault : {"crossed", "lost", "doubled", "dishonest"}) {
      CHECK(audit[fault] == 0);
    }
  }
}

TEST_CASE("Addresses are read as HOST:PORT") {
  CHECK(ParseAddress("127.0.0.1:80") == entry_address("127.0.0.1", 80));
  for (const char* wrong : {"", ":80", "a", "a:", "a:0", "a:65536", "a:8x"}) {
    CHECK_THROWS_AS(ParseAddress(wrong), core::findings_error);
  }
}

}  // namespace
}  // namespace plantainhead::caller
