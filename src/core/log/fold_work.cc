#include <algorithm>
#include <string>
#include <utility>

#include "core/log/fold_rules.h"

namespace plantainhead::core {
namespace {

bool IsEnded(wave_state state) {
  return state == wave_state::kCancelled || state == wave_state::kFinished;
}

bool IsEnded(job_status state) {
  return state == job_status::kCancelled || state == job_status::kFinished;
}

}  // namespace

bool IsAllowed(wave_state from, wave_state to) {
  return !IsEnded(from) && from != to;
}

bool IsAllowed(job_status from, job_status to) {
  if (IsEnded(from) || from == to) {
    return false;
  }
  switch (to) {
    case job_status::kWaiting:
    case job_status::kCancelled:
      return true;
    case job_status::kPlaced:
      return from == job_status::kWaiting || from == job_status::kCheckpointing;
    case job_status::kCheckpointing:
      return from == job_status::kPlaced;
    // A task that was considered lost may still report its completion later.
    case job_status::kFinished:
    case job_status::kParked:
      return from != job_status::kParked;
  }
  return false;
}

namespace fold_rules {
namespace {

bool HasPool(const configuration& targets, const pool_id& pool) {
  return std::any_of(targets.pools.begin(), targets.pools.end(),
                     [&](const pool_spec& spec) { return spec.name == pool; });
}

bool HasTeam(const configuration& targets, const team_id& team) {
  return team.empty() ||
         std::any_of(targets.teams.begin(), targets.teams.end(),
                     [&](const team_spec& spec) { return spec.name == team; });
}

fold_result UnknownPool(const fleet_state& state, const pool_id& pool) {
  return Conflict("pool '" + pool.value() +
                  "' is not in the configuration of " + state.targets_author);
}

std::string Describe(const wave_id& wave, const fleet_wave& progress) {
  return "wave '" + wave.value() + "' is " +
         std::string(NameOf(progress.state));
}

std::string Describe(const job_id& job, const fleet_job& progress) {
  std::string text =
      "job '" + job.value() + "' is " + std::string(NameOf(progress.state));
  if (!progress.vm.empty()) {
    text += " on VM '" + progress.vm.value() + "'";
  }
  return text;
}

std::string WrittenBy(const std::string& author) {
  return ", written by " + author;
}

// Returns true if an operator may request this change: to cancel a job, or to
// resume a parked one.
bool IsForOperators(job_status from, job_status to) {
  return to == job_status::kCancelled ||
         (from == job_status::kParked && to == job_status::kWaiting);
}

// Returns the reason why a job cannot be placed on the VM, or an empty string
// if it can.
std::string FindPlacementConflict(const fleet_state& state, const vm_id& vm) {
  const auto it = state.vms.find(vm);
  if (it == state.vms.end()) {
    return "VM '" + vm.value() + "' is unknown";
  }
  if (it->second.quarantined) {
    return "VM '" + vm.value() + "' is quarantined" +
           WrittenBy(it->second.author);
  }
  if (it->second.phase != vm_phase::kServing) {
    return "VM '" + vm.value() + "' is " +
           std::string(NameOf(it->second.phase)) + WrittenBy(it->second.author);
  }
  return {};
}

void CountFailures(fleet_job& job, job_status next) {
  if (job.state == job_status::kPlaced && next == job_status::kWaiting) {
    ++job.failures;
  }
  if (job.state == job_status::kParked) {
    job.failures = 0;
  }
}

void ChangeState(fleet_state& state,
                 fleet_job& job,
                 const set_job_state& body,
                 const std::string& author) {
  CountFailures(job, body.state);
  job.state = body.state;
  job.vm = body.vm;
  job.operation = body.operation;
  job.reason = body.reason;
  job.author = author;
  ++job.version;
  if (IsEnded(job.state)) {
    state.ended_jobs.emplace(state.offset, body.job);
  }
  if (state.ended_jobs.size() > kRetainedEndedJobs) {
    state.jobs.erase(state.ended_jobs.begin()->second);
    state.ended_jobs.erase(state.ended_jobs.begin());
  }
}

}  // namespace

fold_result WrongGeneration(const std::string& what,
                            generation in_force,
                            generation expected,
                            const std::string& description,
                            const std::string& author) {
  return Conflict(what + " has generation " + std::to_string(in_force) +
                  ", not " + std::to_string(expected) + ": " + description +
                  WrittenBy(author));
}

fold_result ApplyRecord(fleet_state& state,
                        const publish_configuration& body,
                        const std::string& author) {
  if (body.expected != state.targets_version) {
    return WrongGeneration(
        "the configuration", state.targets_version, body.expected,
        "in force since offset " + std::to_string(state.targets_offset),
        state.targets_author);
  }
  state.targets = body.document;
  ++state.targets_version;
  state.targets_author = author;
  state.targets_offset = state.offset;
  return Applied();
}

fold_result ApplyRecord(fleet_state& state,
                        const start_wave& body,
                        const std::string& author) {
  if (body.wave.empty() || body.pools.empty()) {
    return Ignored("the record names no wave or no pool");
  }
  if (const auto it = state.waves.find(body.wave); it != state.waves.end()) {
    return Conflict(Describe(body.wave, it->second) +
                    WrittenBy(it->second.author));
  }
  if (state.waves.size() >= kMaxWaves) {
    return Conflict("the limit of " + std::to_string(kMaxWaves) +
                    " waves is reached");
  }
  for (const pool_id& pool : body.pools) {
    if (!HasPool(state.targets, pool)) {
      return UnknownPool(state, pool);
    }
  }
  fleet_wave& wave = state.waves[body.wave];
  wave.pools = body.pools;
  wave.finish_by = body.finish_by;
  wave.version = state.offset;
  wave.author = author;
  return Applied();
}

fold_result ApplyRecord(fleet_state& state,
                        const set_wave_state& body,
                        const std::string& author) {
  if (body.epoch != 0 && !IsPlanner(state, body.epoch)) {
    return StalePlanner(state, body.epoch);
  }
  const auto it = state.waves.find(body.wave);
  if (it == state.waves.end()) {
    return Conflict("wave '" + body.wave.value() + "' is unknown");
  }
  fleet_wave& wave = it->second;
  if (body.expected != wave.version) {
    return WrongGeneration("wave '" + body.wave.value() + "'", wave.version,
                           body.expected, Describe(body.wave, wave),
                           wave.author);
  }
  if (!IsAllowed(wave.state, body.state)) {
    return Conflict(Describe(body.wave, wave) + WrittenBy(wave.author));
  }
  if (body.epoch == 0 && body.state == wave_state::kFinished) {
    return Ignored("only the planner can finish a wave");
  }
  wave.state = body.state;
  wave.reason = body.reason;
  wave.author = author;
  ++wave.version;
  if (IsEnded(wave.state)) {
    state.ended_waves.emplace(state.offset, body.wave);
  }
  if (state.ended_waves.size() > kRetainedEndedWaves) {
    state.waves.erase(state.ended_waves.begin()->second);
    state.ended_waves.erase(state.ended_waves.begin());
  }
  return Applied();
}

fold_result ApplyRecord(fleet_state& state,
                        const submit_job& body,
                        const std::string& author) {
  const job_requirements& spec = body.spec;
  if (spec.name.empty() || spec.processors == 0) {
    return Ignored("a job needs a name and at least one processor");
  }
  if (const auto it = state.jobs.find(spec.name); it != state.jobs.end()) {
    return Conflict(Describe(spec.name, it->second) +
                    WrittenBy(it->second.author));
  }
  if (state.jobs.size() >= kMaxJobs) {
    return Conflict("the limit of " + std::to_string(kMaxJobs) +
                    " jobs is reached");
  }
  if (!HasPool(state.targets, spec.pool)) {
    return UnknownPool(state, spec.pool);
  }
  if (!HasTeam(state.targets, spec.team)) {
    return Conflict("team '" + spec.team.value() +
                    "' is not in the configuration of " + state.targets_author);
  }
  fleet_job& job = state.jobs[spec.name];
  job.spec = spec;
  job.version = state.offset;
  job.author = author;
  return Applied();
}

fold_result ApplyRecord(fleet_state& state,
                        const set_job_state& body,
                        const std::string& author) {
  if (body.epoch != 0 && !IsPlanner(state, body.epoch)) {
    return StalePlanner(state, body.epoch);
  }
  const auto it = state.jobs.find(body.job);
  if (it == state.jobs.end()) {
    return Conflict("job '" + body.job.value() + "' is unknown");
  }
  fleet_job& job = it->second;
  if (body.expected != job.version) {
    return WrongGeneration("job '" + body.job.value() + "'", job.version,
                           body.expected, Describe(body.job, job), job.author);
  }
  if (!IsAllowed(job.state, body.state)) {
    return Conflict(Describe(body.job, job) + WrittenBy(job.author));
  }
  if (body.epoch == 0 && !IsForOperators(job.state, body.state)) {
    return Ignored("operators can only cancel jobs and resume parked ones");
  }
  if (body.state == job_status::kPlaced) {
    if (std::string conflict = FindPlacementConflict(state, body.vm);
        !conflict.empty()) {
      return Conflict(std::move(conflict));
    }
  }
  ChangeState(state, job, body, author);
  return Applied();
}

}  // namespace fold_rules
}  // namespace plantainhead::core
