#include "plantainhead/core/jobs/pool_scheduler.h"

#include <utility>

#include "core/jobs/pool_scheduler_impl.h"

namespace plantainhead::core::jobs {

pool_scheduler::pool_scheduler(const scheduler_settings& settings,
                               const takeover_bounds& takeover)
    : impl_(std::make_unique<impl>(settings, takeover)) {}

pool_scheduler::~pool_scheduler() = default;

void pool_scheduler::AddJob(std::shared_ptr<const job_spec> spec,
                            const queue_policy& policy,
                            time_point now,
                            duration age,
                            const job_progress& progress) {
  job_state* job = impl_->jobs().Add(std::move(spec), policy, now, age);
  if (job == nullptr) {
    return;
  }
  if (progress != job_progress()) {
    RestoreJob(job->spec().id, progress);
  }
  impl_->AdoptRunsOf(job->spec().id, now);
  if (impl_->has_registry()) {
    impl_->NoteReading(job);
  } else {
    job->MarkInherited();
  }
}

void pool_scheduler::NoteJobsRead(time_point through) {
  impl_->NoteJobsRead(through);
}

void pool_scheduler::NoteCancellationsRead(time_point through) {
  impl_->NoteCancellationsRead(through);
}

bool pool_scheduler::MayStart(time_point now) const {
  return impl_->MayStart(now);
}

bool pool_scheduler::MayStillStart(const job_id& job, time_point now) const {
  const job_state* found = impl_->jobs().Find(job);
  return found != nullptr && !IsFinal(found->phase()) && MayStart(now);
}

std::optional<unknown_job_vm> pool_scheduler::FindUnknownJob() const {
  return impl_->FindUnknownJob();
}

takeover_wait pool_scheduler::TakeoverWait(time_point now) const {
  return impl_->TakeoverWait(now);
}

void pool_scheduler::AddEndedJob(const job_id& id) {
  impl_->jobs().AddEnded(id);
}

void pool_scheduler::AddUnopenedJob(const job_id& id) {
  impl_->jobs().AddUnopened(id);
}

std::vector<job_id> pool_scheduler::ListedUnopenedJobs() const {
  return impl_->ListedUnopenedJobs();
}

void pool_scheduler::RestoreJob(const job_id& id,
                                const job_progress& progress) {
  job_state* job = impl_->jobs().Find(id);
  if (job != nullptr) {
    job->Restore(progress);
    impl_->jobs().NoteTasks(job);
    impl_->jobs().NoteLosses(job);
  }
}

void pool_scheduler::SetPolicy(const queue_id& queue,
                               const queue_policy& policy) {
  impl_->jobs().SetPolicy(queue, policy);
}

bool pool_scheduler::CancelJob(const job_id& id) {
  job_state* job = impl_->jobs().Find(id);
  if (job == nullptr || IsFinal(job->phase())) {
    return false;
  }
  job->Cancel();
  impl_->jobs().NoteChange(job);
  impl_->StopRunsOf(id);
  return true;
}

void pool_scheduler::AddKnownVm(const known_vm& vm) {
  impl_->AddKnownVm(vm);
}

void pool_scheduler::RestoreVacantVms(std::set<vm_id> vms) {
  impl_->RestoreVacantVms(std::move(vms));
}

void pool_scheduler::UpdateVms(const std::vector<vm_description>& vms,
                               time_point now) {
  impl_->UpdateVms(vms, now);
}

void pool_scheduler::UpdateVm(const vm_description& vm, time_point now) {
  impl_->UpdateVm(vm, now);
}

void pool_scheduler::UnregisterVm(const vm_id& vm) {
  impl_->UnregisterVm(vm);
}

void pool_scheduler::NoteReport(const vm_id& vm, time_point trusted_until) {
  impl_->NoteReport(vm, trusted_until);
}

void pool_scheduler::NoteReports(
    const std::map<vm_id, time_point>& trusted_until) {
  for (const auto& [vm, until] : trusted_until) {
    impl_->NoteReport(vm, until);
  }
}

void pool_scheduler::CloseVm(const vm_id& vm, time_point now) {
  const vm_state* known = impl_->PeekVm(vm);
  if (known != nullptr && !known->is_closed) {
    vm_state* found = impl_->FindVm(vm);
    found->is_closed = true;
    found->closed_at = now;
  }
}

std::optional<time_point> pool_scheduler::ClosedAt(const vm_id& vm) const {
  const vm_state* found = impl_->PeekVm(vm);
  return found != nullptr && found->is_closed ? std::optional(found->closed_at)
                                              : std::nullopt;
}

void pool_scheduler::OpenVm(const vm_id& vm) {
  const vm_state* known = impl_->PeekVm(vm);
  if (known != nullptr && known->is_closed) {
    impl_->FindVm(vm)->is_closed = false;
  }
}

pool_load pool_scheduler::Load(const pool_id& pool, time_point now) const {
  return impl_->Load(pool, now);
}

std::vector<vm_id> pool_scheduler::LeastUsed(const pool_id& pool,
                                             std::size_t count) const {
  return impl_->LeastUsed(pool, count);
}

bool pool_scheduler::IsEmpty(const vm_id& vm) const {
  const vm_state* found = impl_->PeekVm(vm);
  return found != nullptr && found->IsEmpty();
}

std::map<vm_id, time_point> pool_scheduler::LeaseEnds() const {
  std::map<vm_id, time_point> ends;
  for (const auto& [id, vm] : impl_->vms().All()) {
    if (vm.is_recorded) {
      ends[id] = vm.lease_expires_at();
    }
  }
  return ends;
}

std::vector<vm_description> pool_scheduler::Vms() const {
  std::vector<vm_description> all;
  for (const auto& [id, vm] : impl_->vms().All()) {
    all.push_back(vm.description());
  }
  return all;
}

const vm_description* pool_scheduler::FindVm(const vm_id& vm) const {
  const vm_state* found = impl_->PeekVm(vm);
  return found == nullptr ? nullptr : &found->description();
}

vm_incarnation pool_scheduler::IncarnationOf(const vm_id& vm) const {
  const vm_state* found = impl_->PeekVm(vm);
  return found == nullptr ? std::nullopt : found->incarnation;
}

std::vector<vm_id> pool_scheduler::TakeVmChanges() {
  return impl_->TakeVmChanges();
}

std::vector<vm_id> pool_scheduler::TakeEmptied() {
  return impl_->TakeEmptied();
}

void pool_scheduler::OnStartAnswer(const run_ref& target,
                                   start_result result,
                                   time_point now) {
  if (result == start_result::kFenced) {
    OnFenced();
    return;
  }
  impl_->NoteStartTime(impl_->FindVm(target.vm), target, now);
  time_point ordered_at;
  if (vm_state* vm = impl_->FindVm(target.vm)) {
    const run_state* run = vm->Find(target.task, target.run);
    ordered_at = run == nullptr ? ordered_at : run->ordered_at;
    impl_->ProcessStartAnswer(vm, target, result, now);
  }
  if (result == start_result::kReplaced) {
    OnReplaced(target.vm, now, ordered_at);
  }
}

void pool_scheduler::OnStopAnswer(const run_ref& target,
                                  bool is_answered,
                                  time_point now) {
  if (vm_state* vm = impl_->FindVm(target.vm)) {
    impl_->ProcessStopAnswer(vm, target, is_answered, now);
  }
}

void pool_scheduler::OnListing(const vm_id& vm,
                               time_point sent_at,
                               const run_listing& listing,
                               time_point now) {
  if (vm_state* found = impl_->FindVm(vm)) {
    impl_->ProcessListing(found, sent_at, listing, now);
  }
}

bool pool_scheduler::OnHoldUnanswered(const vm_id& vm,
                                      std::optional<time_point> sent_at) {
  vm_state* found = impl_->FindVm(vm);
  if (found == nullptr) {
    return true;
  }
  if (sent_at && *sent_at < found->incarnation_known_at()) {
    return false;
  }
  // Only for the first of several unanswered holds in a row.
  if (found->IsReachable()) {
    impl_->SuspectNewlyStartedRuns(found);
  }
  found->NoteUnanswered();
  return true;
}

bool pool_scheduler::OnReplaced(const vm_id& vm,
                                time_point now,
                                std::optional<time_point> sent_at) {
  const vm_state* known = impl_->PeekVm(vm);
  if (known != nullptr && sent_at && *sent_at < known->incarnation_known_at()) {
    return false;
  }
  impl_->Replace(vm, now);
  return true;
}

duration pool_scheduler::AnswerDelay() const {
  return impl_->AnswerDelay();
}

bool pool_scheduler::IsStartWindowFull() const {
  return impl_->IsStartWindowFull();
}

hold_parameters pool_scheduler::NextHold(const vm_id& vm, time_point now) {
  vm_state* found = impl_->FindVm(vm);
  return found == nullptr ? hold_parameters() : impl_->NextHold(found, now);
}

std::vector<vm_order> pool_scheduler::Plan(time_point now,
                                           time_point wall_now) {
  if (is_fenced_) {
    return {};
  }
  return impl_->Plan(now, wall_now);
}

std::vector<lost_run> pool_scheduler::TakeLosses() {
  return impl_->TakeLosses();
}

std::vector<vm_restart> pool_scheduler::TakeRestarts() {
  return impl_->TakeRestarts();
}

std::optional<progress_batch> pool_scheduler::TakeBatch() {
  return impl_->TakeBatch();
}

void pool_scheduler::OnBatchStored(const progress_batch& batch) {
  impl_->NoteStored(batch);
}

scheduler_counts pool_scheduler::Counts() const {
  return impl_->Counts();
}

}  // namespace plantainhead::core::jobs
