#include <malloc.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/jobs/scheduler_driver.h"
#include "plantainhead/core/jobs/job_progress.h"

namespace plantainhead::core::jobs {
namespace {

constexpr std::uint32_t kMaxTasks = 10000;

std::int64_t HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

// Returns steps of which each depends on the one before it.
std::vector<step_spec> Chain(std::size_t length, std::uint32_t tasks) {
  std::vector<step_spec> steps;
  for (std::uint32_t i = 0; i < length; ++i) {
    steps.push_back(Step(tasks));
    if (i > 0) {
      steps.back().depends_on = {i - 1};
    }
  }
  return steps;
}

/// A pool of two VMs on which each started task ends at the next listing.
struct ending_pool : scheduler_driver {
  ending_pool() { Register({Vm("vm-1"), Vm("vm-2")}); }

  /// Plans once, and ends all tasks that it started. Returns their number.
  std::size_t RunOnce(end_kind how = end_kind::kDone) {
    const std::vector<start_order> started = StartAll();
    Pass(std::chrono::milliseconds(10));
    std::map<vm_id, std::vector<ended_task>> ended;
    for (const start_order& start : started) {
      ended[start.target.vm].push_back(Ended(
          ++ends_[start.target.vm], start.target.task, start.target.run, how));
      ++runs[start.target.task];
    }
    for (const vm_id vm : {"vm-1", "vm-2"}) {
      List(vm, {}, ended[vm]);
    }
    for (const progress_batch& batch : Store()) {
      for (const auto& [id, progress] : batch.jobs) {
        recorded[id] = progress;
      }
    }
    return started.size();
  }

  /// How often each task has started.
  std::map<task_name, std::uint32_t> runs;
  /// The newest record of each job.
  std::map<job_id, job_progress> recorded;

