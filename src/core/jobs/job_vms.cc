#include "core/jobs/job_vms.h"

#include <algorithm>

#include "core/jobs/vm_state.h"

namespace plantainhead::core::jobs {

void job_vms::Add(const job_id& job, vm_state* vm) {
  by_job_[job].push_back(vm);
}

void job_vms::Remove(const job_id& job, vm_state* vm) {
  const auto found = by_job_.find(job);
  std::vector<vm_state*>& vms = found->second;
  *std::find(vms.begin(), vms.end(), vm) = vms.back();
  vms.pop_back();
  if (vms.empty()) {
    by_job_.erase(found);
  }
}

std::vector<vm_state*> job_vms::Of(const job_id& job) const {
  const auto found = by_job_.find(job);
  if (found == by_job_.end()) {
    return {};
  }
  std::vector<vm_state*> vms = found->second;
  std::sort(vms.begin(), vms.end(), by_number());
  return vms;
}

}  // namespace plantainhead::core::jobs
