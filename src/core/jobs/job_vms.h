#ifndef PLANTAINHEAD_SRC_CORE_JOBS_JOB_VMS_H_
#define PLANTAINHEAD_SRC_CORE_JOBS_JOB_VMS_H_

#include <unordered_map>
#include <vector>

#include "plantainhead/core/jobs/job_types.h"

namespace plantainhead::core::jobs {

class vm_state;

/// Maps each job to the VMs that have runs of it. Not thread-safe.
class job_vms {
 public:
  /// Records the first run of the job on the VM.
  void Add(const job_id& job, vm_state* vm);
  /// Records that the last run of the job on the VM was removed. Precondition:
  /// the VM was added for the job.
  void Remove(const job_id& job, vm_state* vm);
  /// Returns the VMs in the order in which they became known to the owner.
  std::vector<vm_state*> Of(const job_id& job) const;

 private:
  std::unordered_map<job_id, std::vector<vm_state*>> by_job_;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_SRC_CORE_JOBS_JOB_VMS_H_
