#ifndef PLANTAINHEAD_SRC_JOBS_FLEET_RECORDS_H_
#define PLANTAINHEAD_SRC_JOBS_FLEET_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/maintenance.h"
#include "plantainhead/core/jobs/record_faults.h"
#include "plantainhead/core/jobs/vacancy_checker.h"
#include "plantainhead/core/jobs/vacancy_manager.h"
#include "platform/store_client.h"

/// What the fleet's owner and the pools' owners tell each other through the
/// store: the first asks for a VM to be emptied, the second tells when it is.
namespace plantainhead::jobs {

adapter::keyed_record EncodeClosedVm(const core::jobs::vm_id& vm);
/// Take the records back.
adapter::keyed_record DropClosedVm(const core::jobs::vm_id& vm);
adapter::keyed_record DropEmptyVm(const core::jobs::vm_id& vm);

/// An owner of a pool has recorded that the VM is vacant.
adapter::keyed_record Encode(const core::jobs::vacancy_hint& hint);
adapter::keyed_record DropOfferedVm(const core::jobs::vm_id& vm);
/// How many VMs a pool should have, and whether it has fewer.
struct wanted_vms {
  std::uint32_t count = 0;
  bool is_short = false;

  bool operator==(const wanted_vms&) const = default;
};

adapter::keyed_record EncodeWantedVms(const core::jobs::pool_id& pool,
                                      const wanted_vms& wanted);

struct serviced_host {
  std::uint64_t wave = 0;
  core::jobs::host_id host;
};

/// The host was taken down for the wave.
adapter::keyed_record EncodeServicedHost(const serviced_host& serviced);
/// All hosts of the wave were.
adapter::keyed_record EncodeCompletedWave(std::uint64_t wave);

/// Returns what is wrong with a record of the fleet's topic, if anything.
std::optional<core::jobs::record_fault> FaultOfFleetRecord(
    const adapter::keyed_record& record);

/// Return the VM that a record's key names, if it is of this kind.
std::optional<core::jobs::vm_id> ClosedVmOf(const std::string& key);
/// Returns of which VM a hint under the key tells, and why; nothing for others.
std::optional<core::jobs::vacant_vm> HintedVmOf(const std::string& key);
std::optional<core::jobs::vm_id> OfferedVmOf(const std::string& key);
/// Returns nothing when the record is of another kind, or malformed.
std::optional<core::jobs::vacancy_hint> DecodeVacancyHint(
    const std::string& key,
    const std::string& value);
/// Returns the pool whose wanted VMs the record tells.
std::optional<core::jobs::pool_id> WantingPoolOf(const std::string& key);
wanted_vms DecodeWantedVms(const std::string& value);
std::optional<serviced_host> ServicedHostOf(const std::string& key);
std::optional<std::uint64_t> CompletedWaveOf(const std::string& key);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FLEET_RECORDS_H_
