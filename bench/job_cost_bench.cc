// Measures what an accepted job costs the owner of its pool: memory and the
// time of a planning pass by the tasks that it asks for, and the size of its
// record by the tasks that have ended.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/record_codec.h"
#include "plantainhead/core/jobs/pool_scheduler.h"

namespace {

namespace jobs = plantainhead::core::jobs;
using plantainhead::core::time_point;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kPlans = 20;
constexpr int kVms = 9;

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// The shape of one job.
struct job_shape {
  const char* name = "";
  int jobs = 1;
  std::uint32_t steps = 1;
  std::uint32_t tasks = 10;
  /// How many of the steps before it a step depends on.
  std::uint32_t dependencies = 1;
  std::uint32_t occurrences = 1;
};

std::shared_ptr<const jobs::job_spec> MakeJob(const job_shape& shape,
                                              const std::string& id) {
  auto spec = std::make_shared<jobs::job_spec>();
  spec->id = id;
  spec->queue = "queue";
  spec->pool = "pool";
  for (std::uint32_t i = 0; i < shape.steps; ++i) {
    jobs::step_spec step;
    step.task_count = shape.tasks;
    step.need = {1000, 100, 0};
    step.estimate = milliseconds(300);
    for (std::uint32_t j = 1; j <= shape.dependencies && j <= i; ++j) {
      step.depends_on.push_back(i - j);
    }
    spec->steps.push_back(step);
  }
  if (shape.occurrences > 1) {
    spec->schedule =
        jobs::job_schedule{time_point(), milliseconds(1), shape.occurrences};
  }
  return spec;
}

/// The VMs of a pool, on which each task ends at the next listing.
struct simulated_pool {
  simulated_pool() {
    std::vector<jobs::vm_description> registry;
    for (int i = 0; i < kVms; ++i) {
      jobs::vm_description vm;
      vm.id = "vm-" + std::to_string(i);
      vm.pool = "pool";
      vm.capacity = {16000, 64000, 0};
      registry.push_back(vm);
      running[vm.id];
    }
    scheduler.UpdateVms(registry, now);
    EndAll();
  }

  std::size_t PlanAndStart() {
    std::size_t starts = 0;
    for (const jobs::vm_order& order : scheduler.Plan(now, now)) {
      if (const auto* start = std::get_if<jobs::start_order>(&order)) {
        scheduler.OnStartAnswer(start->target, jobs::start_result::kStarted,
                                now);
        running[start->target.vm].push_back(start->target);
        ++starts;
      }
    }
    return starts;
  }

  void EndAll() {
    now += milliseconds(10);
    for (auto& [id, runs] : running) {
      jobs::run_listing listing;
      listing.vm_clock = now.time_since_epoch();
      for (const jobs::run_ref& run : runs) {
        listing.ended.push_back(
            {++ends[id], run.task, run.run, jobs::end_kind::kDone, ""});
      }
      runs.clear();
      scheduler.OnListing(id, now, listing, now);
    }
    while (const auto batch = scheduler.TakeBatch()) {
      for (const auto& [id, progress] : batch->jobs) {
        record_bytes = plantainhead::jobs::Encode(
                           plantainhead::jobs::progress_record{id, progress})
                           .value->size();
      }
      scheduler.OnBatchStored(*batch);
    }
  }

  jobs::pool_scheduler scheduler{jobs::scheduler_settings(),
                                 jobs::takeover_bounds()};
  time_point now{std::chrono::hours(1)};
  std::map<jobs::vm_id, std::vector<jobs::run_ref>> running;
  std::map<jobs::vm_id, std::uint64_t> ends;
  std::size_t record_bytes = 0;
};

void Measure(const job_shape& shape) {
  simulated_pool pool;
  std::vector<std::shared_ptr<const jobs::job_spec>> specs;
  for (int i = 0; i < shape.jobs; ++i) {
    specs.push_back(MakeJob(shape, "job-" + std::to_string(i)));
  }
  const std::size_t before = HeapBytes();
  for (const auto& spec : specs) {
    pool.scheduler.AddJob(spec, jobs::queue_policy(), pool.now);
  }
  // Fills the pool, so that the plans that are measured start nothing.
  while (pool.PlanAndStart() > 0) {
  }
  const std::size_t bytes = HeapBytes() - before;
  const auto began = steady_clock::now();
  for (int i = 0; i < kPlans; ++i) {
    pool.PlanAndStart();
    pool.scheduler.Load("pool", pool.now);
    pool.scheduler.Counts();
  }
  const std::chrono::duration<double, std::micro> planning =
      steady_clock::now() - began;
  const double tasks = static_cast<double>(shape.jobs) * shape.steps *
                       shape.tasks * shape.occurrences;
  std::printf(
      "%-44s %9.0f tasks: %12zu bytes, %9.3f a task, %10.1f us a plan\n",
      shape.name, tasks, bytes, static_cast<double>(bytes) / tasks,
      planning.count() / kPlans);
}

void MeasureRecord(const job_shape& shape, std::uint32_t most_ended) {
  simulated_pool pool;
  pool.scheduler.AddJob(MakeJob(shape, "job"), jobs::queue_policy(), pool.now);
  std::size_t ended = 0;
  std::size_t largest = 0;
  const auto began = steady_clock::now();
  while (ended < most_ended) {
    ended += pool.PlanAndStart();
    pool.EndAll();
    largest = std::max(largest, pool.record_bytes);
  }
  const std::chrono::duration<double, std::micro> time =
      steady_clock::now() - began;
  std::printf(
      "%-44s %9zu tasks ended: largest record %8zu bytes, %.1f us a task\n",
      shape.name, ended, largest, time.count() / static_cast<double>(ended));
}

}  // namespace

int main() {
  Measure({"one step", 1, 1, 10, 1, 1});
  Measure({"one step", 1, 1, 10000, 1, 1});
  Measure({"240 steps in a row", 1, 240, 10000, 1, 1});
  Measure({"240 jobs of one step", 240, 1, 10000, 1, 1});
  Measure({"25 independent steps", 1, 25, 10000, 0, 1});
  Measure({"1,000,000 occurrences that are due", 1, 1, 10, 1, 1000000});
  Measure({"60 jobs of 330 steps that need all before", 60, 330, 1, 330, 1});
  Measure({"100 jobs of 6,000 steps in a row", 100, 6000, 1, 1, 1});
  Measure({"100 jobs of 6,000 independent steps", 100, 6000, 1, 0, 1});
  MeasureRecord({"one step", 1, 1, 1000, 1, 1}, 900);
  MeasureRecord({"25 independent steps", 1, 25, 10000, 0, 1}, 17000);
  return 0;
}
