#ifndef PLANTAINHEAD_TESTS_CORE_FLEET_PLANNER_HARNESS_H_
#define PLANTAINHEAD_TESTS_CORE_FLEET_PLANNER_HARNESS_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/fleet/planner.h"
#include "plantainhead/core/log/fold.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {

/// Runs a planner against the real fold and a minimal simulated platform:
/// records are applied at once, and the platform executes each operation id
/// once. Time advances only in `Step`.
class planner_harness {
 public:
  explicit planner_harness(planner_options options = {})
      : now(std::chrono::hours(1)), options_(options), planner_(options) {
    join_entry join;
    join.who = incarnation{1};
    join.name = entry_id("entry-1");
    Apply(join);
    Apply(take_planner_lease{incarnation{1}, 0});
  }

  vm_listing& AddVm(const std::string& name,
                    const std::string& zone,
                    const std::string& rack,
                    const std::string& pool) {
    vm_listing vm;
    vm.vm = vm_id(name);
    vm.zone = zone_id(zone);
    vm.rack = rack_id(rack);
    vm.pool = pool_id(pool);
    vm.processors = 16;
    vm.memory_mb = 65536;
    vm.host = "127.0.0.1";
    vm.port = 1;
    vm.slots = 8;
    return vms.emplace_back(vm);
  }

  /// Advances the time, runs one plan and then executes its records and
  /// operations.
  void Step(duration length = std::chrono::milliseconds(200)) {
    now += length;
    EndTasks();
    FinishOperations();
    listed_at_ = now - listed_at_ >= list_interval ? now : listed_at_;
    effects out;
    const planner_inputs inputs = Inputs();
    if (around_plan) {
      around_plan([&] { planner_.OnTick(inputs, now, out); });
    } else {
      planner_.OnTick(inputs, now, out);
    }
    for (const record_body& body : out.records) {
      if (!log_is_out) {
        Apply(body);
      }
    }
    for (const action& item : out.actions) {
      if (const auto* run = std::get_if<run_operation>(&item)) {
        Run(*run);
      }
    }
    if (after_step) {
      after_step();
    }
  }

  /// Steps until `condition` holds. Returns false if it does not within
  /// `limit`.
  bool StepUntil(const std::function<bool()>& condition,
                 duration limit = std::chrono::hours(3)) {
    const time_point end = now + limit;
    while (!condition() && now < end) {
      Step();
    }
    return condition();
  }

  void StepFor(duration time) {
    StepUntil([] { return false; }, time);
  }

  /// Replaces the planner by a new one, which has only the folded state.
  void ReplacePlanner() {
    planner_ = planner(options_);
    pending_.clear();
    Apply(take_planner_lease{incarnation{1}, state.lease.epoch});
  }

  planner_inputs Inputs() const {
    planner_inputs inputs(state, vms, tasks);
    inputs.holds_lease = true;
    inputs.epoch = state.lease.epoch;
    inputs.listed_at = listed_at_;
    inputs.reported_offset = reported_offset.value_or(state.offset);
    inputs.in_flight = in_flight;
    inputs.demand = demand;
    inputs.budgets = budgets;
    return inputs;
  }

  fold_result Apply(record_body body) {
    log_entry entry;
    entry.offset = state.offset + 1;
    entry.content.id = record_id("record-" + std::to_string(entry.offset));
    entry.content.body = std::move(body);
    return core::Apply(state, entry);
  }

  const planner& Planner() const { return planner_; }
  const fleet_vm& Vm(const std::string& name) const {
    return state.vms.at(vm_id(name));
  }
  const fleet_job& Job(const std::string& name) const {
    return state.jobs.at(job_id(name));
  }
  std::size_t CountPhase(vm_phase phase) const {
    return static_cast<std::size_t>(std::count_if(
        state.vms.begin(), state.vms.end(),
        [&](const auto& vm) { return vm.second.phase == phase; }));
  }
  std::size_t CountIn(const std::string& pool) const {
    return static_cast<std::size_t>(std::count_if(
        state.vms.begin(), state.vms.end(),
        [&](const auto& vm) { return vm.second.pool == pool_id(pool); }));
  }

  time_point now;
  fleet_state state;
  std::vector<vm_listing> vms;
  std::vector<task_listing> tasks;
  std::optional<log_offset> reported_offset;
  std::map<vm_id, std::uint32_t> in_flight;
  std::map<service_name, service_demand> demand;
  std::map<class_name, class_burn> budgets;
  bool log_is_out = false;
  /// VMs whose drains and reboots never complete.
  std::set<vm_id> stuck;
  /// Workers and jobs whose tasks always fail.
  std::set<vm_id> bad_workers;
  std::set<job_id> bad_jobs;
  /// Number of operations whose id was sent again with a different content.
  int changed_operations = 0;
  /// VMs that the platform refuses to reboot.
  std::set<vm_id> reboot_refusing;
  /// Workers that refuse every start.
  std::set<vm_id> refusing;
  /// Operations that took effect, and the number of reboots and starts.
  std::set<operation_id> executed;
  std::map<vm_id, int> reboots;
  std::map<job_id, int> starts;
  /// Number of starts of jobs while an earlier task might still have been
  /// running.
  int overlaps = 0;
  duration operation_time = std::chrono::seconds(10);
  /// Called with a function that runs one plan and must be called; used for
  /// measurements.
  std::function<void(const std::function<void()>&)> around_plan;
  /// Interval at which the platform's list is read; its contents are always up
  /// to date.
  duration list_interval{};
  duration run_time = std::chrono::minutes(5);
  std::function<void()> after_step;

