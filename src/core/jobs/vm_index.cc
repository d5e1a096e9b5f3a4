#include "core/jobs/vm_index.h"

#include <algorithm>
#include <string>
#include <vector>

namespace plantainhead::core::jobs {
namespace {

void Put(vm_set* vms, vm_state* vm, bool is_in) {
  if (is_in) {
    vms->insert(vm);
  } else {
    vms->erase(vm);
  }
}

vm_stage StageOf(const vm_state& vm, time_point now) {
  if (!vm.is_registered) {
    return vm_stage::kUnregistered;
  }
  if (vm.is_closed || vm.description().draining) {
    return vm_stage::kClosed;
  }
  if (!vm.IsUsable()) {
    return vm_stage::kUnheard;
  }
  if (!vm.is_recorded) {
    return vm_stage::kUnrecorded;
  }
  return !vm.IsTrusted(now) || vm.HasUnknownJobRuns() ? vm_stage::kUntrusted
                                                      : vm_stage::kAvailable;
}

std::uint32_t* CountOf(vm_stage stage, vm_stage_counts* stages) {
  switch (stage) {
    case vm_stage::kClosed:
      return &stages->closed;
    case vm_stage::kUnheard:
      return &stages->unheard;
    case vm_stage::kUnrecorded:
      return &stages->unrecorded;
    case vm_stage::kUntrusted:
      return &stages->untrusted;
    case vm_stage::kUnregistered:
    case vm_stage::kAvailable:
      return nullptr;
  }
  return nullptr;
}

bool IsIdle(const vm_index_entry& entry) {
  return entry.is_usable && !available_vm_list::HasLongRunning(entry.kind);
}

}  // namespace

void available_vm_list::Insert(std::size_t kind, const ranked_vm& ranked) {
  lists_[kind].insert(ranked);
  ++size_;
}

void available_vm_list::Erase(std::size_t kind, const ranked_vm& ranked) {
  lists_[kind].erase(ranked);
  --size_;
}

void vm_index::Update(vm_state* vm, time_point now) {
  if (vm->has_new_description) {
    Subtract(vm);
    if (vm->index_slots.pool != nullptr) {
      vm->index_slots.pool->vms.erase(vm);
    }
    FindSlots(vm);
    vm->index_slots.pool->vms.insert(vm);
    vm->has_new_description = false;
  }
  const vm_index_entry entry = EntryOf(*vm, now);
  if (entry != vm->indexed) {
    Subtract(vm);
    Add(vm, entry);
  }
  Put(&unreconciled_, vm, !vm->is_reconciled && !vm->IsLeaseExpired(now));
  Put(&with_unprocessed_ends_, vm, !vm->unprocessed_ends.empty());
  UpdateUnknown(vm);
  Put(&record_due_, vm,
      vm->is_record_due && vm->is_registered && vm->IsReachable());
}

void vm_index::UpdateUnknown(vm_state* vm) {
  Put(&with_unknown_jobs_, vm,
      vm->HasUnknownJobRuns() || vm->unknown_end_since.has_value());
}

void vm_index::Remove(vm_state* vm) {
  Subtract(vm);
  if (vm->index_slots.pool != nullptr) {
    vm->index_slots.pool->vms.erase(vm);
  }
  for (vm_set* vms : {&unreconciled_, &with_unprocessed_ends_,
                      &with_unknown_jobs_, &record_due_}) {
    vms->erase(vm);
  }
}

const pool_vm_index* vm_index::Find(const pool_id& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? nullptr : &found->second;
}

const available_vm_list* vm_index::AvailableWith(const pool_id& pool,
                                                 const std::string& label) {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return nullptr;
  }
  pool_vm_index& entry = found->second;
  if (entry.available.count(label) == 0) {
    ListLabel(label, &entry);
  }
  return &entry.available.at(label);
}

