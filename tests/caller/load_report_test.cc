#include "caller/load_report.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "caller/latency_histogram.h"

namespace plantainhead::caller {
namespace {

using namespace std::chrono_literals;

load_result Result(std::uint64_t number, load_outcome how) {
  load_result result;
  result.number = number;
  result.how = how;
  result.status = how == load_outcome::kDone ? 200 : 503;
  result.took = 10ms;
  return result;
}

std::string Plain(std::uint64_t number) {
  return std::to_string(number);
}

TEST_CASE("A report counts how requests ended") {
  load_report report(
      {ParseLoadClass("service=intake,class=urgent,deadline=50ms,"
                      "idempotent=false")});
  report.Add(Result(1, load_outcome::kDone));
  load_result late = Result(2, load_outcome::kDone);
  late.took = 60ms;
  report.Add(late);
  load_result refused = Result(3, load_outcome::kNotRun);
  refused.reason = "overload";
  report.Add(refused);
  report.Add(Result(4, load_outcome::kUnknown));
  report.Add(Result(5, load_outcome::kConnectionFailed));
  report.Add(Result(6, load_outcome::kNotSent));

  SECTION("by class") {
    const auto figures = report.ToJson()["classes"][0];
    CHECK(figures["sent"] == 5);
    CHECK(figures["done"] == 2);
    CHECK(figures["in_time"] == 1);
    CHECK(figures["not_run"] == 1);
    CHECK(figures["reasons"]["overload"] == 1);
    CHECK(figures["unknown"] == 1);
    CHECK(figures["failed"] == 1);
    CHECK(figures["not_sent"] == 1);
    CHECK(figures["max_ms"] == 60.0);
    CHECK(ToText(report.ToJson()).find("intake/urgent") != std::string::npos);
    CHECK(report.IsClean());
  }

  SECTION("and is not clean when an answer was lost or somebody else's") {
    SECTION("lost") {
      report.Add(Result(7, load_outcome::kLost));
    }
    SECTION("crossed") {
      load_result crossed = Result(7, load_outcome::kDone);
      crossed.crossed = true;
      report.Add(crossed);
    }
    CHECK_FALSE(report.IsClean());
  }

  SECTION("and compares them with what ran") {
    const auto audit = [&](const run_counts& runs, std::uint64_t unread = 0) {
      report.Audit(runs, 1, unread, Plain);
      return report.ToJson()["audit"];
    };
    const run_counts honest = {{"1", 1}, {"2", 1}, {"4", 1}};
    CHECK(audit(honest)["doubled"] == 0);
    CHECK(audit(honest)["dishonest"] == 0);
    CHECK(audit(honest)["unfounded"] == 0);
    CHECK(report.IsClean());

    SECTION("a request that isn't idempotent ran twice") {
      CHECK(audit({{"1", 2}, {"2", 1}})["doubled"] == 1);
      CHECK_FALSE(report.IsClean());
    }
    SECTION("a request that was answered 'not run' ran") {
      CHECK(audit({{"1", 1}, {"2", 1}, {"3", 1}})["dishonest"] == 1);
      CHECK_FALSE(report.IsClean());
    }
    SECTION("but not when it was sent twice and only one was refused") {
      report.Add(Result(3, load_outcome::kDone));
      CHECK(audit({{"1", 1}, {"2", 1}, {"3", 1}})["dishonest"] == 0);
    }
    SECTION("an answer came from no run that is known") {
      CHECK(audit({{"1", 1}})["unfounded"] == 1);
      CHECK(audit({{"1", 1}}, 1)["unfounded"] == 0);
    }
  }
}

TEST_CASE("An idempotent request may run twice") {
  load_report report({ParseLoadClass("service=intake,idempotent=true")});
  report.Add(Result(1, load_outcome::kDone));
  report.Audit({{"1", 2}}, 1, 0, Plain);
  CHECK(report.IsClean());
}

TEST_CASE("Quantiles are at most 4% too great") {
  latency_histogram times;
  CHECK(times.Quantile(0.5) == 0);
  for (int i = 1; i <= 1000; ++i) {
    times.Add(std::chrono::milliseconds(i));
  }
  for (const double quantile : {0.5, 0.9, 0.99}) {
    const double exact = 1000 * quantile;
    CHECK(times.Quantile(quantile) >= exact);
    CHECK(times.Quantile(quantile) <= exact * 1.04);
  }
  CHECK(times.Max() == 1000);
  CHECK(times.Quantile(1) == 1000);
}

TEST_CASE("Two reports are compared by class") {
  load_report before({ParseLoadClass("service=intake")});
  load_report after({ParseLoadClass("service=intake")});
  after.Add(Result(1, load_outcome::kDone));
  const std::string text = Compare(before.ToJson(), after.ToJson());
  CHECK(text.find("+1.0") != std::string::npos);
}

}  // namespace
}  // namespace plantainhead::caller
