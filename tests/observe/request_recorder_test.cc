#include "plantainhead/observe/request_recorder.h"

#include <catch2/catch.hpp>

namespace plantainhead::observe {
namespace {

TEST_CASE("An entry's answers are recorded") {
  const core::time_point start{std::chrono::hours(1)};
  metrics all;
  request_recorder recorder(&all);
  core::fleet_state fleet;
  fleet.targets_version = 1;
  fleet.targets.classes.emplace_back().name = core::class_name("urgent");
  recorder.FollowTargets(fleet);
  core::request_envelope request;
  request.work = core::class_name("urgent");
  core::response answer;
  answer.result = core::outcome::kDone;

  SECTION("as metrics of their class") {
    recorder.Record(request, answer, start, start + std::chrono::seconds(2));
    const std::string text = all.ToText();
    CHECK(text.find("plantainhead_answers_total{class=\"urgent\","
                    "outcome=\"done\"} 1") != std::string::npos);
    CHECK(text.find("plantainhead_answer_seconds_sum{class=\"urgent\"} 2.0") !=
          std::string::npos);
  }

  SECTION("but not those of a class that callers made up") {
    request.work = core::class_name("made-up");
    recorder.Record(request, answer, start, start);
    CHECK(all.ToText().empty());
  }
}

}  // namespace
}  // namespace plantainhead::observe
