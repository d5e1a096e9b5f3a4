#include "plantainhead/operators/routes.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "operators/operator_fixture.h"

namespace plantainhead::operators {
namespace {

using nlohmann::json;

TEST_CASE("An operator publishes targets to an entry") {
  operator_fixture entry;

  SECTION("and learns the offset and the version that are in force") {
    const auto answer = entry.Ask("PUT", "/v1/targets", kSmallTargets,
                                  {{"plantain-author", "lee"}});

    CHECK(answer.status == 200);
    CHECK(json::parse(answer.body) == json{{"offset", 91}, {"version", 5}});
    REQUIRE(entry.commands.size() == 1);
    const auto& record =
        std::get<core::publish_configuration>(entry.commands[0]);
    CHECK(record.expected == 4);
    CHECK(entry.authors[0] == "lee");
  }

  SECTION("that have mistakes, and no record is written") {
    const auto answer =
        entry.Ask("PUT", "/v1/targets", "version: 1\nservies: []\nx: 1\n");

    CHECK(answer.status == 400);
    const json findings = json::parse(answer.body)["findings"];
    REQUIRE(findings.size() == 2);
    CHECK(findings[0]["line"] == 2);
    CHECK(findings[1]["line"] == 3);
    CHECK(entry.commands.empty());
  }

  SECTION("with a version that is not a number") {
    CHECK(entry
              .Ask("PUT", "/v1/targets", kSmallTargets,
                   {{"plantain-expected-version", "newest"}})
              .status == 400);
    CHECK(entry.commands.empty());
  }

  // Two operators publish at once. Both have read version 4; the other one's
  // record comes first in the log. This one must see a conflict and whose
  // targets are in force, not a silent overwrite.
  SECTION("after another operator did, and is told of the conflict") {
    entry.end = {0, core::command_result::kConflict, 0, "version 5 by kim"};
    entry.state.targets_version = 5;
    const auto answer = entry.Ask("PUT", "/v1/targets", kSmallTargets,
                                  {{"plantain-expected-version", "4"}});

    CHECK(answer.status == 409);
    const json body = json::parse(answer.body);
    CHECK(body["in_force"]["version"] == 5);
    CHECK(body["in_force"]["author"] == "kim");
    CHECK(std::get<core::publish_configuration>(entry.commands[0]).expected ==
          4);
  }

  // The platform's log is out. The append may still take effect, so the
  // operator must read neither "done" nor "refused", and when to come back.
  SECTION("while the log is out") {
    entry.end = {0, core::command_result::kUnknown, 0, "log unavailable"};
    const auto answer = entry.Ask("PUT", "/v1/targets", kSmallTargets);

    CHECK(answer.status == 503);
    CHECK(answer.headers.at("Retry-After") == "2");
  }

  // The decisions never end the command. The HTTP thread must come free all the
  // same; otherwise a burst of commands would leave none for callers.
  SECTION("whose end never comes") {
    entry.silent = true;
    CHECK(entry.Ask("PUT", "/v1/targets", kSmallTargets).status == 503);
  }
}

TEST_CASE("An operator drives a maintenance wave") {
  operator_fixture entry;

  SECTION("that starts") {
    const auto answer = entry.Ask(
        "POST", "/v1/waves",
        R"({"wave":"w1","pools":["intake"],"finish_by":"2030-01-01T00:00:00Z"})");

    CHECK(answer.status == 200);
    const auto& record = std::get<core::start_wave>(entry.commands.at(0));
    CHECK(record.finish_by.time_since_epoch() ==
          std::chrono::seconds(1893456000));
  }

  SECTION("whose order has four mistakes, all told") {
    const auto answer = entry.Ask(
        "POST", "/v1/waves",
        R"({"wave":"a/b","pools":["intake","x"],"finish_by":"now","y":1})");

    CHECK(answer.status == 400);
    CHECK(json::parse(answer.body)["findings"].size() == 4);
    CHECK(entry.commands.empty());
  }

  SECTION("that is paused, at the version that the entry has seen") {
    core::fleet_wave& wave = entry.state.waves[core::wave_id("w1")];
    wave.version = 7;
    CHECK(entry.Ask("POST", "/v1/waves/w1/pause", R"({"reason":"storm"})")
              .status == 200);

    const auto& record = std::get<core::set_wave_state>(entry.commands.at(0));
    CHECK(record.expected == 7);
    CHECK(record.epoch == 0);
    CHECK(record.state == core::wave_state::kPaused);
    CHECK(record.reason == "storm (operator)");
  }

  SECTION("that nobody started") {
    CHECK(entry.Ask("POST", "/v1/waves/w2/cancel").status == 404);
    CHECK(entry.commands.empty());
  }
}

TEST_CASE("An operator submits and cancels a job") {
  operator_fixture entry;

  SECTION("whose figures are read") {
    const auto answer = entry.Ask("POST", "/v1/jobs",
                                  R"({"job":"j1","pool":"intake",
            "processors":4,"declared_run_time":"2h","urgent":true})");

    CHECK(answer.status == 200);
    const core::job_requirements& spec =
        std::get<core::submit_job>(entry.commands.at(0)).spec;
    CHECK(spec.processors == 4);
    CHECK(spec.declared_run_time == std::chrono::hours(2));
    CHECK(spec.urgent);
  }

  SECTION("that another operator has just changed") {
    entry.state.jobs[core::job_id("j1")].version = 2;
    entry.end = {0, core::command_result::kConflict, 0, "version 3"};
    const auto answer = entry.Ask("POST", "/v1/jobs/j1/cancel");

    CHECK(answer.status == 409);
    CHECK(json::parse(answer.body)["in_force"]["job"] == "j1");
  }
}

TEST_CASE("An operator looks at an entry") {
  operator_fixture entry;

  SECTION("and sees its status") {
    const json status = json::parse(entry.Ask("GET", "/v1/status").body);
    CHECK(status["incarnation"] == "0000000000000abc");
    CHECK(status["targets"]["offset"] == 70);
    CHECK(status["offset"] == 90);
  }

  SECTION("and every listing is JSON, also with names that are not UTF-8") {
    entry.state.vms[core::vm_id("vm-\xff")].pool = core::pool_id("intake");
    for (const char* path : {"/v1/targets", "/v1/state", "/v1/waves", "/v1/vms",
                             "/v1/pools", "/v1/jobs"}) {
      const auto answer = entry.Ask("GET", path);
      CHECK(answer.status == 200);
      CHECK(json::accept(answer.body));
    }
  }

  SECTION("that is alive but not ready for callers") {
    entry.ready = false;
    CHECK(entry.Ask("GET", "/healthz").status == 200);
    const auto answer = entry.Ask("GET", "/readyz");
    CHECK(answer.status == 503);
    CHECK(json::parse(answer.body)["reason"] == "catching up");
  }
}

TEST_CASE("An operator reads the burn report and the metrics") {
  operator_fixture entry;
  const auto ask = [&](const std::string& format) {
    return entry.Ask({"GET", "/v1/burn", {{"format", format}}, {}, ""});
  };
  const json report = json::parse(entry.Ask("GET", "/v1/burn").body);
  CHECK(report["classes"][0]["class"] == "urgent");
  CHECK(ask("html").body.find("<svg") != std::string::npos);
  CHECK(ask("text").body.find("urgent") != std::string::npos);
  CHECK(ask("png").status == 400);

  observe::metrics all;
  all.Counter("x_total", "X.").Add();
  const caller::route metrics = MakeMetricsRoutes(&all).at(0);
  CHECK(metrics.handle({}).body == all.ToText());
}

}  // namespace
}  // namespace plantainhead::operators
