#ifndef PLANTAINHEAD_CORE_LOG_FLEET_VIEW_H_
#define PLANTAINHEAD_CORE_LOG_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <vector>

#include "plantainhead/core/fleet/phase_tracker.h"
#include "plantainhead/core/fleet/planner_types.h"
#include "plantainhead/core/log/record_gate.h"

namespace plantainhead::core {

/// Returns true while the job is placed on a VM that may run its task. Thread
/// safety: safe from any thread while no thread writes the job.
inline bool HoldsTask(const fleet_job& job) {
  return job.state == job_status::kPlaced ||
         job.state == job_status::kCheckpointing;
}

/// One VM with its data from the fleet state and from the platform's list.
struct vm_view {
  vm_id id;
  /// Null if the fleet state does not contain the VM yet.
  const fleet_vm* state = nullptr;
  /// Null if the platform does not list the VM.
  const vm_listing* listing = nullptr;
  /// Observations of the VM by this entry; null if there are none yet.
  const phase_tracker::observation* seen = nullptr;
  /// Current location, or the location when the VM was last listed.
  zone_id zone;
  rack_id rack;
  /// Reported number of requests in flight at the VM.
  std::uint32_t in_flight = 0;
  /// Number of jobs placed on the VM in the fleet state.
  std::uint32_t jobs = 0;
  bool healthy = true;
  /// True while a record about the VM has been appended but not read back.
  bool is_pending = false;

  /// Returns true if the platform lists the VM as live.
  bool listed_live() const {
    return listing != nullptr && listing->state == vm_listing_state::kLive;
  }
  /// Returns true if the VM's phase in the fleet state is serving.
  bool serving() const {
    return state != nullptr && state->phase == vm_phase::kServing;
  }
  /// Returns true if the VM accepts work and no record that changes it is
  /// pending.
  bool available() const {
    return serving() && !state->quarantined && listed_live() && healthy &&
           !is_pending;
  }
  /// Returns true if the VM should serve but is not live or not healthy.
  bool is_lost() const {
    return serving() && !state->quarantined && (!listed_live() || !healthy);
  }
};

/// One configured pool with its VMs.
struct pool_view {
  const pool_spec* spec = nullptr;
  std::vector<const vm_view*> vms;
  std::uint32_t available = 0;
  /// Number of VMs that hold jobs, and number of jobs that wait for a worker of
  /// the pool.
  std::uint32_t with_jobs = 0;
  std::uint32_t waiting_jobs = 0;
};

/// Joins the fleet state with the platform's list for one planning round. It
/// holds pointers into the inputs, which must outlive it. Thread safety: none.
class fleet_view {
 public:
  fleet_view(const planner_inputs& inputs,
             const phase_tracker& watch,
             const record_gate& gate,
             time_point now);

  fleet_view(const fleet_view&) = delete;
  fleet_view& operator=(const fleet_view&) = delete;

  const std::map<vm_id, vm_view>& vms() const { return vms_; }
  const std::map<pool_id, pool_view>& pools() const { return pools_; }

  /// Jobs that wait for placement on a worker.
  const std::vector<const fleet_job*>& waiting() const { return waiting_; }

  /// Version that changes with every record about a VM or a job: the sum of
  /// their generations, which only increase.
  generation work_version() const { return work_version_; }

  /// Returns the VM, or null if it is unknown.
  const vm_view* FindVm(const vm_id& id) const;
  /// Returns the pool, or null if the configuration does not define it.
  const pool_view* FindPool(const pool_id& id) const;

 private:
  void JoinVms(const planner_inputs& inputs);
  void JoinReports(const planner_inputs& inputs);
  void JoinObservations(const phase_tracker& watch,
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
