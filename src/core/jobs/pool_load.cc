#include <algorithm>
#include <utility>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {

pool_load pool_scheduler::impl::Load(const pool_id& pool, time_point now) {
  pool_load load;
  IndexChanged(now);
  if (const pool_vm_index* pool_index = index_.Find(pool)) {
    load.usable_vms = pool_index->usable_vms;
    load.stages = pool_index->stages;
    load.used = pool_index->used;
    if (load.usable_vms > 0) {
      const std::int64_t count = load.usable_vms;
      load.vm_capacity = {pool_index->capacity.cpu_millis / count,
                          pool_index->capacity.memory_mb / count,
                          pool_index->capacity.gpus / count};
    }
  }
  for (const auto& [id, job] : jobs_.waiting()) {
    if (job->spec().pool == pool) {
      load.waiting = load.waiting + job->WaitingDemand(now);
    }
  }
  for (const auto& [id, job] : jobs_.long_running()) {
    if (job->spec().pool == pool) {
      AddSpread(*job, &load);
    }
  }
  return load;
}

void pool_scheduler::impl::AddSpread(const job_state& job, pool_load* load) {
  if (!job.HasOccurrence()) {
    return;
  }
  for (const step_spec& step : job.spec().steps) {
    if (step.long_running && step.max_per_vm > 0) {
      load->spread =
          std::max(load->spread,
                   (step.task_count + step.max_per_vm - 1) / step.max_per_vm);
    }
  }
}

std::vector<vm_id> pool_scheduler::impl::LeastUsed(const pool_id& pool,
                                                   std::size_t count) {
  IndexChanged(indexed_at_);
  std::vector<vm_id> chosen;
  const pool_vm_index* pool_index = index_.Find(pool);
  if (pool_index == nullptr) {
    return chosen;
  }
  for (const ranked_vm& idle : pool_index->idle) {
    if (chosen.size() == count) {
      break;
    }
    chosen.push_back(idle.vm->description().id);
  }
  vms_.NoteVisits(chosen.size());
  return chosen;
}

}  // namespace plantainhead::core::jobs
