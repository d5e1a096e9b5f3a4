#include <malloc.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/jobs/scheduler_driver.h"

namespace plantainhead::core::jobs {
namespace {

constexpr std::uint32_t kMaxTasks = 10000;

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
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
  const std::size_t before = HeapBytes();

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
  CHECK(HeapBytes() - before < std::size_t{2} * 1024 * 1024);
}

}  // namespace
}  // namespace plantainhead::core::jobs
