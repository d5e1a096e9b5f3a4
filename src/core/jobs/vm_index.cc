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
  if (!vm.is_listed) {
    return vm_stage::kGone;
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
  return !vm.IsTrusted(now) || vm.HasForeign() ? vm_stage::kUntrusted
                                               : vm_stage::kTaking;
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
    case vm_stage::kGone:
    case vm_stage::kTaking:
      return nullptr;
  }
  return nullptr;
}

bool IsIdle(const vm_figures& figures) {
  return figures.is_usable && !taker_list::HasLasting(figures.kind);
}

}  // namespace

void taker_list::Insert(std::size_t kind, const ranked_vm& taker) {
  lists_[kind].insert(taker);
  ++size_;
}

void taker_list::Erase(std::size_t kind, const ranked_vm& taker) {
  lists_[kind].erase(taker);
  --size_;
}

void vm_index::Update(vm_state* vm, time_point now) {
  if (vm->has_new_description) {
    Subtract(vm);
    if (vm->places.pool != nullptr) {
      vm->places.pool->vms.erase(vm);
    }
    FindPlaces(vm);
    vm->places.pool->vms.insert(vm);
    vm->has_new_description = false;
  }
  const vm_figures figures = FiguresOf(*vm, now);
  if (figures != vm->indexed) {
    Subtract(vm);
    Add(vm, figures);
  }
  Put(&unsettled_, vm, !vm->is_settled && !vm->IsLapsed(now));
  Put(&with_untaken_ends_, vm, !vm->untaken_ends.empty());
  UpdateUnknown(vm);
  Put(&record_due_, vm,
      vm->is_record_due && vm->is_listed && vm->IsReachable());
}

void vm_index::UpdateUnknown(vm_state* vm) {
  Put(&with_unknown_jobs_, vm,
      vm->HasForeign() || vm->unknown_end_since.has_value());
}

void vm_index::Remove(vm_state* vm) {
  Subtract(vm);
  if (vm->places.pool != nullptr) {
    vm->places.pool->vms.erase(vm);
  }
  for (vm_set* vms :
       {&unsettled_, &with_untaken_ends_, &with_unknown_jobs_, &record_due_}) {
    vms->erase(vm);
  }
}

const pool_figures* vm_index::Find(const pool_id& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? nullptr : &found->second;
}

const taker_list* vm_index::TakersWith(const pool_id& pool,
                                       const std::string& label) {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return nullptr;
  }
  pool_figures& figures = found->second;
  if (figures.takers.count(label) == 0) {
    ListLabel(label, &figures);
  }
  return &figures.takers.at(label);
}

void vm_index::ListLabel(const std::string& label, pool_figures* pool) {
  taker_list& listed = pool->takers[label];
  for (vm_state* vm : pool->vms) {
    const std::vector<std::string>& labels = vm->description().labels;
    if (std::find(labels.begin(), labels.end(), label) == labels.end()) {
      continue;
    }
    vm->places.takers.push_back(&listed);
    if (vm->indexed.stage == vm_stage::kTaking) {
      listed.Insert(vm->indexed.kind, {vm->indexed.free.cpu_millis, vm});
    }
  }
}

void vm_index::FindPlaces(vm_state* vm) {
  pool_figures& pool = pools_[vm->description().pool];
  const std::vector<std::string>& labels = vm->description().labels;
  vm->places = {&pool, {}, nullptr};
  pool.takers.try_emplace("");
  for (auto& [label, takers] : pool.takers) {
    if (label.empty() ||
        std::find(labels.begin(), labels.end(), label) != labels.end()) {
      vm->places.takers.push_back(&takers);
    }
  }
  if (labels.size() > 1) {
    vm->places.takers_in_rack = &pool.takers_by_rack[labels.back()];
  }
}

vm_figures vm_index::FiguresOf(const vm_state& vm, time_point now) {
  vm_figures figures;
  figures.pool = vm.places.pool;
  figures.stage = StageOf(vm, now);
  figures.is_usable = vm.IsUsable();
  figures.capacity = vm.description().capacity;
  figures.free = vm.Free();
  figures.kind = taker_list::KindOf(vm);
  figures.starts_under_way = static_cast<std::size_t>(std::count_if(
      vm.runs().begin(), vm.runs().end(),
      [](const auto& run) { return run.second.is_start_in_flight; }));
  return figures;
}

void vm_index::Add(vm_state* vm, const vm_figures& figures) {
  vm->indexed = figures;
  pool_figures& pool = *figures.pool;
  starts_under_way_ += figures.starts_under_way;
  if (std::uint32_t* count = CountOf(figures.stage, &pool.stages)) {
    ++*count;
  }
  if (figures.is_usable) {
    ++pool.usable_vms;
    pool.capacity = pool.capacity + figures.capacity;
    pool.used = pool.used + (figures.capacity - figures.free);
  }
  if (IsIdle(figures)) {
    pool.idle.insert({-figures.free.cpu_millis, vm});
  }
  if (figures.stage == vm_stage::kTaking) {
    for (taker_list* takers : vm->places.takers) {
      takers->Insert(figures.kind, {figures.free.cpu_millis, vm});
    }
    if (vm->places.takers_in_rack != nullptr) {
      ++*vm->places.takers_in_rack;
    }
  }
}

void vm_index::Subtract(vm_state* vm) {
  const vm_figures figures = vm->indexed;
  vm->indexed = {};
  if (figures.pool == nullptr) {
    return;
  }
  pool_figures& pool = *figures.pool;
  starts_under_way_ -= figures.starts_under_way;
  if (std::uint32_t* count = CountOf(figures.stage, &pool.stages)) {
    --*count;
  }
  if (figures.is_usable) {
    --pool.usable_vms;
    pool.capacity = pool.capacity - figures.capacity;
    pool.used = pool.used - (figures.capacity - figures.free);
  }
  if (IsIdle(figures)) {
    pool.idle.erase({-figures.free.cpu_millis, vm});
  }
  if (figures.stage == vm_stage::kTaking) {
    for (taker_list* takers : vm->places.takers) {
      takers->Erase(figures.kind, {figures.free.cpu_millis, vm});
    }
    if (vm->places.takers_in_rack != nullptr) {
      --*vm->places.takers_in_rack;
    }
  }
}

}  // namespace plantainhead::core::jobs
