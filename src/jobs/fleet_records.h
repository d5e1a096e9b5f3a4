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

/// Records by which the fleet owner and the pool owners coordinate through the
/// store: the fleet owner requests that a VM be emptied, and the pool owner
/// reports when it is empty.
namespace plantainhead::jobs {

/// Requests that the pool owner empty the VM.
adapter::keyed_record EncodeClosedVm(const core::jobs::vm_id& vm);
/// Encode the removal of such a record.
adapter::keyed_record EncodeClosedVmRemoval(const core::jobs::vm_id& vm);
adapter::keyed_record EncodeEmptyVmRemoval(const core::jobs::vm_id& vm);

/// Reports that a pool owner has recorded the VM as vacant.
adapter::keyed_record Encode(const core::jobs::vacancy_hint& hint);
adapter::keyed_record EncodeOfferedVmRemoval(const core::jobs::vm_id& vm);
/// The number of VMs that a pool wants, and whether it has fewer.
struct wanted_vms {
  std::uint32_t count = 0;
  bool is_undersized = false;

  bool operator==(const wanted_vms&) const = default;
};

adapter::keyed_record EncodeWantedVms(const core::jobs::pool_id& pool,
                                      const wanted_vms& wanted);

/// A host and the wave in which it was serviced.
struct serviced_host {
  std::uint64_t wave = 0;
  core::jobs::host_id host;
};

/// Records that the host was taken down for service in the wave.
adapter::keyed_record EncodeServicedHost(const serviced_host& serviced);
/// Records that all hosts of the wave were serviced.
adapter::keyed_record EncodeCompletedWave(std::uint64_t wave);

/// Returns the fault of a record of the fleet topic; `nullopt` if it is valid.
std::optional<core::jobs::record_fault> FaultOfFleetRecord(
    const adapter::keyed_record& record);

/// Returns the VM of a record that closes a VM; `nullopt` for other keys.
std::optional<core::jobs::vm_id> ClosedVmOf(const std::string& key);
/// Returns the VM and the reason of a vacancy hint; `nullopt` for other keys.
std::optional<core::jobs::vacant_vm> HintedVmOf(const std::string& key);
std::optional<core::jobs::vm_id> OfferedVmOf(const std::string& key);
/// Returns `nullopt` if the record is of another kind or malformed.
std::optional<core::jobs::vacancy_hint> DecodeVacancyHint(
    const std::string& key,
    const std::string& value);
/// Returns the pool of a record of wanted VMs; `nullopt` for other keys.
std::optional<core::jobs::pool_id> WantedVmsPoolOf(const std::string& key);
wanted_vms DecodeWantedVms(const std::string& value);
std::optional<serviced_host> ServicedHostOf(const std::string& key);
std::optional<std::uint64_t> CompletedWaveOf(const std::string& key);

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FLEET_RECORDS_H_
