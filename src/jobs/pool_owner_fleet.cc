#include "jobs/pool_owner_impl.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"

namespace plantainhead::jobs {

using core::jobs::vacancy_reason;
using core::jobs::vm_id;

void pool_owner::impl::OnFleetRecords(const std::set<std::string>& keys) {
  if (!scheduler_) {
    return;
  }
  for (const std::string& key : keys) {
    TakeFleetRecord(key);
  }
  CloseVms();
  Kick();
}

void pool_owner::impl::TakeFleetRecord(const std::string& key) {
  const auto& records = deps_.view->fleet_records();
  const auto record = records.find(key);
  const bool is_there = record != records.end();
  if (const auto vm = ClosedVmOf(key)) {
    vacancies_.NoteForService(*vm, is_there);
  } else if (const auto hinted = HintedVmOf(key)) {
    vacancies_.NoteHintShown(*hinted, is_there);
  } else if (const auto pool = WantingPoolOf(key)) {
    if (is_there && DecodeWantedVms(record->second).is_short) {
      short_pools_.insert(*pool);
    } else {
      short_pools_.erase(*pool);
    }
  }
}

void pool_owner::impl::CloseVms() {
  for (const vm_id& vm : vacancies_.TakeChanged()) {
    SyncClosed(vm);
  }
}

void pool_owner::impl::SyncClosed(const vm_id& vm) {
  if (vacancies_.IsClosed(vm)) {
    scheduler_->CloseVm(vm, BootTime());
    const bool is_held = links_.count(vm) != 0;
    vacancies_.NotePresence(
        vm, {is_held, is_held || deps_.view->registry().IsListed(vm)},
        BootTime());
  } else {
    scheduler_->OpenVm(vm);
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
       deps_.view->routes().configuration().pools) {
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
  return short_pools_.size() > short_pools_.count(except);
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
            {"vm_copy_ms", MillisOf(deps_.view->RegistryCopyAge())},
            {"fleet_copy_ms", MillisOf(deps_.view->FleetCopyAge())},
            {"rising_millis", std::to_string(load.rising.cpu_millis)},
            {"used_millis", std::to_string(load.used.cpu_millis)},
            {"waiting_millis", std::to_string(load.waiting.cpu_millis)}});
  fleet_outbox_.Put(EncodeWantedVms(pool, wanted));
}

void pool_owner::impl::TakeEmptiedVms() {
  for (const vm_id& vm : scheduler_->TakeEmptied()) {
    if (vacancies_.NoteEmpty(vm)) {
      Kick();
    }
  }
}

// Returns records of the VMs that were found vacant, and drops those of VMs
// whose lives have been over for a while.
std::vector<adapter::keyed_record> pool_owner::impl::TakeVacancyRecords() {
  const core::jobs::vacancy_batch batch = vacancies_.TakeBatch(BootTime());
  // Those that are dropped are used again if they come back.
  CloseVms();
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
  for (const core::jobs::vacant_vm& vacant : vacancies_.TakeHints(BootTime())) {
    fleet_outbox_.Put(HintOf(vacant));
  }
}

adapter::keyed_record pool_owner::impl::HintOf(
    const core::jobs::vacant_vm& vacant) const {
  return Encode(
      core::jobs::vacancy_hint{vacant.vm, vacant.reason, partition_, epoch_});
}

}  // namespace plantainhead::jobs
