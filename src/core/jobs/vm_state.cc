#include "core/jobs/vm_state.h"

#include <algorithm>

namespace plantainhead::core::jobs {
namespace {

// A VM's clock may run 2% slow, so that it takes 1/0.98 of the time to reach a
// given time on it; 1/0.975 leaves a quarter of the deviation as a reserve.
constexpr double kSlowestClock = 0.975;
// The time that a VM takes to end its tasks after its lease has expired.
constexpr duration kExpiryReserve = std::chrono::milliseconds(100);

}  // namespace

run_state* vm_state::Find(const task_name& task, std::uint32_t run) {
  const auto found = runs_.find(task);
  if (found == runs_.end() || found->second.run != run) {
    return nullptr;
  }
  return &found->second;
}

run_state& vm_state::Add(const task_name& task, const run_state& run) {
  Erase(task);
  if (!HasRunsOf(task.job)) {
    job_vms_->Add(task.job, this);
  }
  Count(run, 1);
  return runs_.emplace(task, run).first->second;
}

void vm_state::Erase(const task_name& task) {
  const auto found = runs_.find(task);
  if (found != runs_.end()) {
    Count(found->second, -1);
    const job_id job = found->first.job;
    runs_.erase(found);
    if (!HasRunsOf(job)) {
      job_vms_->Remove(job, this);
    }
  }
}

void vm_state::ClearRuns() {
  while (!runs_.empty()) {
    const task_name task = runs_.begin()->first;
    Erase(task);
  }
}

bool vm_state::HasRunsOf(const job_id& job) const {
  const auto found = runs_.lower_bound({job, 0, 0, 0});
  return found != runs_.end() && found->first.job == job;
}

void vm_state::Count(const run_state& run, int change) {
  used_ = change > 0 ? used_ + run.demand : used_ - run.demand;
  unknown_job_runs_ += run.IsOfUnknownJob() ? change : 0;
  long_running_ += run.IsLongRunning() ? change : 0;
  latency_sensitive_ += run.IsLatencySensitive() ? change : 0;
  newly_started_ += run.is_newly_started ? change : 0;
  newly_started_suspects_ +=
      run.is_newly_started && run.is_suspected ? change : 0;
}

void vm_state::MarkSurvived(run_state* run) {
  if (!run->is_newly_started) {
    return;
  }
  run->is_newly_started = false;
  --newly_started_;
  newly_started_suspects_ -= run->is_suspected ? 1 : 0;
}

void vm_state::RecordAnswer(duration vm_clock, time_point now) {
  has_answered_ = true;
  unanswered_ = 0;
  last_answer_at_ = now;
  clock_sample_ = vm_clock;
}

// Leases may have been granted on a clock that is no longer valid. The last of
// them has nevertheless expired by `lease_expires_at_`.
void vm_state::BeginIncarnation(const vm_incarnation& next, time_point now) {
  incarnation = next;
  incarnation_known_at_ = now;
  has_answered_ = false;
  unanswered_ = 0;
  clock_sample_ = duration::zero();
  granted_at_ = {};
  processed_through = 0;
  acknowledged_through = 0;
  unstored_ends.clear();
  unknown_end_since.reset();
  avoid_until = {};
  failures_in_row = 0;
  failing_jobs.clear();
  is_reconciled = false;
}

std::optional<duration> vm_state::Grant(duration lease, time_point now) {
  if (!has_answered_) {
    return std::nullopt;
  }
  granted_at_ = now;
  const duration until = clock_sample_ + (now - last_answer_at_) + lease;
  const auto longest = static_cast<std::int64_t>(
      static_cast<double>((until - clock_sample_).count()) / kSlowestClock);
  lease_expires_at_ = std::max(
      lease_expires_at_, last_answer_at_ + duration(longest) + kExpiryReserve);
  return until;
}

void vm_state::AssumeLease(time_point until) {
  lease_expires_at_ = std::max(lease_expires_at_, until);
}

}  // namespace plantainhead::core::jobs
