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
    ApplyFleetRecord(key);
  }
  CloseVms();
  SchedulePlan();
}

void pool_owner::impl::ApplyFleetRecord(const std::string& key) {
  const auto& records = deps_.view->fleet_records();
  const auto record = records.find(key);
  const bool exists = record != records.end();
  if (const auto vm = ClosedVmOf(key)) {
    vacancy_manager_.NoteForService(*vm, exists);
  } else if (const auto hinted = HintedVmOf(key)) {
    vacancy_manager_.NoteHintShown(*hinted, exists);
  } else if (const auto pool = WantedVmsPoolOf(key)) {
    if (exists && DecodeWantedVms(record->second).is_undersized) {
      undersized_pools_.insert(*pool);
    } else {
      undersized_pools_.erase(*pool);
    }
  }
}

void pool_owner::impl::CloseVms() {
  for (const vm_id& vm : vacancy_manager_.TakeChanged()) {
    SyncClosed(vm);
  }
}

void pool_owner::impl::SyncClosed(const vm_id& vm) {
  if (vacancy_manager_.IsClosed(vm)) {
    scheduler_->CloseVm(vm, BootTime());
    const bool is_held = links_.count(vm) != 0;
    vacancy_manager_.NotePresence(
        vm, {is_held, is_held || deps_.view->registry().IsListed(vm)},
        BootTime());
  } else {
    scheduler_->OpenVm(vm);
  }
}

// Publishes how many VMs each pool wants to the fleet owner, and offers the VMs
// that a pool does not need.
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
        pool_sizings_.try_emplace(pool.id, settings_.sizer, settings_.arrivals);
    load.rising = size->second.arrivals.RisingDemand(now);
    load.rising_jobs = size->second.arrivals.recent_jobs();
    core::jobs::pool_sizer& sizer = size->second.sizer;
    const bool is_scarce = IsScarce(pool.id);
    const std::uint32_t wanted = sizer.Update(load, is_scarce, now);
    if (sizer.MayShrink(is_scarce, now) && Resize(pool.id, load, wanted)) {
      load.usable_vms = scheduler_->Load(pool.id, now).usable_vms;
    }
    PublishWantedVms(pool.id, &size->second, load, wanted, now);
  }
}

bool pool_owner::impl::Resize(const core::jobs::pool_id& pool,
                              const core::jobs::pool_load& load,
                              std::uint32_t wanted) {
  const bool is_changed = vacancy_manager_.Resize(
      pool, load, wanted,
      [&](std::uint32_t count) { return scheduler_->LeastUsed(pool, count); });
  if (is_changed) {
    CloseVms();
    SchedulePlan();
  }
  return is_changed;
}

bool pool_owner::impl::IsScarce(const core::jobs::pool_id& except) const {
  return undersized_pools_.size() > undersized_pools_.count(except);
}

void pool_owner::impl::PublishWantedVms(const core::jobs::pool_id& pool,
                                        pool_sizing* size,
                                        const core::jobs::pool_load& load,
                                        std::uint32_t count,
                                        core::time_point now) {
  const wanted_vms wanted{count, load.usable_vms < count};
  if (wanted == size->published ||
      now - size->published_at < settings_.min_wanted_interval) {
    return;
  }
  size->published = wanted;
  size->published_at = now;
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

void pool_owner::impl::UpdateEmptiedVms() {
  for (const vm_id& vm : scheduler_->TakeEmptied()) {
    if (vacancy_manager_.NoteEmpty(vm)) {
      SchedulePlan();
    }
  }
}

// Returns records of the VMs that were found vacant, and the removals for VMs
// whose incarnations ended a while ago.
std::vector<adapter::keyed_record> pool_owner::impl::TakeVacancyRecords() {
  const core::jobs::vacancy_batch batch =
      vacancy_manager_.TakeBatch(BootTime());
  // Removed VMs are used again if they return.
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

void pool_owner::impl::OnVacanciesStored() {
  for (const core::jobs::vacant_vm& vacant : vacancy_manager_.NoteStored()) {
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

// Publishes to the fleet owner which VMs are vacant.
void pool_owner::impl::PublishVacantVms() {
  for (const core::jobs::vacant_vm& vacant :
       vacancy_manager_.TakeHints(BootTime())) {
    fleet_outbox_.Put(MakeHint(vacant));
  }
}

adapter::keyed_record pool_owner::impl::MakeHint(
    const core::jobs::vacant_vm& vacant) const {
  return Encode(
      core::jobs::vacancy_hint{vacant.vm, vacant.reason, partition_, epoch_});
}

}  // namespace plantainhead::jobs
