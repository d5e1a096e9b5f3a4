#ifndef PLANTAINHEAD_CORE_FLEET_JOB_PLACEMENT_H_
#define PLANTAINHEAD_CORE_FLEET_JOB_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantainhead/core/fleet/planner_context.h"
#include "plantainhead/core/fleet/task_history.h"

namespace plantainhead::core {

/// Tracks, during one plan, the free capacity of all workers and the resources
/// that each team uses. Jobs that are placed during the plan are included.
/// Thread safety: none.
class job_placement {
 public:
  /// A worker selected for a job, and what its placement requires.
  struct choice {
    const vm_view* vm = nullptr;
    /// Jobs that must be checkpointed to free capacity; empty if the worker has
    /// enough.
    std::vector<job_id> preempted;
    /// True if the job can start before the preempted jobs have left: only
    /// processors are short, and they can be overcommitted temporarily.
    bool can_start_now = true;
  };

  job_placement(const planner_context& context, const task_history& history);

  /// Returns a worker with enough free capacity for the job, or nothing.
  /// Prefers workers that no running wave has still to reboot, then the worker
  /// with the least free capacity.
  std::optional<choice> Find(const job_requirements& spec);

  /// Returns true if `Find` has already found that no worker has capacity for a
  /// job of this pool and size. Avoids repeating the search for each job of a
  /// long queue.
  bool IsKnownFull(const job_requirements& spec) const;

  /// Returns a worker on which an urgent job can be placed by preempting jobs
  /// that can wait, or nothing.
  std::optional<choice> FindByPreemption(const job_requirements& spec) const;

  /// Reserves capacity for a job on a worker.
  void Place(const job_requirements& spec, const vm_id& vm);

  /// Returns why no worker of the job's pool could run the job even if it were
  /// idle, or an empty string.
  std::string UnplaceableReason(const job_requirements& spec) const;

  /// Returns why the quota of the job's team prevents its start, or an empty
  /// string.
  std::string QuotaExceededReason(const job_requirements& spec) const;

 private:
  struct worker {
    const vm_view* vm = nullptr;
    std::int64_t processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    bool awaits_wave = false;
    /// Jobs that occupy the worker, including those that are being
    /// checkpointed.
    std::vector<job_id> jobs;
  };
  struct team_use {
    std::uint32_t accelerators = 0;
    std::set<vm_id> vms;
  };

  void AddWorkers();
  void AddJobs();
  void AddTeamPools();
  void Occupy(const job_requirements& spec, const vm_id& vm, const job_id& job);
  /// Returns true if the job failed on the worker or was recently refused by
  /// it.
  bool IsAvoided(const job_id& job, const vm_id& vm) const;
  const team_spec* FindTeam(const team_id& team) const;
  /// Returns true if the quota of the team allows one of its jobs to run on the
  /// VM.
  bool TeamMayUse(const team_id& team, const vm_id& vm) const;
  static bool Fits(const worker& item, const job_size& size);
  static bool FitsButProcessors(const worker& item, const job_size& size);
  std::optional<choice> Preempt(const worker& item, const job_size& size) const;

  const planner_context& context_;
  const task_history& history_;
  std::map<vm_id, worker> workers_;
  std::map<pool_id, std::vector<worker*>> by_pool_;
  std::map<team_id, team_use> teams_;
  std::map<team_id, const team_spec*> team_specs_;
  std::set<std::pair<pool_id, job_size>> full_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_CORE_FLEET_JOB_PLACEMENT_H_
