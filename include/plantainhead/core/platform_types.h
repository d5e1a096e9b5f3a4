#ifndef PLANTAINHEAD_CORE_PLATFORM_TYPES_H_
#define PLANTAINHEAD_CORE_PLATFORM_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/names.h"
#include "plantainhead/core/time.h"

/// Types of the platform interface: VM and task listings, and operations.
namespace plantainhead::core {

/// State of a VM in the platform's VM list, which lags behind the actual state.
enum class vm_listing_state { kLive, kLeaving };

inline constexpr name_table<vm_listing_state, 2> kVmListingStateNames = {{
    {vm_listing_state::kLive, "live"},
    {vm_listing_state::kLeaving, "leaving"},
}};
inline constexpr const auto& NamesOf(vm_listing_state) {
  return kVmListingStateNames;
}

/// One entry of the platform's VM list. A VM serves at most one endpoint.
struct vm_listing {
  vm_id vm;
  vm_listing_state state = vm_listing_state::kLive;
  region_id region;
  zone_id zone;
  rack_id rack;
  std::uint32_t processors = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  /// Pool that the platform reports for the VM. Plantainhead's own records take
  /// precedence.
  pool_id pool;
  /// Address of the endpoint. The port is 0 if the VM serves no endpoint.
  std::string host;
  std::uint16_t port = 0;
  service_name service;
  /// Number of requests that the endpoint processes concurrently.
  std::uint32_t slots = 0;

  friend bool operator==(const vm_listing&, const vm_listing&) = default;
};

/// State of a task as its worker reports it.
enum class task_state {
  kRunning,
  kCheckpointed,
  kFinished,
  kFailed,
  kLeaseExpired
};

inline constexpr name_table<task_state, 5> kTaskStateNames = {{
    {task_state::kRunning, "running"},
    {task_state::kCheckpointed, "checkpointed"},
    {task_state::kFinished, "finished"},
    {task_state::kFailed, "failed"},
    {task_state::kLeaseExpired, "lapsed"},
}};
inline constexpr const auto& NamesOf(task_state) {
  return kTaskStateNames;
}

/// One entry of the platform's task list, which lags behind the actual state.
struct task_listing {
  job_id job;
  vm_id vm;
  operation_id started_by;
  task_state state = task_state::kRunning;
  std::uint32_t processors_used = 0;
  std::uint32_t memory_used_mb = 0;
  std::string detail;

  friend bool operator==(const task_listing&, const task_listing&) = default;
};

/// Asks the VM's runner to accept no new work and to complete its running work.
struct drain_vm {
  vm_id vm;
};
struct reboot_vm {
  vm_id vm;
};
/// Informs the platform of the pool that a VM is assigned to.
struct move_vm {
  vm_id vm;
  pool_id pool;
};
/// Starts a job as a task whose lease of length `lease` must be renewed.
struct start_task {
  job_id job;
  vm_id vm;
  std::uint32_t processors = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  duration lease{};
};
struct renew_task {
  job_id job;
  vm_id vm;
  duration lease{};
};
struct checkpoint_task {
  job_id job;
  vm_id vm;
};
/// Limits a task to `percent` percent of its processors.
struct throttle_task {
  job_id job;
  vm_id vm;
  std::uint32_t percent = 100;
};
struct stop_task {
  job_id job;
  vm_id vm;
};

using platform_operation = std::variant<drain_vm,
                                        reboot_vm,
                                        move_vm,
                                        start_task,
                                        renew_task,
                                        checkpoint_task,
                                        throttle_task,
                                        stop_task>;

/// Result of a platform operation.
enum class operation_result {
  kDone,
  /// The platform rejected the operation; a retry will not succeed.
  kRefused,
  /// It is unknown whether the operation took effect. It can be retried with
  /// the same id.
  kUnknown,
};

inline constexpr name_table<operation_result, 3> kOperationResultNames = {{
    {operation_result::kDone, "done"},
    {operation_result::kRefused, "refused"},
    {operation_result::kUnknown, "unknown"},
}};
inline constexpr const auto& NamesOf(operation_result) {
  return kOperationResultNames;
}

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_PLATFORM_TYPES_H_
