#include "jobs/pool_owner_impl.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"

namespace plantainhead::jobs {

using core::jobs::vm_id;

void pool_owner::impl::OnFleetRecords() {
  if (scheduler_) {
    CloseVms();
    Kick();
  }
}

std::set<vm_id> pool_owner::impl::ClosedForService() const {
  std::set<vm_id> closed;
  for (const auto& [key, value] : deps_.world->fleet_records()) {
    if (const auto vm = ClosedVmOf(key)) {
      closed.insert(*vm);
    }
  }
  return closed;
}

// A vacant VM is moved or serviced at any moment. A task that started there,
// after a change of owner or before this VM was known here, would be ended by
// that. So it is never opened again.
void pool_owner::impl::CloseVms() {
  std::set<vm_id> closed = ClosedForService();
  for (const auto* more :
       {&released_, &found_vacant_, &recording_vacant_, &vacant_}) {
    closed.insert(more->begin(), more->end());
  }
  for (const core::jobs::vm_description& vm : scheduler_->Vms()) {
    if (closed.count(vm.id) != 0) {
      scheduler_->CloseVm(vm.id, BootTime());
    } else {
      scheduler_->OpenVm(vm.id);
    }
  }
}

// Tells the owner of the fleet how many VMs each pool wants, and gives away
// those that it can do without.
void pool_owner::impl::SizePools() {
  if (!scheduler_) {
    return;
  }
  const core::time_point now = BootTime();
  for (const core::jobs::pool_settings& pool :
       deps_.world->routes().configuration().pools) {
    if (pool.is_spare || PoolPartitionOf(pool.id) != partition_) {
      continue;
    }
    core::jobs::pool_load load = scheduler_->Load(pool.id, now);
    if (load.usable_vms == 0) {
      continue;
    }
    auto [size, is_new] =
        sizes_.try_emplace(pool.id, settings_.sizer, settings_.arrivals, now);
    load.rising = size->second.arrivals.RisingDemand(now);
    const std::uint32_t wanted =
        size->second.sizer.Update(load, IsScarce(pool.id), now);
    TellWanted(pool.id, &size->second, load, wanted, now);
    const bool is_known = now - size->second.since > settings_.sizer.memory;
    if (is_known && load.usable_vms > wanted) {
      for (const vm_id& vm :
           scheduler_->LeastUsed(pool.id, load.usable_vms - wanted)) {
        scheduler_->CloseVm(vm, now);
        released_.insert(vm);
      }
    }
  }
}

bool pool_owner::impl::IsScarce(const core::jobs::pool_id& except) const {
  const auto& records = deps_.world->fleet_records();
  return std::any_of(records.begin(), records.end(), [&](const auto& record) {
    const auto pool = WantingPoolOf(record.first);
    return pool && *pool != except && DecodeWantedVms(record.second).is_short;
  });
}

void pool_owner::impl::TellWanted(const core::jobs::pool_id& pool,
                                  pool_size* size,
                                  const core::jobs::pool_load& load,
                                  std::uint32_t count,
                                  core::time_point now) {
  const wanted_vms wanted{count, load.usable_vms < count};
  if (wanted == size->told || now - size->told_at < settings_.wanted_gap) {
    return;
  }
  size->told = wanted;
  size->told_at = now;
  LogEvent(job_event::kPoolSized,
           {{"pool", pool},
            {"wanted", std::to_string(count)},
            {"usable", std::to_string(load.usable_vms)},
            {"used_millis", std::to_string(load.used.cpu_millis)},
            {"waiting_millis", std::to_string(load.waiting.cpu_millis)}});
  fleet_outbox_.Put(EncodeWantedVms(pool, wanted));
}

void pool_owner::impl::FindVacantVms() {
  std::set<vm_id> closing = ClosedForService();
  for (auto it = released_.begin(); it != released_.end();) {
    closing.insert(*it);
    it = links_.count(*it) == 0 ? released_.erase(it) : std::next(it);
  }
  bool is_found = false;
  for (const vm_id& vm : closing) {
    const bool is_new = vacant_.count(vm) == 0 &&
                        recording_vacant_.count(vm) == 0 &&
                        scheduler_->IsEmpty(vm);
    is_found = (is_new && found_vacant_.insert(vm).second) || is_found;
  }
  if (is_found) {
    Kick();
  }
}

// Returns records of the VMs that were found vacant, and drops those of VMs
// whose lives have been over for a while.
std::vector<adapter::keyed_record> pool_owner::impl::TakeVacancyRecords() {
  std::vector<adapter::keyed_record> records;
  for (const vm_id& vm : found_vacant_) {
    records.push_back(Encode(vacancy_record{vm, false}));
  }
  recording_vacant_ = std::move(found_vacant_);
  found_vacant_.clear();
  const core::time_point now = BootTime();
  for (auto it = vacant_.begin(); it != vacant_.end();) {
    const vm_id vm = *it;
    ++it;
    const bool is_gone =
        links_.count(vm) == 0 && deps_.world->registry().count(vm) == 0;
    if (!is_gone) {
      gone_.erase(vm);
      continue;
    }
    const core::time_point since = gone_.try_emplace(vm, now).first->second;
    if (now - since > settings_.vacancy_memory) {
      records.push_back(Encode(vacancy_record{vm, true}));
      vacant_.erase(vm);
      gone_.erase(vm);
    }
  }
  return records;
}

void pool_owner::impl::NoteVacanciesStored() {
  for (const vm_id& vm : recording_vacant_) {
    LogEvent(job_event::kVmVacated,
             {{"vm", vm},
              {"partition", std::to_string(partition_)},
              {"reason", released_.count(vm) != 0 ? "not needed" : "service"}});
  }
  vacant_.insert(recording_vacant_.begin(), recording_vacant_.end());
  recording_vacant_.clear();
}

// Tells the owner of the fleet which VMs are vacant. An earlier owner may have
// recorded some without telling.
void pool_owner::impl::TellVacantVms() {
  using core::jobs::vacancy_reason;
  if (vacant_.empty()) {
    return;
  }
  const std::set<vm_id> for_service = ClosedForService();
  for (const vm_id& vm : vacant_) {
    const auto reason = for_service.count(vm) != 0 ? vacancy_reason::kForService
                                                   : vacancy_reason::kOffered;
    if (links_.count(vm) == 0 || !told_.emplace(vm, reason).second) {
      continue;
    }
    fleet_outbox_.Put(
        Encode(core::jobs::vacancy_hint{vm, reason, partition_, epoch_}));
  }
}

}  // namespace plantainhead::jobs
