#ifndef PLANTAINHEAD_CORE_JOBS_ORDERS_H_
#define PLANTAINHEAD_CORE_JOBS_ORDERS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "plantainhead/core/jobs/job_result.h"
#include "plantainhead/core/jobs/job_types.h"
#include "plantainhead/core/jobs/vm_reports.h"
#include "plantainhead/core/time.h"

/// Defines the orders that the owner of a pool sends to VMs, and the records
/// that it stores.
namespace plantainhead::core::jobs {

/// Identifies one run of a task on one VM.
struct run_ref {
  vm_id vm;
  task_name task;
  std::uint32_t run = 0;

  bool operator==(const run_ref&) const = default;
};

/// Orders a VM to start a task.
struct start_order {
  run_ref target;
  /// The incarnation for which the order was made. No other one must receive
  /// it. Empty: unknown.
  vm_incarnation incarnation;
  std::shared_ptr<const job_spec> job;
  /// The checkpoint from which the task resumes. Empty: it starts from the
  /// beginning.
  std::string checkpoint;
  /// The end of the VM's lease once it accepts this order, on the VM's clock.
  duration lease_until = duration::zero();
};

/// Orders a VM to stop a task.
struct stop_order {
  run_ref target;
  /// See `start_order`.
  vm_incarnation incarnation = std::nullopt;
};

/// Orders a VM to limit a task to a percentage of its full speed.
struct pace_order {
  run_ref target;
  /// See `start_order`.
  vm_incarnation incarnation;
  std::uint32_t percent = 100;
};

/// An order to a VM.
using vm_order = std::variant<start_order, stop_order, pace_order>;

/// The parameters of the next hold of a VM. A hold is a long-polling call that
/// renews the lease of a VM and returns its running and ended tasks.
struct hold_parameters {
  /// See `start_order`.
  vm_incarnation incarnation;
  std::uint64_t acknowledged_through = 0;
  /// The end of the lease, on the VM's clock. Empty: the hold only reads the
  /// state of the VM and does not extend its lease.
  std::optional<duration> lease_until;
  /// How long the VM may wait for a task to end before it answers.
  duration wait = duration::zero();
};

/// A recorded VM, on which tasks may be running.
struct known_vm {
  vm_id id;
  std::string address;

  bool operator==(const known_vm&) const = default;
};

/// A set of records that are stored together, in one append.
struct progress_batch {
  std::uint64_t number = 0;
  std::vector<std::pair<job_id, job_progress>> jobs;
  /// Those jobs in `jobs` that start no further tasks since their progress
  /// would not fit into a record.
  std::vector<job_id> full_jobs;
  /// The results of those jobs in `jobs` that have ended.
  std::vector<job_result> results;
  /// VMs on which tasks may be started once this batch is stored.
  std::vector<known_vm> used_vms;
  /// VMs on which no task can be running any more.
  std::vector<vm_id> dropped_vms;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_ORDERS_H_
