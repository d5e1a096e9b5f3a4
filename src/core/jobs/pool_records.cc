#include <algorithm>
#include <utility>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {

std::optional<progress_batch> pool_scheduler::impl::TakeBatch() {
  IndexChanged(indexed_at_);
  std::vector<known_vm> used;
  const std::vector<vm_state*> due(index_.record_due().begin(),
                                   index_.record_due().end());
  for (vm_state* vm : due) {
    vm->is_record_due = false;
    used.push_back({vm->description().id, vm->description().address});
    index_.Update(vm, indexed_at_);
  }
  const bool has_vms = !used.empty() || !dropped_vms_.empty();
  auto batch = jobs_.TakeBatch(has_vms);
  if (batch) {
    batch->used_vms = std::move(used);
    batch->dropped_vms = std::move(dropped_vms_);
    dropped_vms_.clear();
  } else {
    // Ends that changed no record need no batch of their own. Their effect may
    // be in the batch that is being stored.
    for (const vm_id& id : unacknowledged_) {
      if (vm_state* vm = vms_.FindUnmarked(id)) {
        for (auto& [number, needed] : vm->unstored_ends) {
          needed = std::min(needed, jobs_.next_batch() - 1);
        }
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
  for (const job_result& job : batch.results) {
    newly_ended_.push_back(job.id);
  }
  stored_through_ = batch.number;
  AckStored();
}

void pool_scheduler::impl::AckStored() {
  vms_.NoteVisits(unacknowledged_.size());
  std::erase_if(unacknowledged_, [this](const vm_id& id) {
    vm_state* vm = vms_.FindUnmarked(id);
    if (vm == nullptr) {
      return true;
    }
    while (!vm->unstored_ends.empty() &&
           vm->unstored_ends.front().second <= stored_through_) {
      vm->acknowledged_through = vm->unstored_ends.front().first;
      vm->unstored_ends.pop_front();
    }
    return vm->unstored_ends.empty();
  });
}

scheduler_counts pool_scheduler::impl::Counts() const {
  scheduler_counts counts = counts_;
  counts.open_jobs = jobs_.open().size();
  counts.visited_vms = vms_.visits();
  for (const auto& [id, job] : jobs_.open()) {
    counts.waiting_tasks += job->waiting_tasks();
    counts.placed_tasks += job->placed_tasks();
    counts.full_jobs += job->MayTrack(1) ? 0 : 1;
  }
  return counts;
}

}  // namespace plantainhead::core::jobs
