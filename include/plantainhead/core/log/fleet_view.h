#ifndef PLANTAINHEAD_CORE_LOG_FLEET_VIEW_H_
#define PLANTAINHEAD_CORE_LOG_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <vector>

#include "plantainhead/core/fleet/phase_watch.h"
#include "plantainhead/core/fleet/planner_types.h"
#include "plantainhead/core/log/record_gate.h"

namespace plantainhead::core {

/// Returns true while the job has a worker that may run its task.
/// Thread safety: safe from any thread while nobody writes the job.
inline bool HoldsTask(const fleet_job& job) {
  return job.state == job_status::kPlaced ||
         job.state == job_status::kCheckpointing;
}

/// One VM as the fold and the platform's list show it together.
struct vm_view {
  vm_id id;
  /// Null for a VM that the fold doesn't know yet.
  const fleet_vm* state = nullptr;
  /// Null for a VM that is not on the list.
  const vm_listing* listing = nullptr;
  /// What this entry has seen of it; null for one not seen yet.
  const phase_watch::sight* seen = nullptr;
  /// Where it is, or was when it was listed last.
  zone_id zone;
  rack_id rack;
  /// Requests in flight as far as they were reported.
  std::uint32_t in_flight = 0;
  /// Jobs that the fold has placed on it.
  std::uint32_t jobs = 0;
  bool healthy = true;
  /// A record about it has been appended and not yet read back.
  bool is_pending = false;

  /// True when the list shows it live.
  bool listed_live() const {
    return listing != nullptr && listing->state == vm_listing_state::kLive;
  }
  /// True when the fold wants it to serve.
  bool serving() const {
    return state != nullptr && state->phase == vm_phase::kServing;
  }
  /// True when it takes work and nothing is about to change that.
  bool available() const {
    return serving() && !state->quarantined && listed_live() && healthy &&
           !is_pending;
  }
  /// True when it is out of work though nobody asked for it.
  bool is_lost() const {
    return serving() && !state->quarantined && (!listed_live() || !healthy);
  }
};

/// One pool with its VMs.
struct pool_view {
  const pool_spec* spec = nullptr;
  std::vector<const vm_view*> vms;
  std::uint32_t available = 0;
  /// VMs that hold jobs, and jobs that wait for a worker of the pool.
  std::uint32_t with_jobs = 0;
  std::uint32_t waiting_jobs = 0;
};

/// The fold and the list joined, for one plan. It points into the inputs, which
/// must outlive it. Thread safety: none.
class fleet_view {
 public:
  fleet_view(const planner_inputs& inputs,
             const phase_watch& watch,
             const record_gate& gate,
             time_point now);

  fleet_view(const fleet_view&) = delete;
  fleet_view& operator=(const fleet_view&) = delete;

  const std::map<vm_id, vm_view>& vms() const { return vms_; }
  const std::map<pool_id, pool_view>& pools() const { return pools_; }

  /// Jobs that wait for a worker.
  const std::vector<const fleet_job*>& waiting() const { return waiting_; }

  /// Changes with every record about a VM or a job: the sum of their
  /// generations, which only grow.
  generation work_version() const { return work_version_; }

  /// Returns the VM, or null.
  const vm_view* FindVm(const vm_id& id) const;
  /// Returns the pool if the configuration has it, or null.
  const pool_view* FindPool(const pool_id& id) const;

 private:
  void JoinVms(const planner_inputs& inputs);
  void JoinReports(const planner_inputs& inputs);
  void JoinObservations(const phase_watch& watch,
                        const record_gate& gate,
                        time_point now);
  void FillPools(const planner_inputs& inputs);
  vm_view* FindMutable(const vm_id& id);

  std::map<vm_id, vm_view> vms_;
  std::map<pool_id, pool_view> pools_;
  std::vector<const fleet_job*> waiting_;
  generation work_version_ = 0;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_LOG_FLEET_VIEW_H_
