#include "caller/load_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>

namespace plantainhead::caller {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A class of load is read from its parts") {
  const load_class read = ParseLoadClass(
      "service=intake,class=urgent,rate=50,deadline=800ms,idempotent=false,"
      "keys=true,method=PUT,path=/a,body=10,repeat=0.5");
  CHECK(read.service == "intake");
  CHECK(read.name == "urgent");
  CHECK(read.rate == 50);
  CHECK(read.deadline == 800ms);
  CHECK_FALSE(read.idempotent);
  CHECK(read.keys);
  CHECK(read.repeat == 0.5);
  CHECK(ParseLoadClass("service=intake,deadline=2s").deadline == 2s);

  SECTION("and all that is wrong is told at once") {
    try {
      ParseLoadClass("rate=-1,deadline=2h,color=red,repeat=0.1");
      FAIL("a wrong class was read");
    } catch (const core::findings_error& error) {
      CHECK(error.findings().size() == 5);
    }
    CHECK_THROWS_AS(ParseLoadClass("service"), core::findings_error);
  }
}

TEST_CASE("Arrivals are drawn from a seed") {
  const std::vector<load_class> classes = {
      ParseLoadClass("service=intake,rate=200,keys=true,repeat=0.25"),
      ParseLoadClass("service=routing,rate=100")};
  const load_plan plan = DrawPlan(classes, 20s, 7);

  SECTION("the same for the same seed, others for another") {
    CHECK(plan == DrawPlan(classes, 20s, 7));
    CHECK_FALSE(plan == DrawPlan(classes, 20s, 8));
  }

  SECTION("in order, within the time, about as many as the rates ask for") {
    const auto& all = plan.arrivals;
    CHECK(std::is_sorted(
        all.begin(), all.end(),
        [](const arrival& a, const arrival& b) { return a.at < b.at; }));
    CHECK(all.back().at < 20s);
    const auto of_second =
        std::count_if(all.begin(), all.end(),
                      [](const arrival& item) { return item.kind == 1; });
    // 2000 expected; 5 standard deviations are 224.
    CHECK(std::abs(of_second - 2000) < 224);
  }

  SECTION("and those sent twice have one number, of one class") {
    std::size_t twins = 0;
    for (std::size_t i = 1; i < plan.arrivals.size(); ++i) {
      if (plan.arrivals[i].number == plan.arrivals[i - 1].number) {
        ++twins;
        CHECK(plan.arrivals[i] == plan.arrivals[i - 1]);
        CHECK(plan.arrivals[i].kind == 0);
      }
    }
    // About a quarter of about 4000.
    CHECK(twins > 800);
    CHECK(twins < 1200);
  }

  SECTION("and a trace brings them back") {
    std::stringstream trace;
    WriteTrace(plan, trace);
    CHECK(ReadTrace(trace, "trace") == plan);

    std::stringstream broken("{\"classes\":[]}\n{\"at_us\":1}\n");
    CHECK_THROWS_AS(ReadTrace(broken, "trace"), core::findings_error);
    std::stringstream stray(
        "{\"classes\":[]}\n{\"at_us\":1,\"class\":0,\"number\":0}\n");
    CHECK_THROWS_AS(ReadTrace(stray, "trace"), core::findings_error);
  }
}

}  // namespace
}  // namespace plantainhead::caller
