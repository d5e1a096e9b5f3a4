#include "core/jobs/job_state.h"

#include <algorithm>
#include <utility>

#include "core/jobs/crash_suspicion.h"

namespace plantainhead::core::jobs {
namespace {

std::uint32_t OccurrencesOf(const job_spec& spec) {
  return spec.schedule ? spec.schedule->count : 1;
}

}  // namespace

job_state::job_state(std::shared_ptr<const job_spec> spec,
                     const queue_policy& policy,
                     time_point arrived_at,
                     time_point submitted_at)
    : spec_(std::move(spec)),
      arrived_at_(arrived_at),
      submitted_at_(submitted_at) {
  SetPolicy(policy);
  if (!spec_->schedule) {
    Open(0);
  }
}

void job_state::SetPolicy(const queue_policy& policy) {
  policy_ = policy;
  const double allowed =
      policy.stretch * static_cast<double>(LongestChain().count());
  deadline_ = submitted_at_ + duration(static_cast<std::int64_t>(allowed)) +
              policy.latency_target;
}

duration job_state::LongestChain() const {
  std::vector<duration> ends;
  ends.reserve(spec_->steps.size());
  duration longest = duration::zero();
  for (const step_spec& step : spec_->steps) {
    duration begin = duration::zero();
    for (const std::uint32_t earlier : step.depends_on) {
      begin = std::max(begin, ends[earlier]);
    }
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

duration job_state::RemainingChain(occurrence_state* occurrence) const {
  if (!occurrence->remaining_chain) {
    occurrence->remaining_chain = FindRemainingChain(*occurrence);
  }
  return *occurrence->remaining_chain;
}

duration job_state::FindRemainingChain(
    const occurrence_state& occurrence) const {
  std::vector<duration> ends;
  ends.reserve(spec_->steps.size());
  duration longest = duration::zero();
  for (std::size_t i = 0; i < spec_->steps.size(); ++i) {
    const step_spec& step = spec_->steps[i];
    duration begin = duration::zero();
    for (const std::uint32_t earlier : step.depends_on) {
      begin = std::max(begin, ends[earlier]);
    }
    const bool is_done = occurrence.steps[i].IsDone();
    ends.push_back(is_done ? duration::zero() : begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

void job_state::Open(std::uint32_t occurrence) {
  const auto [found, is_new] = occurrences_.try_emplace(occurrence);
  if (!is_new) {
    return;
  }
  for (const step_spec& step : spec_->steps) {
    found->second.steps.emplace_back().tasks.resize(step.task_count);
  }
}

bool job_state::OpenListed(const task_name& name) {
  const bool is_valid = name.occurrence < OccurrencesOf(*spec_) &&
                        name.step < spec_->steps.size() &&
                        name.index < spec_->steps[name.step].task_count;
  const bool is_open = occurrences_.count(name.occurrence) != 0;
  if (!is_valid || is_open || IsFinal(phase_)) {
    return false;
  }
  Open(name.occurrence);
  return true;
}

bool job_state::OpenDue(time_point wall_now) {
  const std::uint32_t opened_before = opened_;
  while (!IsFinal(phase_)) {
    const auto due = NextDue();
    if (!due || *due > wall_now) {
      break;
    }
    Open(opened_++);
  }
  return opened_ > opened_before;
}

std::optional<time_point> job_state::NextDue() const {
  if (!spec_->schedule || opened_ >= spec_->schedule->count) {
    return std::nullopt;
  }
  return spec_->schedule->first_due + opened_ * spec_->schedule->interval;
}

job_task_state* job_state::Find(const task_name& name) {
  const auto occurrence = occurrences_.find(name.occurrence);
  if (occurrence == occurrences_.end()) {
    return nullptr;
  }
  std::vector<step_state>& steps = occurrence->second.steps;
  if (name.step >= steps.size() ||
      name.index >= steps[name.step].tasks.size()) {
    return nullptr;
  }
  return &steps[name.step].tasks[name.index];
}

bool job_state::IsOpen(const occurrence_state& occurrence,
                       std::uint32_t step) const {
  const std::vector<std::uint32_t>& earlier = spec_->steps[step].depends_on;
  return std::all_of(earlier.begin(), earlier.end(), [&](std::uint32_t i) {
    return occurrence.steps[i].IsDone();
  });
}

bool job_state::HasWaiting() const {
  for (const auto& [number, occurrence] : occurrences_) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      if (occurrence.steps[s].Waiting() > 0 && IsOpen(occurrence, s)) {
        return true;
      }
    }
  }
  return false;
}

bool job_state::SkipUnreportedRuns(std::uint32_t count) {
  if (has_skipped_runs_ || IsFinal(phase_)) {
    return false;
  }
  has_skipped_runs_ = true;
  for (const auto& [number, occurrence] : occurrences_) {
    for (const step_state& step : occurrence.steps) {
      for (const job_task_state& task : step.tasks) {
        unreported_runs_ = std::max(unreported_runs_, task.last_run);
      }
    }
  }
  unreported_runs_ += count;
  return true;
}

void job_state::NoteReportedRun(const task_name& name, std::uint32_t run) {
  if (job_task_state* task = Find(name)) {
    task->last_run = std::max(task->last_run, run);
  }
}

void job_state::MarkPlaced(const task_name& name, std::uint32_t run) {
  job_task_state& task = *Find(name);
  if (task.phase == task_phase::kWaiting) {
    task.phase = task_phase::kPlaced;
    ++occurrences_[name.occurrence].steps[name.step].placed;
  }
  task.last_run = std::max(task.last_run, run);
}

bool job_state::MarkRunning() {
  if (phase_ != job_phase::kQueued) {
    return false;
  }
  phase_ = job_phase::kRunning;
  return true;
}

void job_state::MarkWaiting(const task_name& name) {
  job_task_state* task = Find(name);
  if (task != nullptr && task->phase == task_phase::kPlaced) {
    task->phase = task_phase::kWaiting;
    --occurrences_[name.occurrence].steps[name.step].placed;
  }
}

void job_state::MarkDone(step_state* step, job_task_state* task) {
  if (task->phase == task_phase::kDone) {
    return;
  }
  if (task->phase == task_phase::kPlaced) {
    --step->placed;
  }
  task->phase = task_phase::kDone;
  ++step->done;
  if (step->IsDone()) {
    for (auto& [number, occurrence] : occurrences_) {
      occurrence.remaining_chain.reset();
    }
  }
}

bool job_state::ApplyEnd(const task_name& name,
                         std::uint32_t run,
                         end_kind how,
                         const std::string& checkpoint,
                         const vm_id& vm) {
  job_task_state* task = Find(name);
  if (task == nullptr) {
    return false;
  }
  if (run <= task->ended_run) {
    return ApplyLate(name, task, run, how);
  }
  task->ended_run = run;
  task->is_presumed = false;
  const bool is_newest = run >= task->last_run;
  task->last_run = std::max(task->last_run, run);
  if (!checkpoint.empty()) {
    task->checkpoint = checkpoint;
  }
  const step_spec& step = StepOf(name);
  step_state& steps = occurrences_[name.occurrence].steps[name.step];
  if (how == end_kind::kDone && !step.long_running) {
    if (step.gang) {
      for (job_task_state& member : steps.tasks) {
        member.ended_run = std::max(member.ended_run, run);
      }
    }
    CompleteTask(name, task);
    return true;
  }
  if (is_newest) {
    MarkWaiting(name);
  }
  ++repeated_runs_;
  if (how == end_kind::kFailed) {
    task->failed_on = vm;
    CountFailure(name, task, run);
  }
  return true;
}

bool job_state::CountFailure(const task_name& name,
                             job_task_state* task,
                             std::uint32_t run) {
  std::vector<std::uint32_t>& failed = task->failed_runs;
  if (task->phase == task_phase::kDone) {
    return false;
  }
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) {
    return false;
  }
  failed.push_back(run);
  if (failed.size() >= policy_.max_attempts && !StepOf(name).long_running) {
    Finish(job_phase::kFailed);
  }
  return true;
}

// After a takeover, VMs list ends that the earlier owner has recorded but not
// acknowledged; these are duplicates. They also list ends that it could not
// record, and the end of a later run may be read before that of an earlier one.
// If a failure were not counted, the task could start once more than its queue
// permits.
bool job_state::ApplyLate(const task_name& name,
                          job_task_state* task,
                          std::uint32_t run,
                          end_kind how) {
  if (how == end_kind::kFailed) {
    return CountFailure(name, task, run);
  }
  const bool is_done = how == end_kind::kDone &&
                       task->phase != task_phase::kDone &&
                       !StepOf(name).long_running;
  if (is_done) {
    task->is_presumed = false;
    CompleteTask(name, task);
  }
  return is_done;
}

// One member that is done completes all members of a gang.
void job_state::CompleteTask(const task_name& name, job_task_state* task) {
  step_state& step = occurrences_[name.occurrence].steps[name.step];
  if (StepOf(name).gang) {
    for (job_task_state& member : step.tasks) {
      MarkDone(&step, &member);
    }
  }
  MarkDone(&step, task);
  CheckCompletion();
}

bool job_state::PresumeEnd(const task_name& name, std::uint32_t run) {
  job_task_state* task = Find(name);
  if (task == nullptr || run <= task->ended_run) {
    return false;
  }
  ++repeated_runs_;
  task->ended_run = run;
  task->is_presumed = true;
  if (run >= task->last_run) {
    task->last_run = run;
    MarkWaiting(name);
  }
  return true;
}

bool job_state::CountLoss(const task_name& name, const run_loss& loss) {
  job_task_state* task = Find(name);
  if (task == nullptr || !IsEvidence(loss.kind)) {
    return false;
  }
  const auto same_run = [&loss](const run_loss& other) {
    return other.run == loss.run;
  };
  const auto known =
      std::find_if(task->losses.begin(), task->losses.end(), same_run);
  if (known != task->losses.end() && known->kind == loss.kind) {
    return false;
  }
  if (known != task->losses.end()) {
    known->kind = loss.kind;
  } else {
    task->losses.push_back(loss);
    has_losses_ = true;
  }
  if (SuspicionOf(task->losses) == suspicion::kCertain) {
    is_given_up_ = true;
    Finish(job_phase::kFailed);
  }
  return true;
}

bool job_state::WithdrawLosses(const vm_id& vm,
                               const vm_incarnation& incarnation) {
  if (!has_losses_) {
    return false;
  }
  bool is_withdrawn = false;
  has_losses_ = false;
  for (auto& [number, occurrence] : occurrences_) {
    for (step_state& step : occurrence.steps) {
      for (job_task_state& task : step.tasks) {
        const auto count =
            std::erase_if(task.losses, [&](const run_loss& loss) {
              return loss.vm == vm &&
                     !AreDifferentIncarnations(loss.incarnation, incarnation);
            });
        is_withdrawn = is_withdrawn || count > 0;
        has_losses_ = has_losses_ || !task.losses.empty();
      }
    }
  }
  return is_withdrawn;
}

bool job_state::ClearLosses(const task_name& name) {
  job_task_state* task = Find(name);
  if (task == nullptr || task->losses.empty() || !StepOf(name).long_running) {
    return false;
  }
  task->losses.clear();
  return true;
}

void job_state::CheckCompletion() {
  if (occurrences_.size() < OccurrencesOf(*spec_)) {
    return;
  }
  for (const auto& [number, occurrence] : occurrences_) {
    for (const step_state& step : occurrence.steps) {
      if (!step.IsDone()) {
        return;
      }
    }
  }
  Finish(job_phase::kCompleted);
}

void job_state::Finish(job_phase phase) {
  if (IsFinal(phase_)) {
    return;
  }
  phase_ = phase;
  occurrences_.clear();
}

void job_state::Restore(const job_progress& progress) {
  if (IsFinal(progress.phase)) {
    Finish(progress.phase);
    return;
  }
  phase_ = progress.phase;
  unreported_runs_ = progress.unreported_runs;
  for (const task_record& record : progress.tasks) {
    const bool is_valid = record.occurrence < OccurrencesOf(*spec_) &&
                          record.step < spec_->steps.size();
    while (is_valid && opened_ <= record.occurrence) {
      Open(opened_++);
    }
    job_task_state* task =
        Find({spec_->id, record.occurrence, record.step, record.index});
    if (task == nullptr) {
      continue;
    }
    task->ended_run = record.ended_run;
    task->last_run = record.ended_run;
    for (const run_loss& loss : record.losses) {
      task->last_run = std::max(task->last_run, loss.run);
    }
    task->failed_runs = record.failed_runs;
    task->is_presumed = record.is_presumed;
    task->checkpoint = record.checkpoint;
    task->losses = record.losses;
    has_losses_ = has_losses_ || !task->losses.empty();
    if (record.done) {
      MarkDone(&occurrences_[record.occurrence].steps[record.step], task);
    }
  }
}

job_result job_state::Result() const {
  job_result result;
  result.id = spec_->id;
  result.queue = spec_->queue;
  result.phase = phase_;
  result.arrived_at = submitted_at_;
  result.started_at = started_at_;
  result.deadline = deadline_;
  result.critical_path = LongestChain();
  result.waits = waits_;
  result.repeated_runs = repeated_runs_;
  result.is_inherited = is_inherited_;
  result.is_given_up = is_given_up_;
  return result;
}

job_progress job_state::Progress() const {
  job_progress progress;
  progress.phase = phase_;
  progress.unreported_runs = unreported_runs_;
  for (const auto& [number, occurrence] : occurrences_) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      const std::vector<job_task_state>& tasks = occurrence.steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const job_task_state& task = tasks[i];
        if (task.ended_run == 0 && task.losses.empty()) {
          continue;
        }
        const bool is_done = task.phase == task_phase::kDone;
        progress.tasks.push_back(
            {number, s, i, task.ended_run, task.failed_runs, is_done,
             is_done ? "" : task.checkpoint, task.is_presumed,
             is_done ? std::vector<run_loss>() : task.losses});
      }
    }
  }
  return progress;
}

}  // namespace plantainhead::core::jobs
