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

/// What a pool's owner asks of its VMs and of the store.
namespace plantainhead::core::jobs {

/// One run of a task on one VM.
struct run_ref {
  vm_id vm;
  task_name task;
  std::uint32_t run = 0;

  bool operator==(const run_ref&) const = default;
};

struct start_order {
  run_ref target;
  std::shared_ptr<const job_spec> job;
  /// Empty: from the beginning.
  std::string checkpoint;
  /// The VM's lease after this order, on the VM's clock.
  duration lease_until = duration::zero();
};

struct stop_order {
  run_ref target;
};

/// Lets a task work at a share of its speed.
struct pace_order {
  run_ref target;
  std::uint32_t percent = 100;
};

using vm_order = std::variant<start_order, stop_order, pace_order>;

/// How the next hold of a VM is to be sent.
struct hold_parameters {
  std::uint64_t acknowledged_through = 0;
  /// On the VM's clock. None: the hold only looks and extends no lease.
  std::optional<duration> lease_until;
  /// How long the VM may wait for an end before it answers.
  duration wait = duration::zero();
};

/// A VM on which tasks may run.
struct known_vm {
  vm_id id;
  std::string address;

  bool operator==(const known_vm&) const = default;
};

/// Records to be stored together, in one append.
struct progress_batch {
  std::uint64_t number = 0;
  std::vector<std::pair<job_id, job_progress>> jobs;
  /// Of those among them that have ended.
  std::vector<job_result> results;
  /// VMs that will be used from now on.
  std::vector<known_vm> used_vms;
  /// VMs on which nothing can be running any more.
  std::vector<vm_id> dropped_vms;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_ORDERS_H_
