#include "jobs/pool_owner_impl.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"

namespace plantainhead::jobs {

using core::jobs::vacancy_reason;
using core::jobs::vm_id;

void pool_owner::impl::OnFleetRecords() {
  if (scheduler_) {
    vacancies_.UpdateForService(ClosedForService());
    CloseVms();
    Kick();
  }
}

// Looks through all records of the fleet: for each change of them, not for each
// plan.
std::set<vm_id> pool_owner::impl::ClosedForService() const {
  std::set<vm_id> closed;
  for (const auto& [key, value] : deps_.world->fleet_records()) {
    if (const auto vm = ClosedVmOf(key)) {
      closed.insert(*vm);
    }
  }
  return closed;
}

void pool_owner::impl::CloseVms() {
  const std::set<vm_id> closed = vacancies_.Closed();
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
  const auto sizing = Meter(loop_work::kSizing);
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
        sizes_.try_emplace(pool.id, settings_.sizer, settings_.arrivals);
    load.rising = size->second.arrivals.RisingDemand(now);
    load.rising_jobs = size->second.arrivals.recent_jobs();
    core::jobs::pool_sizer& sizer = size->second.sizer;
    const bool is_scarce = IsScarce(pool.id);
    const std::uint32_t wanted = sizer.Update(load, is_scarce, now);
    if (sizer.MayShrink(is_scarce, now) && Resize(pool.id, load, wanted)) {
      load.usable_vms = scheduler_->Load(pool.id, now).usable_vms;
    }
    TellWanted(pool.id, &size->second, load, wanted, now);
  }
}

bool pool_owner::impl::Resize(const core::jobs::pool_id& pool,
                              const core::jobs::pool_load& load,
                              std::uint32_t wanted) {
  const bool is_changed = vacancies_.Resize(
      pool, load, wanted,
      [&](std::uint32_t count) { return scheduler_->LeastUsed(pool, count); });
  if (is_changed) {
    CloseVms();
    Kick();
  }
  return is_changed;
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
            {"closed", std::to_string(load.stages.closed)},
            {"unheard", std::to_string(load.stages.unheard)},
            {"unrecorded", std::to_string(load.stages.unrecorded)},
            {"untrusted", std::to_string(load.stages.untrusted)},
            {"vm_copy_ms", MillisOf(deps_.world->RegistryCopyAge())},
            {"fleet_copy_ms", MillisOf(deps_.world->FleetCopyAge())},
            {"rising_millis", std::to_string(load.rising.cpu_millis)},
            {"used_millis", std::to_string(load.used.cpu_millis)},
            {"waiting_millis", std::to_string(load.waiting.cpu_millis)}});
  fleet_outbox_.Put(EncodeWantedVms(pool, wanted));
}

bool pool_owner::impl::IsLinked(const vm_id& vm) const {
  return links_.count(vm) != 0;
}

void pool_owner::impl::FindVacantVms() {
  const bool is_found = vacancies_.FindVacant(
      [this](const vm_id& vm) { return IsLinked(vm); },
      [this](const vm_id& vm) { return scheduler_->IsEmpty(vm); });
  if (is_found) {
    Kick();
  }
}

// Returns records of the VMs that were found vacant, and drops those of VMs
// whose lives have been over for a while.
std::vector<adapter::keyed_record> pool_owner::impl::TakeVacancyRecords() {
  const core::jobs::vacancy_batch batch = vacancies_.TakeBatch(
      [this](const vm_id& vm) {
        return IsLinked(vm) || deps_.world->registry().IsListed(vm);
      },
      BootTime());
  std::vector<adapter::keyed_record> records;
  for (const vm_id& vm : batch.vacant) {
    records.push_back(Encode(vacancy_record{vm, false}));
  }
  for (const vm_id& vm : batch.dropped) {
    records.push_back(Encode(vacancy_record{vm, true}));
  }
  return records;
}

void pool_owner::impl::NoteVacanciesStored() {
  for (const core::jobs::vacant_vm& vacant : vacancies_.NoteStored()) {
    const bool is_offered = vacant.reason == vacancy_reason::kOffered;
    observe::log_fields fields = {
        {"vm", vacant.vm},
        {"partition", std::to_string(partition_)},
        {"reason", is_offered ? "not needed" : "service"}};
    if (const auto closed_at = scheduler_->ClosedAt(vacant.vm)) {
      AppendAge("closed_ms_ago", *closed_at, &fields);
    }
    LogEvent(job_event::kVmVacated, fields);
  }
}

// Tells the owner of the fleet which VMs are vacant.
void pool_owner::impl::TellVacantVms() {
  const std::vector<core::jobs::vacant_vm> hints = vacancies_.TakeHints(
      [this](const vm_id& vm) { return IsLinked(vm); },
      [this](const core::jobs::vacant_vm& vacant) {
        return deps_.world->fleet_records().count(HintOf(vacant).key) != 0;
      },
      BootTime());
  for (const core::jobs::vacant_vm& vacant : hints) {
    fleet_outbox_.Put(HintOf(vacant));
  }
}

adapter::keyed_record pool_owner::impl::HintOf(
    const core::jobs::vacant_vm& vacant) const {
  return Encode(
      core::jobs::vacancy_hint{vacant.vm, vacant.reason, partition_, epoch_});
}

}  // namespace plantainhead::jobs