void vm_index::ListLabel(const std::string& label, pool_vm_index* pool) {
  available_vm_list& listed = pool->available[label];
  for (vm_state* vm : pool->vms) {
    const std::vector<std::string>& labels = vm->description().labels;
    if (std::find(labels.begin(), labels.end(), label) == labels.end()) {
      continue;
    }
    vm->index_slots.available.push_back(&listed);
    if (vm->indexed.stage == vm_stage::kAvailable) {
      listed.Insert(vm->indexed.kind, {vm->indexed.free.cpu_millis, vm});
    }
  }
}

void vm_index::FindSlots(vm_state* vm) {
  pool_vm_index& pool = pools_[vm->description().pool];
  const std::vector<std::string>& labels = vm->description().labels;
  vm->index_slots = {&pool, {}, nullptr};
  pool.available.try_emplace("");
  for (auto& [label, available] : pool.available) {
    if (label.empty() ||
        std::find(labels.begin(), labels.end(), label) != labels.end()) {
      vm->index_slots.available.push_back(&available);
    }
  }
  if (labels.size() > 1) {
    vm->index_slots.available_in_rack = &pool.available_by_rack[labels.back()];
  }
}

vm_index_entry vm_index::EntryOf(const vm_state& vm, time_point now) {
  vm_index_entry entry;
  entry.pool = vm.index_slots.pool;
  entry.stage = StageOf(vm, now);
  entry.is_usable = vm.IsUsable();
  entry.capacity = vm.description().capacity;
  entry.free = vm.Free();
  entry.kind = available_vm_list::KindOf(vm);
  entry.starts_in_flight = static_cast<std::size_t>(std::count_if(
      vm.runs().begin(), vm.runs().end(),
      [](const auto& run) { return run.second.is_start_in_flight; }));
  entry.runs = vm.runs().size();
  return entry;
}

void vm_index::Add(vm_state* vm, const vm_index_entry& entry) {
  vm->indexed = entry;
  pool_vm_index& pool = *entry.pool;
  starts_in_flight_ += entry.starts_in_flight;
  runs_ += entry.runs;
  if (std::uint32_t* count = CountOf(entry.stage, &pool.stages)) {
    ++*count;
  }
  if (entry.is_usable) {
    ++pool.usable_vms;
    pool.capacity = pool.capacity + entry.capacity;
    pool.used = pool.used + (entry.capacity - entry.free);
  }
  if (IsIdle(entry)) {
    pool.idle.insert({-entry.free.cpu_millis, vm});
  }
  if (entry.stage == vm_stage::kAvailable) {
    for (available_vm_list* available : vm->index_slots.available) {
      available->Insert(entry.kind, {entry.free.cpu_millis, vm});
    }
    if (vm->index_slots.available_in_rack != nullptr) {
      ++*vm->index_slots.available_in_rack;
    }
  }
}

void vm_index::Subtract(vm_state* vm) {
  const vm_index_entry entry = vm->indexed;
  vm->indexed = {};
  if (entry.pool == nullptr) {
    return;
  }
  pool_vm_index& pool = *entry.pool;
  starts_in_flight_ -= entry.starts_in_flight;
  runs_ -= entry.runs;
  if (std::uint32_t* count = CountOf(entry.stage, &pool.stages)) {
    --*count;
  }
  if (entry.is_usable) {
    --pool.usable_vms;
    pool.capacity = pool.capacity - entry.capacity;
    pool.used = pool.used - (entry.capacity - entry.free);
  }
  if (IsIdle(entry)) {
    pool.idle.erase({-entry.free.cpu_millis, vm});
  }
  if (entry.stage == vm_stage::kAvailable) {
    for (available_vm_list* available : vm->index_slots.available) {
      available->Erase(entry.kind, {entry.free.cpu_millis, vm});
    }
    if (vm->index_slots.available_in_rack != nullptr) {
      --*vm->index_slots.available_in_rack;
    }
  }
}

}  // namespace plantainhead::core::jobs
