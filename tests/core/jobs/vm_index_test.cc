#include "core/jobs/vm_index.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/jobs/scheduler_driver.h"
#include "core/jobs/vm_table.h"

namespace plantainhead::core::jobs {
namespace {

constexpr std::size_t kVms = 6;
const std::vector<std::string> kLabels = {"", "kind", "rack-1", "rack-2"};

/// A table of VMs, an index of it, and a check of the index against the table.
class indexed_vms {
 public:
  indexed_vms() {
    for (std::size_t i = 0; i < kVms; ++i) {
      vms_.push_back(table_.Add(Vm("vm-" + std::to_string(i))).first);
      vms_.back()->is_reconciled = true;
      vms_.back()->is_recorded = true;
      vms_.back()->RecordAnswer(duration(1), now_);
      index_.Update(vms_.back(), now_);
    }
  }

  /// Changes one VM in one way and updates the index.
  void Change(std::size_t number, int kind) {
    vm_state* vm = vms_[number];
    const task_name task{"job", 0, 0, 0};
    switch (kind) {
      case 0:
        vm->is_closed = !vm->is_closed;
        break;
      case 1:
        vm->is_recorded = !vm->is_recorded;
        break;
      case 2:
        vm->is_registered = !vm->is_registered;
        break;
      case 3:
        vm->NoteUnanswered();
        break;
      case 4:
        vm->RecordAnswer(vm->last_clock() + duration(1), now_);
        break;
      case 5:
        vm->Add(task, RunOf(long_running_));
        break;
      case 6:
        vm->Add(task, RunOf(short_));
        break;
      case 7:
        vm->Erase(task);
        break;
      default:
        Move(vm);
    }
    index_.Update(vm, now_);
  }

  /// Compares the index with values computed from all VMs.
  void Check() {
    std::uint32_t usable = 0;
    std::size_t idle = 0;
    std::size_t starts = 0;
    resources used;
    std::map<std::string, std::size_t> available;
    for (const vm_state* vm : vms_) {
      const bool is_idle = vm->IsUsable() && !vm->HasLongRunning();
      usable += vm->IsUsable() ? 1 : 0;
      idle += is_idle ? 1 : 0;
      used = vm->IsUsable() ? used + (vm->description().capacity - vm->Free())
                            : used;
      starts += vm->runs().empty() ? 0 : 1;
      for (const std::string& label : kLabels) {
        const std::vector<std::string>& labels = vm->description().labels;
        const bool has_label =
            label.empty() ||
            std::find(labels.begin(), labels.end(), label) != labels.end();
        available[label] +=
            has_label && vm->IsUsable() && vm->is_recorded ? 1 : 0;
      }
    }
    const pool_vm_index* entry = index_.Find("pool");
    RC_ASSERT(entry->usable_vms == usable);
    RC_ASSERT(entry->idle.size() == idle);
    RC_ASSERT(entry->used == used);
    RC_ASSERT(index_.starts_in_flight() == starts);
    for (const std::string& label : kLabels) {
      RC_ASSERT(index_.AvailableWith("pool", label)->size() ==
                available[label]);
    }
  }

 private:
  static run_state RunOf(const step_spec& step) {
    run_state run;
    run.run = 1;
    run.step = &step;
    run.demand = step.need;
    run.is_start_in_flight = true;
    return run;
  }

  void Move(vm_state* vm) {
    vm_description moved = vm->description();
    moved.labels.back() = moved.labels.back() == "rack-1" ? "rack-2" : "rack-1";
    vm->Describe(moved);
  }

  time_point now_{std::chrono::hours(1)};
  step_spec short_ = Step(1);
  step_spec long_running_ = [] {
    step_spec step = Step(1, 2000);
    step.long_running = true;
    return step;
  }();
  vm_table table_;
  vm_index index_;
  std::vector<vm_state*> vms_;
};

// Guards against counts and lists that deviate from the VMs: tasks would wait
// despite free capacity, or be placed on unavailable VMs.
TEST_CASE("The index of VMs equals a complete recount") {
  rc::prop("any order of changes", [] {
    indexed_vms vms;
    const auto changes =
        *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
            rc::gen::inRange<int>(0, kVms), rc::gen::inRange<int>(0, 9)));
    const auto first_look = *rc::gen::inRange<std::size_t>(0, 20);
    for (std::size_t i = 0; i < changes.size(); ++i) {
      vms.Change(static_cast<std::size_t>(changes[i].first), changes[i].second);
      // Lists by label are created when they are first requested.
      if (i >= first_look) {
        vms.Check();
      }
    }
    vms.Check();
  });
}

}  // namespace
}  // namespace plantainhead::core::jobs
