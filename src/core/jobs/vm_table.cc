#include "core/jobs/vm_table.h"

#include <algorithm>

namespace plantainhead::core::jobs {

const vm_state* vm_table::Find(const vm_id& id) const {
  const auto found = lookup_.find(id);
  if (found == lookup_.end()) {
    return nullptr;
  }
  NoteVisits(1);
  return found->second;
}

vm_state* vm_table::FindUnmarked(const vm_id& id) {
  const auto found = lookup_.find(id);
  return found == lookup_.end() ? nullptr : found->second;
}

vm_state* vm_table::FindForChange(const vm_id& id) {
  const auto found = lookup_.find(id);
  if (found == lookup_.end()) {
    return nullptr;
  }
  NoteVisits(1);
  MarkChanged(found->second);
  return found->second;
}

void vm_table::MarkChanged(vm_state* vm) {
  if (!vm->is_changed) {
    vm->is_changed = true;
    changed_.push_back(vm);
  }
  if (!vm->is_due) {
    vm->is_due = true;
    due_.push_back(vm);
  }
}

std::pair<vm_state*, bool> vm_table::Add(const vm_description& description) {
  const auto [found, is_new] =
      by_id_.try_emplace(description.id, description, next_number_, &job_vms_);
  vm_state* vm = &found->second;
  if (is_new) {
    ++next_number_;
    lookup_.emplace(found->first, vm);
  }
  NoteVisits(1);
  MarkChanged(vm);
  return {vm, is_new};
}

void vm_table::Erase(vm_state* vm) {
  if (vm->is_changed) {
    std::erase(changed_, vm);
  }
  if (vm->is_due) {
    std::erase(due_, vm);
  }
  if (vm->next_check_at) {
    checks_.erase({*vm->next_check_at, vm});
  }
  vm->ClearRuns();
  const vm_id id = vm->description().id;
  lookup_.erase(id);
  by_id_.erase(id);
}

void vm_table::ScheduleCheck(vm_state* vm, time_point at) {
  if (vm->next_check_at == at) {
    return;
  }
  if (vm->next_check_at) {
    checks_.erase({*vm->next_check_at, vm});
  }
  vm->next_check_at = at;
  checks_.emplace(at, vm);
}

void vm_table::MarkDueChecks(time_point now) {
  while (!checks_.empty() && checks_.begin()->first <= now) {
    vm_state* vm = checks_.begin()->second;
    checks_.erase(checks_.begin());
    vm->next_check_at.reset();
    MarkChanged(vm);
  }
}

std::vector<vm_state*> vm_table::TakeChanged() {
  return Take(&changed_, &vm_state::is_changed);
}

std::vector<vm_state*> vm_table::TakeDue() {
  return Take(&due_, &vm_state::is_due);
}

std::vector<vm_state*> vm_table::Take(std::vector<vm_state*>* marked,
                                      bool vm_state::*mark) {
  std::vector<vm_state*> taken;
  taken.swap(*marked);
  for (vm_state* vm : taken) {
    vm->*mark = false;
  }
  std::sort(taken.begin(), taken.end(), by_number());
  NoteVisits(taken.size());
  return taken;
}

std::vector<vm_state*> vm_table::WithRunsOf(const job_id& job) {
  std::vector<vm_state*> vms = job_vms_.Of(job);
  NoteVisits(vms.size());
  return vms;
}

std::map<vm_id, vm_state>& vm_table::All() {
  NoteVisits(by_id_.size());
  return by_id_;
}

}  // namespace plantainhead::core::jobs
