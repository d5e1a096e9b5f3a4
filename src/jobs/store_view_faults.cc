#include <utility>

#include "jobs/clocks.h"
#include "jobs/fleet_records.h"
#include "jobs/store_view.h"
#include "plantainhead/core/jobs/record_faults.h"
#include "platform/configuration_codec.h"

namespace plantainhead::jobs {
namespace {

using core::jobs::fault_effect;
using core::jobs::record_use;

record_use UseOf(pool_record_kind kind) {
  switch (kind) {
    case pool_record_kind::kProgress:
      return record_use::kProgress;
    case pool_record_kind::kOwner:
      return record_use::kOwnerClaim;
    case pool_record_kind::kVm:
      return record_use::kUsedVm;
    case pool_record_kind::kVacancy:
      return record_use::kVacancy;
    case pool_record_kind::kOrder:
      return record_use::kHostOrder;
  }
  return record_use::kProgress;
}

core::jobs::decoded<core::jobs::vm_description> DecodeVmEntry(
    const adapter::keyed_record& record) {
  if (record.fault) {
    return *record.fault;
  }
  return adapter::DecodeVm(record.key, *record.value);
}

}  // namespace

void store_view::ApplyPoolFault(std::uint32_t partition,
                                const adapter::keyed_record& record,
                                const core::jobs::record_fault& fault) {
  faults_.Note(kProgressTopic, record.key, fault);
  const pool_key key = PoolKeyOf(record.key);
  switch (EffectOf(UseOf(key.kind))) {
    case fault_effect::kClaimUnknown:
      owners_[partition].is_unreadable = true;
      return;
    case fault_effect::kAssumeInUse:
      if (!core::jobs::IsValidName(key.name)) {
        return;
      }
      if (key.kind == pool_record_kind::kVm) {
        // Keeps an address that was read before.
        used_vms_[partition].try_emplace(key.name);
      } else {
        // The writer of the record may have issued an order for the host.
        ordered_hosts_[key.name] = "";
      }
      return;
    case fault_effect::kKeepPrevious:
    case fault_effect::kNoNewTasks:
      return;
  }
}

void store_view::ApplyFleetRecord(const adapter::keyed_record& record) {
  if (const auto fault = FaultOfFleetRecord(record)) {
    faults_.Note(kFleetTopic, record.key, *fault);
    return;
  }
  faults_.NoteValid(kFleetTopic, record.key);
  if (record.value) {
    fleet_records_[record.key] = *record.value;
  } else {
    fleet_records_.erase(record.key);
  }
  changed_fleet_keys_.insert(record.key);
  fleet_records_notification_.Request();
}

void store_view::ApplyRegistryRecord(const adapter::keyed_record& record) {
  const bool is_dropped = !record.value && !record.fault;
  if (is_dropped) {
    report_validity_.Drop(record.key);
    registry_.Drop(record.key);
    faults_.NoteValid(adapter::kRegistryTopic, record.key);
  } else if (auto vm = DecodeVmEntry(record)) {
    const bool is_pool_configured =
        routes_.configuration().version == 0 || routes_.HasPool(vm->pool);
    if (is_pool_configured) {
      faults_.NoteValid(adapter::kRegistryTopic, record.key);
    } else {
      // A configuration that contains the pool may still arrive.
      faults_.Note(adapter::kRegistryTopic, record.key,
                   {core::jobs::fault_kind::kUnknownName, "service"});
    }
    // The record was written after the partition was last known to be read
    // completely.
    const bool is_loaded = registry_follower_ && registry_follower_->IsLoaded();
    report_validity_.Note(
        record.key, is_loaded ? registry_follower_->CompleteAt() : BootTime());
    if (const auto until = report_validity_.TrustedUntil(record.key)) {
      listeners_.on_report(record.key, *until);
    }
    if (!registry_.Put(std::move(*vm))) {
      return;
    }
  } else {
    faults_.Note(adapter::kRegistryTopic, record.key, vm.fault());
    if (core::jobs::IsValidName(record.key)) {
      registry_.PutUnreadable(record.key);
    }
  }
  changed_vms_.insert(record.key);
  registry_notification_.Request();
}

}  // namespace plantainhead::jobs
