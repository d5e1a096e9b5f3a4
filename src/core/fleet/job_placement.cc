#include "plantainhead/core/fleet/job_placement.h"

#include <algorithm>
#include <tuple>

namespace plantainhead::core {
namespace {

/// Factor by which processors may be overcommitted for an urgent job while jobs
/// that can wait are being checkpointed.
constexpr std::int64_t kProcessorOvercommit = 2;

}  // namespace

job_placement::job_placement(const planner_context& context,
                             const task_history& history)
    : context_(context), history_(history) {
  for (const team_spec& spec : context.inputs.state.targets.teams) {
    team_specs_[spec.name] = &spec;
  }
  AddWorkers();
  AddTeamPools();
  AddJobs();
}

void job_placement::AddWorkers() {
  std::map<pool_id, std::vector<const fleet_wave*>> waves;
  for (const auto& [id, wave] : context_.inputs.state.waves) {
    if (wave.state != wave_state::kRunning) {
      continue;
    }
    for (const pool_id& pool : wave.pools) {
      waves[pool].push_back(&wave);
    }
  }
  for (const auto& [id, vm] : context_.view.vms()) {
    if (vm.state == nullptr || vm.listing == nullptr) {
      continue;
    }
    worker& item = workers_.try_emplace(workers_.end(), id)->second;
    item.vm = &vm;
    item.processors = vm.listing->processors;
    item.memory_mb = vm.listing->memory_mb;
    item.accelerators = vm.listing->accelerators;
    const auto found = waves.find(vm.state->pool);
    if (found != waves.end()) {
      item.awaits_wave = std::any_of(
          found->second.begin(), found->second.end(),
          [&id = id](const fleet_wave* w) { return !w->visited.contains(id); });
    }
    by_pool_[vm.state->pool].push_back(&item);
  }
}

void job_placement::AddTeamPools() {
  for (const auto& [name, pool] : context_.view.pools()) {
    if (pool.spec->team.empty()) {
      continue;
    }
    team_use& use = teams_[pool.spec->team];
    for (const vm_view* vm : pool.vms) {
      use.vms.insert(use.vms.end(), vm->id);
    }
  }
}

void job_placement::AddJobs() {
  for (const auto& [id, job] : context_.inputs.state.jobs) {
    if (HoldsTask(job)) {
      Occupy(job.spec, job.vm, id);
    }
  }
}

void job_placement::Place(const job_requirements& spec, const vm_id& vm) {
  Occupy(spec, vm, spec.name);
}

void job_placement::Occupy(const job_requirements& spec,
                           const vm_id& vm,
                           const job_id& job) {
  team_use& use = teams_[spec.team];
  use.accelerators += spec.accelerators;
  use.vms.insert(vm);
  const auto found = workers_.find(vm);
  if (found == workers_.end()) {
    return;
  }
  const job_size size = history_.SizeOf(spec);
  found->second.processors -= size.processors;
  found->second.memory_mb -= size.memory_mb;
  found->second.accelerators -= size.accelerators;
  found->second.jobs.push_back(job);
}

bool job_placement::Fits(const worker& item, const job_size& size) {
  return FitsButProcessors(item, size) && item.processors >= size.processors;
}

bool job_placement::FitsButProcessors(const worker& item,
                                      const job_size& size) {
  return item.memory_mb >= size.memory_mb &&
         item.accelerators >= size.accelerators;
}

std::optional<job_placement::choice> job_placement::Find(
    const job_requirements& spec) {
  const auto pool = by_pool_.find(spec.pool);
  if (pool == by_pool_.end()) {
    return std::nullopt;
  }
  const job_size size = history_.SizeOf(spec);
  const worker* best = nullptr;
  bool has_room = false;
  const auto key = [](const worker& item) {
    return std::make_tuple(item.awaits_wave, item.accelerators, item.processors,
                           item.memory_mb);
  };
  for (const worker* item : pool->second) {
    if (!item->vm->available() || !Fits(*item, size)) {
      continue;
    }
    has_room = true;
    if (IsAvoided(spec.name, item->vm->id) ||
        !TeamMayUse(spec.team, item->vm->id)) {
      continue;
    }
    if (best == nullptr || key(*item) < key(*best)) {
      best = item;
    }
  }
  if (!has_room) {
    full_.emplace(spec.pool, size);
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return choice{best->vm, {}, true};
}

std::optional<job_placement::choice> job_placement::FindByPreemption(
    const job_requirements& spec) const {
  const auto pool = by_pool_.find(spec.pool);
  if (pool == by_pool_.end()) {
    return std::nullopt;
  }
  const job_size size = history_.SizeOf(spec);
  std::optional<choice> best;
  const auto key = [](const choice& item) {
    return std::make_tuple(!item.can_start_now, item.preempted.size());
  };
  for (const worker* item : pool->second) {
    if (!item->vm->available() || IsAvoided(spec.name, item->vm->id) ||
        !TeamMayUse(spec.team, item->vm->id)) {
      continue;
    }
    const std::optional<choice> found = Preempt(*item, size);
    if (found && (!best || key(*found) < key(*best))) {
      best = found;
    }
  }
  return best;
}

std::optional<job_placement::choice> job_placement::Preempt(
    const worker& item,
    const job_size& size) const {
  const std::int64_t all = item.vm->listing->processors;
  const bool can_start_now =
      FitsButProcessors(item, size) &&
      size.processors <= item.processors + all * (kProcessorOvercommit - 1);
  worker left = item;
  std::vector<std::pair<time_point, job_id>> waiting;
  for (const job_id& id : item.jobs) {
    const auto job = context_.inputs.state.jobs.find(id);
    if (job == context_.inputs.state.jobs.end() || job->second.spec.urgent) {
      continue;
    }
    if (job->second.state == job_status::kCheckpointing) {
      // It is already being checkpointed and will free its resources.
      const job_size gone = history_.SizeOf(job->second.spec);
      left.processors += gone.processors;
      left.memory_mb += gone.memory_mb;
      left.accelerators += gone.accelerators;
    } else if (job->second.state == job_status::kPlaced) {
      const time_point by = job->second.spec.finish_by;
      waiting.emplace_back(by == time_point() ? time_point::max() : by, id);
    }
  }
  // Jobs with the latest deadlines are preempted first.
  std::sort(waiting.rbegin(), waiting.rend());
  choice found{item.vm, {}, can_start_now};
  for (const auto& [by, id] : waiting) {
    if (Fits(left, size)) {
      break;
    }
    const job_size gone =
        history_.SizeOf(context_.inputs.state.jobs.at(id).spec);
    left.processors += gone.processors;
    left.memory_mb += gone.memory_mb;
    left.accelerators += gone.accelerators;
    found.preempted.push_back(id);
  }
  if (!Fits(left, size)) {
    return std::nullopt;
  }
  return found;
}

std::string job_placement::UnplaceableReason(
    const job_requirements& spec) const {
  const auto pool = by_pool_.find(spec.pool);
  if (pool == by_pool_.end()) {
    return "";
  }
  const job_size size = history_.SizeOf(spec);
  std::uint32_t processors = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  for (const worker* item : pool->second) {
    const vm_listing& vm = *item->vm->listing;
    if (vm.processors >= size.processors && vm.memory_mb >= size.memory_mb &&
        vm.accelerators >= size.accelerators) {
      return "";
    }
    processors = std::max(processors, vm.processors);
    memory_mb = std::max(memory_mb, vm.memory_mb);
    accelerators = std::max(accelerators, vm.accelerators);
  }
  return "no worker of pool " + spec.pool.value() +
         " is large enough for the job: it " + "requires " +
         std::to_string(size.processors) + " processors, " +
         std::to_string(size.memory_mb) + " MB, " +
         std::to_string(size.accelerators) + " accelerators; the largest " +
         "worker sizes are " + std::to_string(processors) + ", " +
         std::to_string(memory_mb) + " MB, " + std::to_string(accelerators);
}

std::string job_placement::QuotaExceededReason(
    const job_requirements& spec) const {
  const team_spec* team = FindTeam(spec.team);
  const auto use = teams_.find(spec.team);
  if (team == nullptr || use == teams_.end()) {
    return "";
  }
  const std::uint32_t accelerators =
      use->second.accelerators + spec.accelerators;
  if (team->accelerators > 0 && spec.accelerators > 0 &&
      accelerators > team->accelerators) {
    return "team " + spec.team.value() + " would hold " +
           std::to_string(accelerators) + " of its " +
           std::to_string(team->accelerators) + " accelerators";
  }
  return "";
}

const team_spec* job_placement::FindTeam(const team_id& team) const {
  const auto found = team_specs_.find(team);
  return found == team_specs_.end() ? nullptr : found->second;
}

bool job_placement::IsAvoided(const job_id& job, const vm_id& vm) const {
  return history_.FailedOn(job).contains(vm) ||
         history_.WasRefused(job, vm,
                             context_.now - context_.options.refusal_backoff);
}

bool job_placement::IsKnownFull(const job_requirements& spec) const {
  return full_.contains({spec.pool, history_.SizeOf(spec)});
}

bool job_placement::TeamMayUse(const team_id& team, const vm_id& vm) const {
  const team_spec* spec = FindTeam(team);
  const auto use = teams_.find(team);
  return spec == nullptr || spec->vms == 0 || use == teams_.end() ||
         use->second.vms.size() < spec->vms || use->second.vms.contains(vm);
}

}  // namespace plantainhead::core
