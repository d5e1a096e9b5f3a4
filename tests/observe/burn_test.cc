#include "plantainhead/observe/burn.h"

#include <catch2/catch.hpp>
#include <string>

#include "plantainhead/observe/burn_formats.h"

namespace plantainhead::observe {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const core::class_name kUrgent("urgent");
constexpr core::duration kMonth = hours(720);
const core::time_point kNoon{hours(24 * 20'000 + 12)};
constexpr counted_request kServed{};
constexpr counted_request kLost{service_result::kUnserved,
                                burn_cause::kFailure};
constexpr counted_request kLate{service_result::kLate, burn_cause::kWave};

core::configuration Targets(core::duration window = hours(720)) {
  core::configuration targets;
  core::work_class urgent;
  urgent.name = kUrgent;
  urgent.served = 0.9;
  urgent.unavailability = 0.01;
  urgent.within = seconds(1);
  urgent.window = window;
  targets.classes.push_back(urgent);
  return targets;
}

void CountMany(burn_counter* counter,
               const counted_request& request,
               int times,
               core::time_point now) {
  for (int i = 0; i < times; ++i) {
    counter->Count(kUrgent, request, now);
  }
}

TEST_CASE("An answer is judged by its class's target") {
  core::response answer;
  answer.result = core::outcome::kDone;
  answer.status = 200;
  const auto judge = [&](core::duration elapsed, bool wave) {
    return JudgeAnswer(answer, elapsed, seconds(1), wave);
  };

  SECTION("in time or late") {
    CHECK(judge(seconds(1), false)->result == service_result::kInTime);
    CHECK(judge(seconds(2), false) ==
          counted_request{service_result::kLate, burn_cause::kOverload});
    CHECK(judge(seconds(2), true)->cause == burn_cause::kWave);
  }

  SECTION("failed at the endpoint") {
    answer.status = 500;
    CHECK(judge(seconds(0), true) == kLost);
  }

  SECTION("refused by plantainhead") {
    answer.result = core::outcome::kNotRun;
    answer.reason = core::answer_reason::kOverload;
    CHECK(judge(seconds(0), false)->cause == burn_cause::kOverload);
    CHECK(judge(seconds(0), true)->cause == burn_cause::kWave);
    answer.reason = core::answer_reason::kLogUnavailable;
    CHECK(judge(seconds(0), true)->cause == burn_cause::kFailure);
  }

  SECTION("or left out when nobody could have served it") {
    answer.result = core::outcome::kNotRun;
    answer.reason = core::answer_reason::kBadDeadline;
    CHECK_FALSE(judge(seconds(0), false).has_value());
  }
}

TEST_CASE("A class burns its budget") {
  burn_counter counter(kNoon - kMonth);
  counter.SetTargets(Targets());

  SECTION("not at all while nobody asks") {
    const budget_use use = UseOf(counter.Report(kNoon).classes.at(0),
                                 burn_target::kInTime, kMonth);
    CHECK(use.left == 1);
    CHECK_FALSE(use.exhausted_in.has_value());
  }

  SECTION("at the rate that its target allows") {
    CountMany(&counter, kServed, 90, kNoon);
    CountMany(&counter, kLate, 10, kNoon);
    const class_report report = counter.Report(kNoon).classes.at(0);

    const budget_use in_time = UseOf(report, burn_target::kInTime, kMonth);
    CHECK(in_time.failed == Approx(0.1));
    CHECK(in_time.rates.at(1) == Approx(1));
    CHECK(in_time.left == Approx(0).margin(1e-9));
    // Late answers are answers: the other budget is untouched.
    CHECK(UseOf(report, burn_target::kAvailable, kMonth).left == 1);
    CHECK(report.windows.back().counts.causes.at(burn_cause::kWave) == 10);
  }

  SECTION("and the time until it is used up follows from the last hour") {
    CountMany(&counter, kServed, 300, kNoon - hours(7));
    CountMany(&counter, kServed, 98, kNoon);
    CountMany(&counter, kLost, 2, kNoon);
    const class_report report = counter.Report(kNoon).classes.at(0);
    const budget_use use = UseOf(report, burn_target::kAvailable, kMonth);
    CHECK(use.left == Approx(0.5));
    CHECK(use.rates.at(1) == Approx(2));
    CHECK(*use.exhausted_in == hours(180));
    // 2% late or lost is well within the 10% that the other target allows.
    CHECK_FALSE(
        UseOf(report, burn_target::kInTime, kMonth).exhausted_in.has_value());
  }

  // An entry has just been replaced and its first request fails. A month's
  // budget isn't gone with that.
  SECTION("of which the start of the counting knows only a part") {
    CountMany(&counter, kLost, 1, kNoon);
    const class_report report = counter.Report(kNoon).classes.at(0);
    const budget_use use = UseOf(report, burn_target::kAvailable, hours(1));
    CHECK(use.left == Approx(1 - 100.0 / 720));
    CHECK(use.rates.at(0) == Approx(100));
  }

  SECTION("and forgets it window by window") {
    CountMany(&counter, kLost, 1, kNoon);
    const auto missed = [&](core::duration later, std::size_t window) {
      const burn_report report = counter.Report(kNoon + later);
      return report.classes.at(0).windows.at(window).counts.missed();
    };
    CHECK(missed(minutes(4), 0) == 1);
    CHECK(missed(minutes(5), 0) == 0);
    CHECK(missed(minutes(5), 1) == 1);
    CHECK(missed(hours(1), 1) == 0);
    CHECK(missed(hours(6), 2) == 0);
    CHECK(missed(hours(6), 3) == 1);
  }

  SECTION("and keeps its counts when targets change around it") {
    CountMany(&counter, kLost, 1, kNoon);
    counter.SetTargets(Targets());
    CHECK(counter.Report(kNoon).classes.at(0).windows.at(3).counts.total == 1);
    counter.SetTargets(Targets(hours(24)));
    CHECK(counter.Report(kNoon).classes.at(0).windows.at(3).counts.total == 0);
    CHECK(counter.Report(kNoon).classes.at(0).windows.at(0).counts.total == 1);
    counter.SetTargets({});
    CountMany(&counter, kLost, 1, kNoon);
    CHECK(counter.Report(kNoon).classes.empty());
  }
}

TEST_CASE("The reports of several entries are added up") {
  burn_counter first(kNoon);
  burn_counter second(kNoon + hours(1));
  first.SetTargets(Targets());
  second.SetTargets(Targets());
  CountMany(&first, kServed, 3, kNoon + hours(1));
  CountMany(&second, kLost, 1, kNoon + hours(1));

  const burn_report sum = MergeReports(
      {first.Report(kNoon + hours(1)), second.Report(kNoon + hours(1))});
  CHECK(sum.entries == 2);
  CHECK(sum.since == kNoon);
  CHECK(sum.classes.at(0).windows.at(0).counts.total == 4);
  CHECK(sum.classes.at(0).series.back().unserved == 1);
}

TEST_CASE("A burn report is written") {
  burn_counter counter(kNoon);
  core::configuration targets = Targets();
  targets.classes[0].name = core::class_name("a<b>");
  counter.SetTargets(targets);
  counter.Count(targets.classes[0].name, kLost, kNoon);
  const burn_report report = counter.Report(kNoon);

  SECTION("as JSON that reads back") {
    const burn_report again = ParseBurnReport(ToJson(report));
    CHECK(again.at == report.at);
    CHECK(again.classes.at(0).windows == report.classes.at(0).windows);
    CHECK(again.classes.at(0).series == report.classes.at(0).series);
    CHECK_THROWS_AS(ParseBurnReport("{}"), std::invalid_argument);
  }

  SECTION("as text") {
    const std::string text = ToText(report);
    CHECK(text.find("At 2024-10-04T12:00:00Z") == 0);
    CHECK(text.find("failure 1") != std::string::npos);
    CHECK(text.find("100x") != std::string::npos);
  }

  SECTION("as a page that fetches nothing and escapes names") {
    const std::string page = ToHtml(report);
    CHECK(page.find("a&lt;b&gt;") != std::string::npos);
    CHECK(page.find("<b>") == std::string::npos);
    CHECK(page.find("http") == std::string::npos);
    CHECK(page.find("src=") == std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
  }
}

}  // namespace
}  // namespace plantainhead::observe
