#ifndef PLANTAINHEAD_TESTS_CORE_JOBS_SCHEDULER_DRIVER_H_
#define PLANTAINHEAD_TESTS_CORE_JOBS_SCHEDULER_DRIVER_H_

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "plantainhead/core/jobs/pool_scheduler.h"

namespace plantainhead::core::jobs {

inline step_spec Step(std::uint32_t tasks, std::int64_t cpu_millis = 1000) {
  step_spec step;
  step.task_count = tasks;
  step.need = {cpu_millis, 100, 0};
  step.estimate = std::chrono::milliseconds(1000);
  return step;
}

inline std::shared_ptr<const job_spec> Job(const job_id& id,
                                           std::vector<step_spec> steps) {
  auto spec = std::make_shared<job_spec>();
  spec->id = id;
  spec->queue = "queue";
  spec->pool = "pool";
  spec->payload = "payload";
  spec->steps = std::move(steps);
  return spec;
}

inline vm_description Vm(const vm_id& id, std::int64_t cpu_millis = 8000) {
  vm_description vm;
  vm.id = id;
  vm.pool = "pool";
  vm.address = "10.0.0.1:80";
  vm.capacity = {cpu_millis, 64000, 4};
  vm.labels = {"kind", "rack-1"};
  return vm;
}

inline queue_policy Policy(std::uint32_t max_attempts = 2) {
  queue_policy policy;
  policy.max_attempts = max_attempts;
  policy.stretch = 2.0;
  return policy;
}

/// Drives a `pool_scheduler` step by step, with VMs whose answers the test
/// determines.
class scheduler_driver {
 public:
  explicit scheduler_driver(const takeover_bounds& takeover = {})
      : scheduler(scheduler_settings(), takeover) {}

  void Add(const std::shared_ptr<const job_spec>& job,
           const queue_policy& policy = Policy()) {
    scheduler.AddJob(job, policy, now);
  }

  /// Registers the VMs, stores their records and lets each of them list no
  /// tasks.
  void Register(const std::vector<vm_description>& vms) {
    scheduler.UpdateVms(vms, now);
    for (const vm_description& vm : vms) {
      List(vm.id, {}, {});
    }
    Store();
    for (const vm_description& vm : vms) {
      List(vm.id, {}, {});
    }
  }

  void Pass(duration time) { now += time; }

  /// Passes the answer to a hold that was sent and answered now.
  void List(const vm_id& vm,
            std::vector<running_task> running,
            std::vector<ended_task> ended) {
    ListSentAt(vm, now, std::move(running), std::move(ended));
  }

  void ListSentAt(const vm_id& vm,
                  time_point sent_at,
                  std::vector<running_task> running,
                  std::vector<ended_task> ended) {
    run_listing listing;
    listing.vm_clock = now.time_since_epoch();
    listing.running = std::move(running);
    listing.ended = std::move(ended);
    scheduler.OnListing(vm, sent_at, listing, now);
  }

  /// Returns the starts that are ordered now. Other orders are stored in
  /// `stops` and `paces`.
  std::vector<start_order> Starts() {
    std::vector<start_order> starts;
    stops.clear();
    paces.clear();
    for (const vm_order& order : scheduler.Plan(now, now)) {
      if (const auto* start = std::get_if<start_order>(&order)) {
        starts.push_back(*start);
      } else if (const auto* stop = std::get_if<stop_order>(&order)) {
        stops.push_back(*stop);
      } else {
        paces.push_back(std::get<pace_order>(order));
      }
    }
    return starts;
  }

  /// Sends the due orders and lets every start succeed. Returns the starts.
  std::vector<start_order> StartAll() {
    std::vector<start_order> starts = Starts();
    for (const start_order& start : starts) {
      scheduler.OnStartAnswer(start.target, start_result::kStarted, now);
    }
    return starts;
  }

  /// Stores all pending batches and returns them.
  std::vector<progress_batch> Store() {
    std::vector<progress_batch> batches;
    while (auto batch = scheduler.TakeBatch()) {
      scheduler.OnBatchStored(*batch);
      batches.push_back(std::move(*batch));
    }
    return batches;
  }

  pool_scheduler scheduler;
  time_point now = time_point(std::chrono::hours(1));
  std::vector<stop_order> stops;
  std::vector<pace_order> paces;
};

inline running_task Running(const task_name& task,
                            std::uint32_t run,
                            std::uint32_t percent = 50,
                            std::int64_t reading = 0) {
  return {task, run, "", percent, reading};
}

inline ended_task Ended(std::uint64_t number,
                        const task_name& task,
                        std::uint32_t run,
                        end_kind how) {
  return {number, task, run, how, ""};
}

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_TESTS_CORE_JOBS_SCHEDULER_DRIVER_H_
