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

/// The room on all workers and what teams hold, for one plan. Jobs that are
/// placed during the plan are added to it. Thread safety: none.
class job_placement {
 public:
  /// How a worker was found for a job.
  struct choice {
    const vm_view* vm = nullptr;
    /// Jobs that must be checkpointed to make room; empty when there is room.
    std::vector<job_id> preempted;
    /// True when the job can start before they have gone: only processors are
    /// short, and those can be shared for a while.
    bool can_start_now = true;
  };

  job_placement(const planner_context& context, const task_history& history);

  /// Returns a worker with room for the job, or nothing. Among several it takes
  /// one that no wave has still to reboot, then the one with the least room.
  std::optional<choice> Find(const job_requirements& spec);

  /// Returns true if `Find` has met a job of this pool and size for which no
  /// worker had room; a long queue need not search again for each.
  bool IsKnownFull(const job_requirements& spec) const;

  /// Returns a worker where an urgent job gets room at the expense of jobs that
  /// can wait, or nothing.
  std::optional<choice> FindByPreemption(const job_requirements& spec) const;

  /// Takes the room for a job on a worker.
  void Place(const job_requirements& spec, const vm_id& vm);

  /// Returns why no worker of its pool could hold the job even if it were idle,
  /// or nothing.
  std::string UnplaceableReason(const job_requirements& spec) const;

  /// Returns why the quota of the job's team doesn't let it start, or nothing.
  std::string QuotaExceededReason(const job_requirements& spec) const;

 private:
  struct worker {
    const vm_view* vm = nullptr;
    std::int64_t processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    bool awaits_wave = false;
    /// Jobs that hold it, with those that have yet to leave.
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
  /// Returns true if the job failed on the worker or was refused by it lately.
  bool IsAvoided(const job_id& job, const vm_id& vm) const;
  const team_spec* FindTeam(const team_id& team) const;
  /// Returns true if the team's quota lets a job of it run on the VM.
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
