#include "jobs/event_aggregator.h"

#include <catch2/catch.hpp>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

constexpr core::time_point kStart{std::chrono::hours(1)};

core::jobs::run_ref Run(const std::string& job,
                        std::uint32_t index,
                        const std::string& vm) {
  core::jobs::run_ref run;
  run.vm = vm;
  run.task.job = job;
  run.task.step = 3;
  run.task.index = index;
  run.run = 2;
  return run;
}

// After an outage an owner starts hundreds of tasks per second. If each had its
// own line, a log collector that keeps only the end of a log would drop the
// lines about the pool's ownership. Tasks of one step that start together are
// reported in one line, which still names each task and its VM.
TEST_CASE("Tasks that start together are reported in one line") {
  event_aggregator aggregator;

  SECTION("a single task is reported with its index and VM after the delay") {
    aggregator.AddTask(job_event::kTaskStarted, Run("a", 7, "vm-1"), {},
                       kStart);
    CHECK(aggregator.TakeDue(kStart + kAggregationDelay - milliseconds(1))
              .empty());
    CHECK(aggregator.TakeDue(kStart + kAggregationDelay) ==
          std::vector<aggregated_line>{{job_event::kTaskStarted,
                                        {{"job", "a"},
                                         {"step", "3"},
                                         {"run", "2"},
                                         {"index", "7"},
                                         {"vm", "vm-1"}}}});
    CHECK(aggregator.TakeAll().empty());
  }

  SECTION("several tasks are reported with their indices on each VM") {
    for (const std::uint32_t index : {2u, 0u, 1u, 7u}) {
      aggregator.AddTask(job_event::kTaskStarted, Run("a", index, "vm-1"), {},
                         kStart);
    }
    aggregator.AddTask(job_event::kTaskStarted, Run("a", 4, "vm-2"), {},
                       kStart + milliseconds(50));
    CHECK(aggregator.TakeAll() ==
          std::vector<aggregated_line>{{job_event::kTaskStarted,
                                        {{"job", "a"},
                                         {"step", "3"},
                                         {"run", "2"},
                                         {"count", "5"},
                                         {"tasks", "vm-1:0-2,7 vm-2:4"}}}});
  }

  SECTION(
      "different jobs, occurrences, runs, outcomes or events are not "
      "aggregated") {
    aggregator.AddTask(job_event::kTaskNotStarted, Run("a", 0, "vm-1"),
                       {{"result", "full"}}, kStart);
    aggregator.AddTask(job_event::kTaskNotStarted, Run("a", 1, "vm-1"),
                       {{"result", "unknown"}}, kStart);
    aggregator.AddTask(job_event::kTaskNotStarted, Run("b", 1, "vm-1"),
                       {{"result", "full"}}, kStart);
    aggregator.AddTask(job_event::kTaskEnded, Run("a", 0, "vm-1"),
                       {{"result", "full"}}, kStart);
    core::jobs::run_ref next = Run("a", 0, "vm-1");
    next.run = 3;
    aggregator.AddTask(job_event::kTaskNotStarted, next, {{"result", "full"}},
                       kStart);
    next.task.occurrence = 1;
    aggregator.AddTask(job_event::kTaskNotStarted, next, {{"result", "full"}},
                       kStart);
    CHECK(aggregator.TakeAll().size() == 6);
  }

  SECTION("lines are ordered by their first events") {
    aggregator.AddTask(job_event::kTaskStarted, Run("b", 0, "vm-1"), {},
                       kStart);
    aggregator.AddTask(job_event::kTaskStarted, Run("a", 0, "vm-1"), {},
                       kStart + milliseconds(60));
    aggregator.AddTask(job_event::kTaskStarted, Run("b", 1, "vm-1"), {},
                       kStart + milliseconds(90));
    const auto due = aggregator.TakeDue(kStart + kAggregationDelay);
    REQUIRE(due.size() == 1);
    CHECK(due[0].fields[0].second == "b");
    CHECK(aggregator.TakeAll().size() == 1);
  }

  SECTION("the lines about one job can be taken before the others") {
    aggregator.AddJob(job_event::kJobRead, "a", {}, kStart);
    aggregator.AddTask(job_event::kTaskStarted, Run("b", 0, "vm-1"), {},
                       kStart);
    aggregator.AddTask(job_event::kTaskEnded, Run("a", 0, "vm-1"), {}, kStart);
    const auto taken = aggregator.TakeForJob("a");
    REQUIRE(taken.size() == 2);
    CHECK(taken[0].event == job_event::kJobRead);
    CHECK(taken[1].event == job_event::kTaskEnded);
    CHECK(aggregator.TakeAll().size() == 1);
  }

  SECTION(
      "a full line is due immediately, and further events start a new line") {
    for (std::uint32_t i = 0; i < kMaxEventsPerLine + 3; ++i) {
      aggregator.AddTask(job_event::kTaskStarted, Run("a", 2 * i, "vm-1"), {},
                         kStart);
    }
    const auto full = aggregator.TakeDue(kStart);
    REQUIRE(full.size() == 1);
    CHECK(full[0].fields[3] == std::pair<std::string, std::string>(
                                   "count", std::to_string(kMaxEventsPerLine)));
    const auto rest = aggregator.TakeAll();
    REQUIRE(rest.size() == 1);
    CHECK(rest[0].fields[3].second == "3");
  }
}

TEST_CASE(
    "VMs or jobs with the same event and fields are reported in one line") {
  event_aggregator aggregator;
  aggregator.AddVm(job_event::kVmVacated, "vm-2", {{"reason", "service"}},
                   kStart);
  aggregator.AddVm(job_event::kVmVacated, "vm-1", {{"reason", "service"}},
                   kStart);
  aggregator.AddVm(job_event::kVmVacated, "vm-3", {{"reason", "not needed"}},
                   kStart);
  aggregator.AddJob(job_event::kJobRead, "a", {{"partition", "4"}}, kStart);
  aggregator.AddJob(job_event::kJobRead, "b", {{"partition", "4"}}, kStart);
  aggregator.AddJob(job_event::kJobRead, "c", {{"partition", "5"}}, kStart);
  CHECK(aggregator.TakeAll() ==
        std::vector<aggregated_line>{
            {job_event::kVmVacated,
             {{"reason", "service"}, {"count", "2"}, {"vms", "vm-1 vm-2"}}},
            {job_event::kVmVacated, {{"reason", "not needed"}, {"vm", "vm-3"}}},
            {job_event::kJobRead,
             {{"partition", "4"}, {"count", "2"}, {"jobs", "a b"}}},
            {job_event::kJobRead, {{"partition", "5"}, {"job", "c"}}}});
}

}  // namespace
}  // namespace plantainhead::jobs
