// Measures the decisions of a pool's scheduler: how long a plan takes, and all
// that a task costs from its start to its recorded end, at several sizes.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "plantainhead/core/jobs/pool_scheduler.h"

namespace {

namespace jobs = plantainhead::core::jobs;
using plantainhead::core::time_point;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kRounds = 200;
constexpr int kRoundsOfTask = 10;
constexpr int kTasksOfJob = 8;
constexpr int kCoresOfVm = 16;
constexpr milliseconds kRound = milliseconds(100);

struct simulated_vm {
  jobs::vm_description description;
  /// The round in which each running task ends.
  std::vector<std::pair<int, jobs::running_task>> running;
  std::uint64_t last_end = 0;
};

std::shared_ptr<const jobs::job_spec> MakeJob(int number) {
  auto spec = std::make_shared<jobs::job_spec>();
  spec->id = "job-" + std::to_string(number);
  spec->queue = "queue";
  spec->pool = "pool";
  jobs::step_spec step;
  step.task_count = kTasksOfJob;
  step.need = {1000, 1000, 0};
  step.estimate = kRoundsOfTask * kRound;
  spec->steps = {step};
  return spec;
}

jobs::run_listing MakeListing(simulated_vm* vm, int round, time_point now) {
  jobs::run_listing listing;
  listing.vm_clock = now.time_since_epoch();
  std::erase_if(vm->running, [&](const auto& entry) {
    if (entry.first > round) {
      listing.running.push_back(entry.second);
      return false;
    }
    listing.ended.push_back({++vm->last_end, entry.second.task,
                             entry.second.run, jobs::end_kind::kDone, ""});
    return true;
  });
  return listing;
}

// In each round as much is asked for as ends in it when the pool is full.
void Measure(int vm_count) {
  jobs::pool_scheduler scheduler{jobs::scheduler_settings(),
                                 jobs::takeover_bounds()};
  time_point now{std::chrono::hours(1)};
  std::map<jobs::vm_id, simulated_vm> vms;
  std::vector<jobs::vm_description> registry;
  for (int i = 0; i < vm_count; ++i) {
    jobs::vm_description vm;
    vm.id = "vm-" + std::to_string(i);
    vm.pool = "pool";
    vm.capacity = {kCoresOfVm * 1000, 64000, 0};
    vms[vm.id].description = vm;
    registry.push_back(vm);
  }
  scheduler.UpdateVms(registry, now);
  const auto list_and_store = [&](int round) {
    for (auto& [id, vm] : vms) {
      scheduler.OnListing(id, now, MakeListing(&vm, round, now), now);
    }
    while (const auto batch = scheduler.TakeBatch()) {
      scheduler.OnBatchStored(*batch);
    }
  };
  list_and_store(0);
  std::uint64_t starts = 0;
  int job_count = 0;
  steady_clock::duration planning{};
  const auto began = steady_clock::now();
  for (int round = 1; round <= kRounds; ++round) {
    now += kRound;
    const int arriving = vm_count * kCoresOfVm / kRoundsOfTask / kTasksOfJob;
    for (int i = 0; i < arriving; ++i) {
      scheduler.AddJob(MakeJob(job_count++), jobs::queue_policy(), now);
    }
    const auto plan_began = steady_clock::now();
    const auto orders = scheduler.Plan(now, now);
    planning += steady_clock::now() - plan_began;
    for (const jobs::vm_order& order : orders) {
      const auto* start = std::get_if<jobs::start_order>(&order);
      if (start == nullptr) {
        continue;
      }
      ++starts;
      scheduler.OnStartAnswer(start->target, jobs::start_result::kStarted, now);
      vms[start->target.vm].running.emplace_back(
          round + kRoundsOfTask,
          jobs::running_task{start->target.task, start->target.run, "",
                             static_cast<std::uint32_t>(round), 0});
    }
    list_and_store(round);
  }
  const std::chrono::duration<double> all = steady_clock::now() - began;
  const std::chrono::duration<double> plan = planning;
  std::printf("%4d VMs: %7.0f tasks/s, %5.1f us a task, %6.2f ms a plan\n",
              vm_count, static_cast<double>(starts) / all.count(),
              all.count() * 1e6 / static_cast<double>(starts),
              plan.count() * 1e3 / kRounds);
}

}  // namespace

int main() {
  for (const int vm_count : {12, 50, 350, 520}) {
    Measure(vm_count);
  }
  return 0;
}
