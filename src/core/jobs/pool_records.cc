#include <algorithm>
#include <utility>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {

std::optional<progress_batch> pool_scheduler::impl::TakeBatch() {
  std::vector<known_vm> used;
  visited_vms_ += vms_.size();
  for (auto& [id, vm] : vms_) {
    if (vm.is_record_due && vm.is_listed && vm.IsReachable()) {
      vm.is_record_due = false;
      used.push_back({id, vm.description().address});
    }
  }
  const bool has_vms = !used.empty() || !dropped_vms_.empty();
  auto batch = jobs_.TakeBatch(has_vms);
  if (batch) {
    batch->used_vms = std::move(used);
    batch->dropped_vms = std::move(dropped_vms_);
    dropped_vms_.clear();
  } else {
    // Ends that changed no record need no batch of their own. What they tell
    // may be in the one that is under way.
    for (auto& [id, vm] : vms_) {
      for (auto& [number, needed] : vm.unstored_ends) {
        needed = std::min(needed, jobs_.next_batch() - 1);
      }
    }
    AckStored();
  }
  return batch;
}

void pool_scheduler::impl::NoteStored(const progress_batch& batch) {
  for (const known_vm& used : batch.used_vms) {
    if (vm_state* vm = FindVm(used.id)) {
      vm->is_recorded = true;
    }
  }
  stored_through_ = batch.number;
  AckStored();
}

void pool_scheduler::impl::AckStored() {
  visited_vms_ += vms_.size();
  for (auto& [id, vm] : vms_) {
    while (!vm.unstored_ends.empty() &&
           vm.unstored_ends.front().second <= stored_through_) {
      vm.acknowledged_through = vm.unstored_ends.front().first;
      vm.unstored_ends.pop_front();
    }
  }
}

scheduler_counts pool_scheduler::impl::Counts() const {
  scheduler_counts counts = counts_;
  counts.open_jobs = jobs_.open().size();
  counts.visited_vms = visited_vms_;
  for (const auto& [id, job] : jobs_.open()) {
    for (const auto& [number, occurrence] : job->occurrences()) {
      for (const step_state& step : occurrence.steps) {
        counts.waiting_tasks += step.Waiting();
        counts.placed_tasks += step.placed;
      }
    }
  }
  return counts;
}

}  // namespace plantainhead::core::jobs
