#include "core/jobs/job_state.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "core/jobs/crash_suspicion.h"

namespace plantainhead::core::jobs {
namespace {

// Occurrences that are due beyond these wait unopened until others start.
constexpr std::uint32_t kMaxUnstartedOccurrences = 256;

std::uint32_t OccurrencesOf(const job_spec& spec) {
  return spec.schedule ? spec.schedule->count : 1;
}

const job_task_state& NewTask() {
  static const job_task_state kTask;
  return kTask;
}

// Ends and runs of a task that is done change nothing, whatever their number.
const job_task_state& DoneTask() {
  static const job_task_state kTask = [] {
    job_task_state done;
    done.phase = task_phase::kDone;
    done.ended_run = std::numeric_limits<std::uint32_t>::max();
    return done;
  }();
  return kTask;
}

resources Multiply(const resources& need, std::int64_t count) {
  return {need.cpu_millis * count, need.memory_mb * count, need.gpus * count};
}

}  // namespace

resources DemandOf(const step_spec& step) {
  resources demand = step.need;
  if (step.best_effort) {
    demand.cpu_millis = 0;
  }
  return demand;
}

const job_task_state* step_state::Find(std::uint32_t index) const {
  const auto found = tracked_.find(index);
  return found == tracked_.end() ? nullptr : &found->second;
}

job_task_state* step_state::Track(std::uint32_t index) {
  const auto [found, is_new] = tracked_.try_emplace(index);
  if (is_new) {
    touched_.Add(index);
    retries_.insert(index);
  }
  return &found->second;
}

job_task_state* step_state::MarkPlaced(std::uint32_t index) {
  const auto [found, is_new] = tracked_.try_emplace(index);
  if (is_new) {
    touched_.Add(index);
  } else {
    retries_.erase(index);
  }
  found->second.phase = task_phase::kPlaced;
  ++placed_;
  return &found->second;
}

void step_state::MarkWaiting(std::uint32_t index) {
  tracked_.at(index).phase = task_phase::kWaiting;
  retries_.insert(index);
  --placed_;
}

void step_state::MarkDone(std::uint32_t begin, std::uint32_t end) {
  auto it = tracked_.lower_bound(begin);
  while (it != tracked_.end() && it->first < end) {
    placed_ -= it->second.phase == task_phase::kPlaced ? 1 : 0;
    retries_.erase(it->first);
    it = tracked_.erase(it);
  }
  touched_.AddRange(begin, end);
}

std::uint32_t step_state::NextRetry(std::uint32_t begin) const {
  const auto next = retries_.lower_bound(begin);
  return next == retries_.end() ? task_count_ : *next;
}

std::uint32_t step_state::NextUntracked(std::uint32_t begin) const {
  return std::min(touched_.NextAbsent(begin), task_count_);
}

index_ranges step_state::DoneTasks() const {
  index_ranges done = touched_;
  for (const auto& [index, task] : tracked_) {
    done.Remove(index);
  }
  return done;
}

job_state::job_state(std::shared_ptr<const job_spec> spec,
                     const queue_policy& policy,
                     time_point arrived_at,
                     time_point submitted_at)
    : spec_(std::move(spec)),
      longest_chain_(FindLongestChain()),
      arrived_at_(arrived_at),
      submitted_at_(submitted_at) {
  for (const step_spec& step : spec_->steps) {
    tasks_per_occurrence_ += step.task_count;
  }
  SetPolicy(policy);
  if (!spec_->schedule) {
    Open(0);
  }
}

void job_state::SetPolicy(const queue_policy& policy) {
  policy_ = policy;
  const double allowed =
      policy.stretch * static_cast<double>(longest_chain_.count());
  deadline_ = submitted_at_ + duration(static_cast<std::int64_t>(allowed)) +
              policy.latency_target;
}

duration job_state::FindLongestChain() const {
  return FindRemainingChain(occurrence_state());
}

duration job_state::RemainingChain() {
  duration longest = duration::zero();
  for (auto& [number, occurrence] : occurrences_) {
    if (!occurrence.remaining_chain) {
      occurrence.remaining_chain = FindRemainingChain(occurrence);
    }
    longest = std::max(longest, *occurrence.remaining_chain);
  }
  return longest;
}

duration job_state::FindRemainingChain(
    const occurrence_state& occurrence) const {
  std::vector<duration> ends;
  ends.reserve(spec_->steps.size());
  duration longest = duration::zero();
  for (std::uint32_t i = 0; i < spec_->steps.size(); ++i) {
    const step_spec& step = spec_->steps[i];
    duration begin = duration::zero();
    for (const std::uint32_t earlier : step.depends_on) {
      begin = std::max(begin, ends[earlier]);
    }
    const bool is_done = occurrence.done_steps.Contains(i);
    ends.push_back(is_done ? duration::zero() : begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

resources job_state::WaitingDemand(time_point now) {
  resources demand;
  for (const std::uint32_t number : waiting_occurrences_) {
    occurrence_state& occurrence = occurrences_.at(number);
    if (!occurrence.remaining_chain) {
      occurrence.remaining_chain = FindRemainingChain(occurrence);
    }
    // A job that is late does not add to the demand for VMs: it gains little
    // from ending somewhat earlier, and it runs in the capacity that is
    // available.
    const bool is_late = now + *occurrence.remaining_chain > deadline_;
    demand = demand + occurrence.waiting_lasting_demand;
    if (!is_late) {
      demand = demand + occurrence.waiting_demand;
    }
  }
  return demand;
}

occurrence_state* job_state::Open(std::uint32_t number) {
  const auto [found, is_new] = occurrences_.try_emplace(number);
  if (!is_new) {
    return &found->second;
  }
  ++unstarted_;
  waiting_ += tasks_per_occurrence_;
  for (std::uint32_t i = 0; i < spec_->steps.size(); ++i) {
    if (spec_->steps[i].depends_on.empty()) {
      MakeReady({number, i});
    }
  }
  return &found->second;
}

bool job_state::OpenListed(const task_name& name) {
  const bool is_open = occurrences_.count(name.occurrence) != 0;
  if (!IsValid(name) || is_open || IsFinal(phase_) ||
      done_occurrences_.Contains(name.occurrence)) {
    return false;
  }
  Open(name.occurrence);
  return true;
}

bool job_state::OpenDue(time_point wall_now) {
  if (!spec_->schedule || IsFinal(phase_)) {
    return false;
  }
  const job_schedule& schedule = *spec_->schedule;
  bool is_any = false;
  while (unstarted_ < kMaxUnstartedOccurrences && MayTrack(1)) {
    opened_ = done_occurrences_.NextAbsent(opened_);
    const bool is_due =
        opened_ < schedule.count &&
        schedule.first_due + opened_ * schedule.interval <= wall_now;
    if (!is_due) {
      break;
    }
    Open(opened_++);
    is_any = true;
  }
  return is_any;
}

bool job_state::IsValid(const task_name& name) const {
  return name.occurrence < OccurrencesOf(*spec_) &&
         name.step < spec_->steps.size() &&
         name.index < spec_->steps[name.step].task_count;
}

const job_task_state* job_state::Find(const task_name& name) const {
  if (IsFinal(phase_) || !IsValid(name)) {
    return nullptr;
  }
  const auto occurrence = occurrences_.find(name.occurrence);
  if (occurrence == occurrences_.end()) {
    return done_occurrences_.Contains(name.occurrence) ? &DoneTask() : nullptr;
  }
  const step_state* step = FindStep({name.occurrence, name.step});
  if (step == nullptr) {
    return occurrence->second.done_steps.Contains(name.step) ? &DoneTask()
                                                             : &NewTask();
  }
  const job_task_state* task = step->Find(name.index);
  if (task != nullptr) {
    return task;
  }
  return step->IsDone(name.index) ? &DoneTask() : &NewTask();
}

job_task_state* job_state::Track(const task_name& name) {
  const job_task_state* task = Find(name);
  if (task == nullptr || task->phase == task_phase::kDone) {
    return nullptr;
  }
  step_state* step = TrackStep({name.occurrence, name.step});
  const std::size_t tracked = step->tracked().size();
  job_task_state* state = step->Track(name.index);
  tracked_ += step->tracked().size() - tracked;
  return state;
}

const step_state* job_state::FindStep(const step_ref& step) const {
  const auto occurrence = occurrences_.find(step.occurrence);
  if (occurrence == occurrences_.end()) {
    return nullptr;
  }
  const auto found = occurrence->second.steps.find(step.step);
  return found == occurrence->second.steps.end() ? nullptr : &found->second;
}

step_state* job_state::TrackStep(const step_ref& step) {
  occurrence_state& occurrence = occurrences_.at(step.occurrence);
  if (!occurrence.is_started) {
    occurrence.is_started = true;
    --unstarted_;
  }
  return &occurrence.steps
              .try_emplace(step.step, spec_->steps[step.step].task_count)
              .first->second;
}

void job_state::WaitingSteps(const step_ref& begin,
                             std::size_t count,
                             std::vector<step_ref>* steps) const {
  for (auto number = waiting_occurrences_.lower_bound(begin.occurrence);
       number != waiting_occurrences_.end(); ++number) {
    const std::uint32_t first = *number == begin.occurrence ? begin.step : 0;
    for (const auto& [from, to] :
         occurrences_.at(*number).waiting_steps.ranges()) {
      for (std::uint32_t step = std::max(from, first); step < to; ++step) {
        if (steps->size() >= count) {
          return;
        }
        steps->push_back({*number, step});
      }
    }
  }
}

std::size_t job_state::ReservedBytes() const {
  constexpr std::uint32_t kMaxReservedAttempts = 20;
  // The number of a failed run, and a comma.
  constexpr std::size_t kAttemptBytes = 3;
  return kLiveTaskBytes +
         kAttemptBytes * std::min(policy_.max_attempts, kMaxReservedAttempts);
}

bool job_state::MayTrack(std::uint32_t count) const {
  return (tracked_ + count) * ReservedBytes() + extra_record_bytes_ <=
         kMaxTrackedBytes;
}

bool job_state::IsReady(const occurrence_state& occurrence,
                        std::uint32_t step) const {
  const std::vector<std::uint32_t>& earlier = spec_->steps[step].depends_on;
  return std::all_of(earlier.begin(), earlier.end(), [&](std::uint32_t i) {
    return occurrence.done_steps.Contains(i);
  });
}

void job_state::MakeReady(const step_ref& step) {
  ready_long_running_ += spec_->steps[step.step].long_running ? 1 : 0;
  occurrences_.at(step.occurrence).ready_steps.Add(step.step);
  const step_state* state = FindStep(step);
  const std::uint32_t waiting =
      state == nullptr ? spec_->steps[step.step].task_count : state->Waiting();
  NoteWaiting(step, 0, waiting);
}

void job_state::NoteWaiting(const step_ref& step,
                            std::uint32_t before,
                            std::uint32_t after) {
  occurrence_state& occurrence = occurrences_.at(step.occurrence);
  if (before == after || !occurrence.ready_steps.Contains(step.step)) {
    return;
  }
  const step_spec& spec = spec_->steps[step.step];
  resources& demand = spec.long_running ? occurrence.waiting_lasting_demand
                                        : occurrence.waiting_demand;
  demand = demand + Multiply(DemandOf(spec), std::int64_t{after} - before);
  if (before == 0) {
    occurrence.waiting_steps.Add(step.step);
    waiting_occurrences_.insert(step.occurrence);
  } else if (after == 0) {
    occurrence.waiting_steps.Remove(step.step);
    if (occurrence.waiting_steps.empty()) {
      waiting_occurrences_.erase(step.occurrence);
    }
  }
}

bool job_state::SkipUnreportedRuns(std::uint32_t count) {
  if (has_skipped_runs_ || IsFinal(phase_)) {
    return false;
  }
  has_skipped_runs_ = true;
  for (const auto& [number, occurrence] : occurrences_) {
    for (const auto& [step_number, step] : occurrence.steps) {
      for (const auto& [index, task] : step.tracked()) {
        unreported_runs_ = std::max(unreported_runs_, task.last_run);
      }
    }
  }
  unreported_runs_ += count;
  return true;
}

void job_state::NoteReportedRun(const task_name& name, std::uint32_t run) {
  if (job_task_state* task = Track(name)) {
    task->last_run = std::max(task->last_run, run);
  }
}

void job_state::MarkPlaced(const task_name& name, std::uint32_t run) {
  const job_task_state* found = Find(name);
  if (found == nullptr || found->phase == task_phase::kDone) {
    return;
  }
  if (found->phase == task_phase::kPlaced) {
    NoteReportedRun(name, run);
    return;
  }
  const step_ref ref{name.occurrence, name.step};
  step_state* step = TrackStep(ref);
  const std::uint32_t waiting = step->Waiting();
  const std::size_t tracked = step->tracked().size();
  job_task_state* task = step->MarkPlaced(name.index);
  tracked_ += step->tracked().size() - tracked;
  --waiting_;
  ++placed_;
  NoteWaiting(ref, waiting, waiting - 1);
  task->last_run = std::max(task->last_run, run);
}

bool job_state::MarkRunning() {
  if (phase_ != job_phase::kQueued) {
    return false;
  }
  phase_ = job_phase::kRunning;
  return true;
}

void job_state::MarkWaiting(const task_name& name) {
  const job_task_state* task = Find(name);
  if (task != nullptr && task->phase == task_phase::kPlaced) {
    const step_ref ref{name.occurrence, name.step};
    step_state* step = TrackStep(ref);
    const std::uint32_t waiting = step->Waiting();
    step->MarkWaiting(name.index);
    ++waiting_;
    --placed_;
    NoteWaiting(ref, waiting, waiting + 1);
  }
}

void job_state::MarkDone(const step_ref& step,
                         std::uint32_t begin,
                         std::uint32_t end) {
  const auto occurrence = occurrences_.find(step.occurrence);
  if (occurrence == occurrences_.end() ||
      occurrence->second.done_steps.Contains(step.step)) {
    return;
  }
  step_state* state = TrackStep(step);
  const std::uint32_t waiting = state->Waiting();
  const std::uint32_t placed = state->placed();
  const std::size_t tracked = state->tracked().size();
  const std::uint32_t done = state->done();
  state->MarkDone(begin, end);
  waiting_ -= waiting - state->Waiting();
  placed_ -= placed - state->placed();
  tracked_ -= tracked - state->tracked().size();
  done_ += state->done() - done;
  NoteWaiting(step, waiting, state->Waiting());
  if (state->IsDone()) {
    CompleteStep(step);
  }
}

void job_state::CompleteStep(const step_ref& step) {
  const std::vector<step_spec>& steps = spec_->steps;
  occurrence_state& occurrence = occurrences_.at(step.occurrence);
  occurrence.steps.erase(step.step);
  occurrence.done_steps.Add(step.step);
  occurrence.remaining_chain.reset();
  const bool is_ready = occurrence.ready_steps.Remove(step.step);
  ready_long_running_ -= is_ready && steps[step.step].long_running ? 1 : 0;
  for (std::uint32_t i = step.step + 1; i < steps.size(); ++i) {
    const std::vector<std::uint32_t>& earlier = steps[i].depends_on;
    const bool depends =
        std::find(earlier.begin(), earlier.end(), step.step) != earlier.end();
    if (depends && !occurrence.done_steps.Contains(i) &&
        IsReady(occurrence, i)) {
      MakeReady({step.occurrence, i});
    }
  }
  if (occurrence.done_steps.size() == steps.size()) {
    waiting_occurrences_.erase(step.occurrence);
    occurrences_.erase(step.occurrence);
    done_occurrences_.Add(step.occurrence);
  }
}

bool job_state::ApplyEnd(const task_name& name,
                         std::uint32_t run,
                         end_kind how,
                         const std::string& checkpoint,
                         const vm_id& vm) {
  job_task_state* task = Track(name);
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
  if (how == end_kind::kDone && !StepOf(name).long_running) {
    CompleteTask(name);
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
  // Tasks that last fail any number of times.
  if (StepOf(name).long_running) {
    return false;
  }
  std::vector<std::uint32_t>& failed = task->failed_runs;
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) {
    return false;
  }
  failed.push_back(run);
  if (failed.size() >= policy_.max_attempts) {
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
  const bool is_done = how == end_kind::kDone && !StepOf(name).long_running;
  if (is_done) {
    CompleteTask(name);
  }
  return is_done;
}

// One member that is done completes all members of a gang.
void job_state::CompleteTask(const task_name& name) {
  const step_spec& step = StepOf(name);
  const std::uint32_t begin = step.gang ? 0 : name.index;
  const std::uint32_t end = step.gang ? step.task_count : name.index + 1;
  MarkDone({name.occurrence, name.step}, begin, end);
  CheckCompletion();
}

bool job_state::PresumeEnd(const task_name& name, std::uint32_t run) {
  job_task_state* task = Track(name);
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
  job_task_state* task = IsEvidence(loss.kind) ? Track(name) : nullptr;
  if (task == nullptr) {
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
    for (auto& [step_number, step] : occurrence.steps) {
      for (auto& [index, task] : step.tracked()) {
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
  const job_task_state* found = Find(name);
  if (found == nullptr || found->losses.empty() || !StepOf(name).long_running) {
    return false;
  }
  Track(name)->losses.clear();
  return true;
}

void job_state::CheckCompletion() {
  if (done_occurrences_.size() == OccurrencesOf(*spec_)) {
    Finish(job_phase::kCompleted);
  }
}

void job_state::Finish(job_phase phase) {
  if (IsFinal(phase_)) {
    return;
  }
  phase_ = phase;
  occurrences_.clear();
  waiting_occurrences_.clear();
  done_occurrences_ = index_ranges();
  waiting_ = 0;
  placed_ = 0;
  done_ = 0;
  tracked_ = 0;
  ready_long_running_ = 0;
}

void job_state::Restore(const job_progress& progress) {
  if (IsFinal(progress.phase)) {
    Finish(progress.phase);
    return;
  }
  phase_ = progress.phase;
  unreported_runs_ = progress.unreported_runs;
  RestoreDone(progress.done);
  for (const task_record& record : progress.tasks) {
    RestoreTask(record);
  }
  NoteRecordSize(progress);
}

void job_state::RestoreDone(const done_ranges& done) {
  const auto is_valid = [](const auto& range, std::uint64_t count) {
    return range.begin < range.end && range.end <= count;
  };
  for (const done_occurrences& range : done.occurrences) {
    if (!is_valid(range, OccurrencesOf(*spec_))) {
      continue;
    }
    CompleteOpen(range);
    const std::uint64_t known = done_occurrences_.size();
    done_occurrences_.AddRange(range.begin, range.end);
    done_ += tasks_per_occurrence_ * (done_occurrences_.size() - known);
  }
  const auto open = [this](std::uint32_t occurrence) {
    const bool may_open = occurrence < OccurrencesOf(*spec_) &&
                          !done_occurrences_.Contains(occurrence);
    if (may_open) {
      Open(occurrence);
    }
    return may_open;
  };
  for (const done_steps& range : done.steps) {
    if (!is_valid(range, spec_->steps.size())) {
      continue;
    }
    for (std::uint32_t i = range.begin; i < range.end; ++i) {
      if (open(range.occurrence)) {
        MarkDone({range.occurrence, i}, 0, spec_->steps[i].task_count);
      }
    }
  }
  for (const done_tasks& range : done.tasks) {
    const bool is_known = range.step < spec_->steps.size() &&
                          is_valid(range, spec_->steps[range.step].task_count);
    if (is_known && open(range.occurrence)) {
      MarkDone({range.occurrence, range.step}, range.begin, range.end);
    }
  }
}

void job_state::CompleteOpen(const done_occurrences& range) {
  std::vector<std::uint32_t> open;
  for (auto it = occurrences_.lower_bound(range.begin);
       it != occurrences_.end() && it->first < range.end; ++it) {
    open.push_back(it->first);
  }
  for (const std::uint32_t occurrence : open) {
    for (std::uint32_t i = 0; i < spec_->steps.size(); ++i) {
      MarkDone({occurrence, i}, 0, spec_->steps[i].task_count);
    }
  }
}

void job_state::RestoreTask(const task_record& record) {
  const task_name name{spec_->id, record.occurrence, record.step, record.index};
  if (!IsValid(name) || done_occurrences_.Contains(record.occurrence)) {
    return;
  }
  Open(record.occurrence);
  if (record.done) {
    MarkDone({record.occurrence, record.step}, record.index, record.index + 1);
    return;
  }
  job_task_state* task = Track(name);
  if (task == nullptr) {
    return;
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
}

job_result job_state::Result() const {
  job_result result;
  result.id = spec_->id;
  result.queue = spec_->queue;
  result.phase = phase_;
  result.arrived_at = submitted_at_;
  result.started_at = started_at_;
  result.deadline = deadline_;
  result.critical_path = longest_chain_;
  result.waits = waits_;
  result.repeated_runs = repeated_runs_;
  result.is_inherited = is_inherited_;
  result.is_given_up = is_given_up_;
  return result;
}

void job_state::AppendLive(std::vector<task_record>* tasks) const {
  for (const auto& [number, occurrence] : occurrences_) {
    for (const auto& [step_number, step] : occurrence.steps) {
      for (const auto& [index, task] : step.tracked()) {
        if (task.ended_run != 0 || !task.losses.empty()) {
          tasks->push_back({number, step_number, index, task.ended_run,
                            task.failed_runs, false, task.checkpoint,
                            task.is_presumed, task.losses});
        }
      }
    }
  }
}

done_ranges job_state::DoneRanges() const {
  done_ranges done;
  for (const auto& [begin, end] : done_occurrences_.ranges()) {
    done.occurrences.push_back({begin, end});
  }
  for (const auto& [number, occurrence] : occurrences_) {
    for (const auto& [begin, end] : occurrence.done_steps.ranges()) {
      done.steps.push_back({number, begin, end});
    }
    for (const auto& [step_number, step] : occurrence.steps) {
      const index_ranges tasks = step.DoneTasks();
      for (const auto& [begin, end] : tasks.ranges()) {
        done.tasks.push_back({number, step_number, begin, end});
      }
    }
  }
  return done;
}

void job_state::AppendDone(const done_ranges& done,
                           std::vector<task_record>* tasks) const {
  const auto append = [tasks](std::uint32_t occurrence, std::uint32_t step,
                              std::uint32_t begin, std::uint32_t end) {
    for (std::uint32_t i = begin; i < end; ++i) {
      tasks->push_back({occurrence, step, i, 1, {}, true, "", false, {}});
    }
  };
  const auto append_steps = [&](std::uint32_t occurrence, std::uint32_t begin,
                                std::uint32_t end) {
    for (std::uint32_t i = begin; i < end; ++i) {
      append(occurrence, i, 0, spec_->steps[i].task_count);
    }
  };
  const auto step_count = static_cast<std::uint32_t>(spec_->steps.size());
  for (const done_occurrences& range : done.occurrences) {
    for (std::uint32_t i = range.begin; i < range.end; ++i) {
      append_steps(i, 0, step_count);
    }
  }
  for (const done_steps& range : done.steps) {
    append_steps(range.occurrence, range.begin, range.end);
  }
  for (const done_tasks& range : done.tasks) {
    append(range.occurrence, range.step, range.begin, range.end);
  }
}

job_progress job_state::Progress() {
  job_progress progress;
  progress.phase = phase_;
  progress.unreported_runs = unreported_runs_;
  AppendLive(&progress.tasks);
  progress.done = DoneRanges();
  NoteRecordSize(progress);
  std::size_t live_bytes = 0;
  for (const task_record& task : progress.tasks) {
    live_bytes += RecordBytes(task);
  }
  if (live_bytes + done_ * kDoneTaskBytes > kMaxPlainBytes) {
    return progress;
  }
  AppendDone(progress.done, &progress.tasks);
  progress.done = done_ranges();
  std::sort(progress.tasks.begin(), progress.tasks.end(),
            [](const task_record& a, const task_record& b) {
              return std::tie(a.occurrence, a.step, a.index) <
                     std::tie(b.occurrence, b.step, b.index);
            });
  return progress;
}

void job_state::NoteRecordSize(const job_progress& progress) {
  const std::size_t reserved = ReservedBytes();
  record_bytes_ = RecordBytes(progress.done);
  extra_record_bytes_ = record_bytes_;
  for (const task_record& task : progress.tasks) {
    const std::size_t bytes = task.done ? 0 : RecordBytes(task);
    record_bytes_ += bytes;
    extra_record_bytes_ += bytes - std::min(bytes, reserved);
  }
}

}  // namespace plantainhead::core::jobs
