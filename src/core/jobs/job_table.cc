#include "core/jobs/job_table.h"

#include <algorithm>
#include <utility>

namespace plantainhead::core::jobs {

job_state* job_table::Add(std::shared_ptr<const job_spec> spec,
                          const queue_policy& policy,
                          time_point now,
                          duration age) {
  const job_id id = spec->id;
  if (IsEnded(id)) {
    return nullptr;
  }
  unopened_.erase(id);
  auto [found, is_new] = jobs_.try_emplace(id);
  if (!is_new) {
    return nullptr;
  }
  found->second =
      std::make_unique<job_state>(std::move(spec), policy, now, now - age);
  job_state* job = found->second.get();
  open_.emplace(id, job);
  waiting_.emplace(id, job);
  if (job->spec().schedule) {
    scheduled_.emplace(id, job);
  }
  const std::vector<step_spec>& steps = job->spec().steps;
  if (std::any_of(steps.begin(), steps.end(),
                  [](const step_spec& step) { return step.long_running; })) {
    long_running_.emplace(id, job);
  }
  return job;
}

job_state* job_table::Find(const job_id& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

bool job_table::Forget(const job_id& id) {
  if (changed_.count(id) != 0) {
    return false;
  }
  with_losses_.erase(id);
  jobs_.erase(id);
  ended_.insert(id);
  return true;
}

void job_table::SetPolicy(const queue_id& queue, const queue_policy& policy) {
  for (const auto& [id, job] : open_) {
    if (job->spec().queue == queue) {
      job->SetPolicy(policy);
    }
  }
}

void job_table::NoteChange(job_state* job) {
  changed_.insert(job->spec().id);
  NoteTasks(job);
}

void job_table::NoteTasks(job_state* job) {
  const job_id& id = job->spec().id;
  if (!IsFinal(job->phase())) {
    waiting_.emplace(id, job);
    return;
  }
  for (auto* jobs : {&open_, &waiting_, &scheduled_, &long_running_}) {
    jobs->erase(id);
  }
}

void job_table::NoteLosses(job_state* job) {
  if (job->HasLosses() && !IsFinal(job->phase())) {
    with_losses_.insert(job->spec().id);
  }
}

std::vector<job_state*> job_table::TakeWithLosses() {
  std::vector<job_state*> jobs;
  for (const job_id& id : with_losses_) {
    const auto found = open_.find(id);
    if (found != open_.end()) {
      jobs.push_back(found->second);
    }
  }
  with_losses_.clear();
  return jobs;
}

std::optional<progress_batch> job_table::TakeBatch(bool has_more) {
  if (changed_.empty() && !has_more) {
    return std::nullopt;
  }
  progress_batch batch;
  batch.number = next_batch_++;
  batch.jobs.reserve(changed_.size());
  for (const job_id& id : changed_) {
    job_state& job = *jobs_.at(id);
    batch.jobs.emplace_back(id, job.Progress());
    if (IsFinal(job.phase())) {
      batch.results.push_back(job.Result());
    } else if (!job.MayTrack(1)) {
      batch.full_jobs.push_back(id);
    }
  }
  changed_.clear();
  return batch;
}

}  // namespace plantainhead::core::jobs
