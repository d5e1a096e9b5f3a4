#ifndef PLANTAINHEAD_TESTS_CORE_PLANNER_HARNESS_H_
#define PLANTAINHEAD_TESTS_CORE_PLANNER_HARNESS_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "plantainhead/core/fold.h"
#include "plantainhead/core/planner.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {

/// A log, a platform and a list just large enough to close the planner's loop:
/// records are applied by a few rules, operations end after a set time.
class planner_harness {
 public:
  explicit planner_harness(planner_options options = {})
      : options_(options), planner_(options) {
    now = time_point(std::chrono::hours(1));
    join_entry join;
    join.who = incarnation{1};
    join.name = entry_id("entry-1");
    Apply(join);
    Apply(take_planner_lease{incarnation{1}, 0});
  }

  void AddVm(const std::string& name,
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
    vms.push_back(vm);
  }

  /// One plan, then its records and operations.
  void Step(duration length = std::chrono::milliseconds(200)) {
    now += length;
    FinishOperations();
    effects out;
    planner_.OnTick(Inputs(), now, out);
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

  /// Steps until `condition` holds; returns whether it did within `limit`.
  bool StepUntil(const std::function<bool()>& condition,
                 duration limit = std::chrono::hours(2)) {
    const time_point end = now + limit;
    while (!condition() && now < end) {
      Step();
    }
    return condition();
  }

  /// A planner that knows nothing but the fold takes over.
  void ReplacePlanner() {
    planner_ = planner(options_);
    Apply(take_planner_lease{incarnation{1}, state.lease.epoch});
  }

  planner_inputs Inputs() {
    planner_inputs inputs(state, vms, tasks);
    inputs.holds_lease = true;
    inputs.epoch = state.lease.epoch;
    inputs.listed_at = now;
    inputs.reported_offset = reported_offset.value_or(state.offset);
    inputs.in_flight = in_flight;
    inputs.demand = demand;
    inputs.budgets = budgets;
    return inputs;
  }

  const planner& Planner() const { return planner_; }

  std::size_t CountPhase(vm_phase phase) const {
    std::size_t count = 0;
    for (const auto& [id, vm] : state.vms) {
      count += vm.phase == phase ? 1 : 0;
    }
    return count;
  }

  fold_result Apply(record_body body) {
    records.push_back(body);
    log_entry entry;
    entry.offset = state.offset + 1;
    entry.content.id = record_id("record-" + std::to_string(entry.offset));
    entry.content.body = std::move(body);
    return core::Apply(state, entry);
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
  /// VMs whose drain or reboot never ends.
  std::set<vm_id> stuck;
  /// How often each operation took effect.
  std::map<operation_id, int> acted;
  std::map<vm_id, int> reboots;
  duration operation_time = std::chrono::seconds(10);
  std::vector<record_body> records;
  std::function<void()> after_step;

 private:
  struct pending_operation {
    run_operation what;
    time_point end;
  };

  void Run(const run_operation& run) {
    pending_.push_back({run, now + operation_time});
    if (acted[run.operation]++ > 0) {
      return;
    }
    if (const auto* reboot = std::get_if<reboot_vm>(&run.what)) {
      ++reboots[reboot->vm];
    }
    if (const auto* move = std::get_if<move_vm>(&run.what)) {
      for (vm_listing& vm : vms) {
        if (vm.vm == move->vm) {
          vm.pool = move->pool;
        }
      }
    }
  }

  bool IsStuck(const platform_operation& what) const {
    const auto* drain = std::get_if<drain_vm>(&what);
    const auto* reboot = std::get_if<reboot_vm>(&what);
    return (drain != nullptr && stuck.contains(drain->vm)) ||
           (reboot != nullptr && stuck.contains(reboot->vm));
  }

  void FinishOperations() {
    while (!pending_.empty() && pending_.front().end <= now) {
      const run_operation run = pending_.front().what;
      pending_.pop_front();
      if (!IsStuck(run.what)) {
        effects ignored;
        planner_.OnOperationFinished(
            {run.operation, operation_result::kDone, ""}, now, ignored);
      }
    }
  }

  planner_options options_;
  planner planner_;
  std::deque<pending_operation> pending_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_PLANNER_HARNESS_H_
