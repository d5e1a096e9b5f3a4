#include <algorithm>
#include <utility>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {

bool pool_scheduler::impl::IsUsable(const vm_state& vm) {
  return vm.is_listed && vm.IsDescribed() && vm.is_settled &&
         vm.IsReachable() && !vm.is_closed && !vm.description().draining;
}

bool pool_scheduler::impl::TakesTasks(const vm_state& vm, const pool_id& pool) {
  return IsUsable(vm) && vm.description().pool == pool;
}

bool pool_scheduler::impl::IsTrusted(const vm_state& vm, time_point now) {
  return !vm.trusted_until || now <= *vm.trusted_until;
}

void pool_scheduler::impl::CountStage(const vm_state& vm,
                                      time_point now,
                                      vm_stages* stages) {
  if (vm.is_closed || vm.description().draining) {
    ++stages->closed;
  } else if (!IsUsable(vm)) {
    ++stages->unheard;
  } else if (!vm.is_recorded) {
    ++stages->unrecorded;
  } else if (!IsTrusted(vm, now) || vm.HasForeign()) {
    ++stages->untrusted;
  }
}

pool_load pool_scheduler::impl::Load(const pool_id& pool, time_point now) {
  pool_load load;
  resources total;
  visited_vms_ += vms_.size();
  for (const auto& [id, vm] : vms_) {
    if (vm.is_listed && vm.description().pool == pool) {
      CountStage(vm, now, &load.stages);
    }
    if (TakesTasks(vm, pool)) {
      ++load.usable_vms;
      total = total + vm.description().capacity;
      load.used = load.used + (vm.description().capacity - vm.Free());
    }
  }
  if (load.usable_vms > 0) {
    const std::int64_t count = load.usable_vms;
    load.vm_capacity = {total.cpu_millis / count, total.memory_mb / count,
                        total.gpus / count};
  }
  for (const auto& [id, job] : jobs_.open()) {
    if (job->spec().pool != pool) {
      continue;
    }
    for (const auto& [number, occurrence] : job->occurrences()) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const step_spec& step = job->spec().steps[s];
        if (step.lasting && step.most_per_vm > 0) {
          load.spread =
              std::max(load.spread, (step.task_count + step.most_per_vm - 1) /
                                        step.most_per_vm);
        }
        const std::int64_t waiting = occurrence.steps[s].Waiting();
        // A job that is late anyway draws no VMs: it gains little by ending
        // somewhat earlier, and runs in what room there is.
        const bool is_late =
            !step.lasting &&
            now + job->RemainingChain(occurrence) > job->deadline();
        if (waiting == 0 || is_late || !job->IsOpen(occurrence, s)) {
          continue;
        }
        const resources room = RoomOf(step);
        load.waiting = load.waiting + resources{waiting * room.cpu_millis,
                                                waiting * room.memory_mb,
                                                waiting * room.gpus};
      }
    }
  }
  return load;
}

std::vector<vm_id> pool_scheduler::impl::LeastUsed(const pool_id& pool,
                                                   std::size_t count) {
  std::vector<std::pair<std::int64_t, vm_id>> idle;
  visited_vms_ += vms_.size();
  for (const auto& [id, vm] : vms_) {
    if (TakesTasks(vm, pool) && !vm.HasLasting()) {
      idle.emplace_back(-vm.Free().cpu_millis, id);
    }
  }
  std::sort(idle.begin(), idle.end());
  std::vector<vm_id> chosen;
  for (std::size_t i = 0; i < std::min(count, idle.size()); ++i) {
    chosen.push_back(idle[i].second);
  }
  return chosen;
}

}  // namespace plantainhead::core::jobs