 private:
  struct pending_operation {
    run_operation what;
    time_point end;
  };
  struct running_task {
    time_point ends;
    time_point lease_end;
    bool is_over = false;
  };

  void Run(const run_operation& run) {
    const bool is_short = !std::holds_alternative<drain_vm>(run.what) &&
                          !std::holds_alternative<reboot_vm>(run.what);
    pending_.push_back({run, is_short ? now : now + operation_time});
    const auto [first, is_new] = contents_.try_emplace(run.operation, run.what);
    changed_operations += Describe(first->second) == Describe(run.what) ? 0 : 1;
    if (executed.insert(run.operation).second) {
      std::visit(
          overloaded{
              [&](const reboot_vm& what) {
                reboots[what.vm] += reboot_refusing.contains(what.vm) ? 0 : 1;
              },
              [&](const move_vm& what) { Move(what); },
              [&](const start_task& what) { Start(what, run.operation); },
              [&](const renew_task& what) {
                running_[what.job].lease_end = now + what.lease;
              },
              [&](const checkpoint_task& what) {
                EndTask(what.job, task_state::kCheckpointed);
              },
              [&](const stop_task& what) {
                EndTask(what.job, task_state::kLeaseExpired);
              },
              [](const auto&) {},
          },
          run.what);
    }
  }

  static std::string Describe(const platform_operation& what) {
    if (const auto* start = std::get_if<start_task>(&what)) {
      return std::to_string(start->processors) + " " +
             std::to_string(start->memory_mb);
    }
    const auto* move = std::get_if<move_vm>(&what);
    return move == nullptr ? std::string() : move->pool.value();
  }

  void Move(const move_vm& what) {
    for (vm_listing& vm : vms) {
      if (vm.vm == what.vm) {
        vm.pool = what.pool;
      }
    }
  }

  void Start(const start_task& what, const operation_id& id) {
    if (refusing.contains(what.vm)) {
      return;
    }
    ++starts[what.job];
    const auto earlier = running_.find(what.job);
    overlaps += earlier != running_.end() && !earlier->second.is_over &&
                        now < earlier->second.lease_end
                    ? 1
                    : 0;
    std::erase_if(tasks, [&](const auto& t) { return t.job == what.job; });
    task_listing task;
    task.job = what.job;
    task.vm = what.vm;
    task.started_by = id;
    tasks.push_back(task);
    running_[what.job] = {now + run_time, now + what.lease};
    if (bad_workers.contains(what.vm) || bad_jobs.contains(what.job)) {
      EndTask(what.job, task_state::kFailed);
    }
  }

  void EndTask(const job_id& job, task_state state_now) {
    running_[job].is_over = true;
    for (task_listing& task : tasks) {
      if (task.job == job && task.state == task_state::kRunning) {
        task.state = state_now;
      }
    }
  }

  void EndTasks() {
    for (task_listing& task : tasks) {
      if (task.state != task_state::kRunning) {
        continue;
      }
      running_task& run = running_.at(task.job);
      if (now >= run.lease_end) {
        task.state = task_state::kLeaseExpired;
      } else if (now >= run.ends) {
        task.state = task_state::kFinished;
      }
      run.is_over = task.state != task_state::kRunning;
    }
  }

  bool IsStuck(const platform_operation& what) const {
    const auto* drain = std::get_if<drain_vm>(&what);
    const auto* reboot = std::get_if<reboot_vm>(&what);
    return (drain != nullptr && stuck.contains(drain->vm)) ||
           (reboot != nullptr && stuck.contains(reboot->vm));
  }

  void FinishOperations() {
    std::vector<pending_operation> left;
    for (const pending_operation& item : pending_) {
      if (item.end > now || IsStuck(item.what.what)) {
        left.push_back(item);
        continue;
      }
      effects ignored;
      const auto* start = std::get_if<start_task>(&item.what.what);
      const auto* reboot = std::get_if<reboot_vm>(&item.what.what);
      const bool is_refused =
          (start != nullptr && refusing.contains(start->vm)) ||
          (reboot != nullptr && reboot_refusing.contains(reboot->vm));
      planner_.OnOperationFinished(
          {item.what.operation,
           is_refused ? operation_result::kRefused : operation_result::kDone,
           ""},
          now, ignored);
    }
    pending_ = std::move(left);
  }

  time_point listed_at_;
  planner_options options_;
  planner planner_;
  std::vector<pending_operation> pending_;
  std::map<job_id, running_task> running_;
  std::map<operation_id, platform_operation> contents_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_FLEET_PLANNER_HARNESS_H_