 private:
  std::map<vm_id, std::uint64_t> ends_;
};

// Guards against owners that exceed their memory for a job of 2,400,000 tasks.
TEST_CASE("The memory of a job does not grow with its tasks") {
  ending_pool pool;
  const std::int64_t before = HeapBytes();

  SECTION("in a chain of wide steps") {
    pool.Add(Job("wide", Chain(240, kMaxTasks)));
  }

  SECTION("in independent wide steps") {
    pool.Add(Job("wide", std::vector<step_spec>(240, Step(kMaxTasks))));
  }

  SECTION("in many jobs of one wide step") {
    for (int i = 0; i < 240; ++i) {
      pool.Add(Job("wide-" + std::to_string(i), {Step(kMaxTasks)}));
    }
  }

  SECTION("in a million occurrences that are due already") {
    const auto job = std::make_shared<job_spec>(*Job("wide", {Step(10)}));
    job->schedule =
        job_schedule{time_point(), std::chrono::milliseconds(1), 1000000};
    pool.Add(job);
  }

  CHECK(pool.RunOnce() == 16);
  CHECK(pool.RunOnce() == 16);
  CHECK(HeapBytes() - before < std::int64_t{2} * 1024 * 1024);
}

// Guards against tasks that run again, or never, because a new owner reads a
// record whose tasks are listed as ranges.
TEST_CASE("A new owner continues a job whose progress is recorded in ranges") {
  std::vector<step_spec> steps = Chain(4, 4000);
  steps[2].depends_on = {0};
  const auto job = std::make_shared<job_spec>(*Job("wide", steps));
  std::uint32_t expected = 16000;

  SECTION("of a job that runs once") {}

  SECTION("of a job with a schedule") {
    for (step_spec& step : job->steps) {
      step.task_count = 40;
    }
    job->schedule =
        job_schedule{time_point(), std::chrono::milliseconds(1), 100};
  }

  std::map<task_name, std::uint32_t> runs;
  job_progress recorded;
  std::size_t ranges = 0;
  for (int owner = 0; owner < 8 && !IsFinal(recorded.phase); ++owner) {
    ending_pool pool;
    pool.Add(job);
    pool.scheduler.RestoreJob("wide", recorded);
    for (int round = 0; round < 150; ++round) {
      pool.RunOnce();
    }
    recorded = pool.recorded.at("wide");
    ranges += recorded.done.IsEmpty() ? 0 : 1;
    for (const auto& [task, count] : pool.runs) {
      runs[task] += count;
    }
  }
  CHECK(recorded.phase == job_phase::kCompleted);
  CHECK(ranges > 0);
  CHECK(runs.size() == expected);
  CHECK(std::all_of(runs.begin(), runs.end(),
                    [](const auto& task) { return task.second == 1; }));
}

// Guards against jobs that stop their pool because each failure of a task that
// lasts makes their record larger.
TEST_CASE("Failures of a long-running task do not enlarge its record") {
  ending_pool pool;
  step_spec step = Step(1);
  step.long_running = true;
  pool.Add(Job("lasting", {step}));
  const auto run_failing = [&pool](int times) {
    for (int i = 0; i < times; ++i) {
      pool.RunOnce(end_kind::kFailed);
      pool.Pass(std::chrono::seconds(5));
      pool.List("vm-1", {}, {});
      pool.List("vm-2", {}, {});
    }
    return RecordBytes(pool.recorded.at("lasting").tasks.at(0));
  };
  const std::size_t few = run_failing(10);
  CHECK(run_failing(80) == few);
  CHECK(pool.runs.begin()->second > 50);
}

// Guards against a job whose later steps never start because the steps before
// them, which no VM can run, are always visited first.
TEST_CASE("A step that can be placed starts behind many that cannot") {
  ending_pool pool;
  std::vector<step_spec> steps(2000, Step(1));
  for (step_spec& step : steps) {
    step.required_label = "unknown";
  }
  steps.back().required_label = "";
  pool.Add(Job("wide", steps));
  std::size_t started = 0;
  for (int plan = 0; plan < 10; ++plan) {
    started += pool.RunOnce();
  }
  CHECK(started == 1);
  CHECK(pool.scheduler.Counts().visited_steps <= 10 * 256);
}

// Guards against a schedule that stands still because a step of its first
// occurrences can run on no VM.
TEST_CASE("Occurrences open while a later step of others waits for a VM") {
  ending_pool pool;
  std::vector<step_spec> steps = Chain(2, 1);
  steps[1].required_label = "unknown";
  const auto job = std::make_shared<job_spec>(*Job("repeated", steps));
  job->schedule =
      job_schedule{time_point(), std::chrono::milliseconds(1), 1000};
  pool.Add(job);
  for (int plan = 0; plan < 100; ++plan) {
    pool.RunOnce();
  }
  CHECK(pool.runs.size() == 1000);
}

// Guards against a job whose tasks, once they have run, do not fit into its
// record, although each of them may have to be recorded.
TEST_CASE("A job starts no more tasks than its record can hold") {
  ending_pool pool;
  step_spec step = Step(kMaxTasks, 0);
  step.need = resources();
  pool.Add(Job("wide", std::vector<step_spec>(3, step)), Policy(5));
  std::map<vm_id, std::vector<ended_task>> ended;
  std::size_t started = 0;
  for (int plan = 0; plan < 400; ++plan) {
    for (const start_order& start : pool.StartAll()) {
      std::vector<ended_task>& ends = ended[start.target.vm];
      ends.push_back(Ended(ends.size() + 1, start.target.task, start.target.run,
                           end_kind::kDone));
      ++started;
    }
  }
  const scheduler_counts counts = pool.scheduler.Counts();
  CHECK(counts.placed_tasks == started);
  CHECK(counts.waiting_tasks == 3 * kMaxTasks - started);
  CHECK(started <= 5000);
  CHECK(counts.full_jobs == 1);

  SECTION("and starts others when these are done") {
    for (const vm_id vm : {"vm-1", "vm-2"}) {
      pool.List(vm, {}, ended[vm]);
    }
    pool.Store();
    CHECK(pool.scheduler.Counts().full_jobs == 0);
    CHECK_FALSE(pool.StartAll().empty());
  }
}

// Guards against owners that exceed their memory for jobs that have ended.
TEST_CASE("The memory of a job is released after its end") {
  ending_pool pool;
  const std::int64_t before = HeapBytes();
  for (int i = 0; i < 20; ++i) {
    const std::string id = "long-" + std::to_string(i);
    pool.Add(Job(id, Chain(3000, 1)));
    pool.RunOnce();
    REQUIRE(pool.scheduler.CancelJob(id));
    pool.RunOnce();
  }
  CHECK(HeapBytes() - before > std::int64_t{8} * 1024 * 1024);
  pool.Pass(std::chrono::seconds(31));
  pool.RunOnce();
  CHECK(HeapBytes() - before < std::int64_t{1} * 1024 * 1024);

  SECTION("and a job that has ended does not start again") {
    pool.Add(Job("long-1", Chain(1, 1)));
    CHECK(pool.StartAll().empty());
  }
}

// Guards against owners that exceed their memory for tasks that need no
// resources, all of which fit on the VMs of a pool.
TEST_CASE("A pool runs a limited number of tasks at the same time") {
  ending_pool pool;
  step_spec step = Step(kMaxTasks);
  step.need = resources();
  for (int i = 0; i < 20; ++i) {
    pool.Add(Job("wide-" + std::to_string(i), {step}));
  }
  for (int plan = 0; plan < 400; ++plan) {
    pool.StartAll();
  }
  const std::size_t placed = pool.scheduler.Counts().placed_tasks;
  CHECK(placed == scheduler_settings().max_runs);
}

// Guards against plans that try each gang on each VM, although the pool has not
// enough room for any of them.
TEST_CASE("A gang that the pool cannot hold takes no search") {
  ending_pool pool;
  step_spec step = Step(3000);
  step.gang = true;
  for (int i = 0; i < 50; ++i) {
    pool.Add(Job("gang-" + std::to_string(i), {step}));
  }
  const std::uint64_t before = pool.scheduler.Counts().visited_vms;
  CHECK(pool.StartAll().empty());
  CHECK(pool.scheduler.Counts().visited_vms - before < 10);
}

}  // namespace
}  // namespace plantainhead::core::jobs
