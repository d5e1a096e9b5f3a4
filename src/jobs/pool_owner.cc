#include "jobs/pool_owner_impl.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "plantainhead/core/jobs/job_age.h"
#include "plantainhead/core/jobs/job_progress.h"

namespace plantainhead::jobs {

using core::jobs::vm_description;
using core::jobs::vm_id;

void pool_owner::impl::Close() {
  LogLines(lines_.TakeAll());
  is_closed_ = true;
  tick_timer_.cancel();
  plan_timer_.cancel();
  claim_timer_.cancel();
  links_.clear();
  writer_.reset();
}

core::jobs::scheduler_counts pool_owner::impl::Counts() const {
  return scheduler_ ? scheduler_->Counts() : core::jobs::scheduler_counts();
}

bool pool_owner::impl::IsOwnJob(const core::jobs::job_spec& job) const {
  const core::jobs::directory_entry* entry =
      deps_.view->directory().Find(job.id);
  const bool is_elsewhere = entry != nullptr && entry->HasProgress() &&
                            !entry->HasProgressIn(partition_);
  return PoolPartitionOf(job.pool) == partition_ && !is_elsewhere;
}

void pool_owner::impl::OnJob(
    const std::shared_ptr<const core::jobs::job_spec>& job) {
  const core::jobs::directory_entry* entry =
      deps_.view->directory().Find(job->id);
  const bool has_own_progress =
      entry != nullptr && entry->HasProgressIn(partition_);
  std::shared_ptr<const core::jobs::job_spec> own;
  if (has_own_progress) {
    // The job was closed before, or its queue was moved.
    own = OwnSpecOf(*entry);
  } else if (IsOwnJob(*job)) {
    own = job;
  }
  if (scheduler_ && own) {
    lines_.AddJob(job_event::kJobRead, job->id,
                  {{"partition", std::to_string(partition_)}}, BootTime());
    const core::duration age = core::jobs::AgeOf(*job, WallTime());
    scheduler_->AddJob(
        own, deps_.view->PolicyOf(job->queue), BootTime(), age,
        has_own_progress ? entry->progress : core::jobs::job_progress());
    const auto size = pool_sizings_.find(job->pool);
    if (size != pool_sizings_.end()) {
      size->second.arrivals.RecordArrival(*job, BootTime(), age);
    }
    // A page of newest records may contain a cancellation before its job.
    if (entry != nullptr && entry->is_cancelled) {
      scheduler_->CancelJob(job->id);
    }
    SchedulePlan();
  }
}

void pool_owner::impl::OnUnopenedJob(const core::jobs::job_id& job) {
  const core::jobs::directory_entry* entry = deps_.view->directory().Find(job);
  const bool is_own = entry != nullptr && entry->is_unopened &&
                      PoolPartitionOf(entry->pool) == partition_;
  if (scheduler_ && is_own) {
    scheduler_->AddUnopenedJob(job);
  }
}

void pool_owner::impl::OnCancel(const core::jobs::job_id& job) {
  if (scheduler_ && scheduler_->CancelJob(job)) {
    LogEvent(job_event::kCancellationRead,
             {{"job", job}, {"partition", std::to_string(partition_)}});
    SchedulePlan();
  }
}

void pool_owner::impl::OnRegistry(const std::set<vm_id>& changed) {
  if (!scheduler_) {
    return;
  }
  const core::jobs::vm_registry& registry = deps_.view->registry();
  for (const vm_id& id : changed) {
    const vm_description* vm = registry.Find(id);
    const bool is_own = vm != nullptr &&
                        deps_.view->routes().HasPool(vm->pool) &&
                        PoolPartitionOf(vm->pool) == partition_;
    if (is_own) {
      scheduler_->UpdateVm(*vm, BootTime());
      if (const auto until = deps_.view->report_validity().TrustedUntil(id)) {
        scheduler_->NoteReport(id, *until);
      }
    } else {
      scheduler_->UnregisterVm(id);
    }
    SyncClosed(id);
  }
  SchedulePlan();
}

void pool_owner::impl::OnReport(const vm_id& vm,
                                core::time_point trusted_until) {
  if (scheduler_) {
    scheduler_->NoteReport(vm, trusted_until);
  }
}

void pool_owner::impl::LoadRegistry() {
  const std::vector<vm_description> vms = deps_.view->registry().Usable(
      deps_.view->routes(), [this](const core::jobs::pool_id& pool) {
        return PoolPartitionOf(pool) == partition_;
      });
  scheduler_->UpdateVms(vms, BootTime());
  scheduler_->NoteReports(deps_.view->report_validity().trusted_until());
  SchedulePlan();
}

void pool_owner::impl::OnConfiguration() {
  if (scheduler_) {
    for (const core::jobs::queue_route& route :
         deps_.view->routes().configuration().routes) {
      scheduler_->SetPolicy(route.queue, route.policy);
    }
    // The configuration may name pools that it did not name before.
    LoadRegistry();
  }
}

void pool_owner::impl::Tick() {
  tick_timer_.expires_after(settings_.tick);
  tick_timer_.async_wait(
      [self = weak_from_this()](const boost::system::error_code& error) {
        const auto owner = self.lock();
        if (owner && !error && !owner->is_closed_) {
          owner->RunCycle();
          owner->SizePools();
          owner->Tick();
        }
      });
}

// Schedules one plan; events that arrive before it runs share it.
void pool_owner::impl::SchedulePlan() {
  if (is_plan_scheduled_) {
    return;
  }
  is_plan_scheduled_ = true;
  plan_timer_.expires_after(
      std::max<core::duration>(settings_.min_plan_interval,
                               settings_.plan_interval_factor * plan_time_));
  plan_timer_.async_wait(
      [self = weak_from_this()](const boost::system::error_code& error) {
        const auto owner = self.lock();
        if (owner && !error) {
          owner->is_plan_scheduled_ = false;
          owner->RunCycle();
        }
      });
}

void pool_owner::impl::RunCycle() {
  LogLines(lines_.TakeDue(BootTime()));
  if (!scheduler_ || is_closed_) {
    return;
  }
  if (scheduler_->IsFenced()) {
    LoseOwnership("a VM is held by an owner with a newer epoch");
    return;
  }
  {
    const auto links = Meter(loop_work::kLinks);
    SyncLinks();
  }
  const bool is_ownership_confirmed = deps_.is_ownership_confirmed();
  LogOwnershipConfirmation(is_ownership_confirmed);
  if (is_ownership_confirmed) {
    const auto plan = Meter(loop_work::kPlan);
    const core::time_point began = BootTime();
    NoteCancellationsRead(began);
    const std::vector<core::jobs::vm_order> orders =
        scheduler_->Plan(began, WallTime());
    plan_time_ = BootTime() - began;
    LogTakeoverWait(began);
    ProcessRestarts();
    LogLosses();
    deps_.meters->NotePlan(plan_time_);
    const auto starts = Meter(loop_work::kStarts);
    for (const core::jobs::vm_order& order : orders) {
      std::visit([this](const auto& kind) { Send(kind); }, order);
    }
  }
  StoreProgress();
  if (deps_.is_ownership_confirmed()) {
    const auto vacancies = Meter(loop_work::kVacancies);
    UpdateEmptiedVms();
    PublishVacantVms();
  }
}

// An owner whose ownership is not confirmed sends no orders and holds no VM, so
// that the tasks running there end when its lease expires.
void pool_owner::impl::LogOwnershipConfirmation(bool is_ownership_confirmed) {
  if (is_ownership_confirmed != was_confirmed_) {
    was_confirmed_ = is_ownership_confirmed;
    LogEvent(is_ownership_confirmed ? job_event::kOwnerSure
                                    : job_event::kOwnerUnsure,
             {{"partition", std::to_string(partition_)},
              {"epoch", std::to_string(epoch_)}});
  }
}

// Until a takeover is settled, tasks that an earlier owner may have started
// wait, regardless of free capacity.
void pool_owner::impl::LogTakeoverWait(core::time_point now) {
  if (is_takeover_settled_) {
    return;
  }
  const core::jobs::takeover_wait wait = scheduler_->TakeoverWait(now);
  if (!wait.is_over) {
    first_wait_ = first_wait_.value_or(wait);
    if (wait.registered + wait.unregistered > 0) {
      last_wait_ = wait;
    }
    return;
  }
  is_takeover_settled_ = true;
  const core::jobs::takeover_wait first = first_wait_.value_or(wait);
  LogEvent(job_event::kTakeoverSettled,
           {{"partition", std::to_string(partition_)},
            {"epoch", std::to_string(epoch_)},
            {"claimed_ms_ago", MillisOf(now - claimed_at_)},
            {"first_listed", std::to_string(first.registered)},
            {"first_unlisted", std::to_string(first.unregistered)},
            {"last_listed", std::to_string(last_wait_.registered)},
            {"last_unlisted", std::to_string(last_wait_.unregistered)},
            {"last_vm", last_wait_.vm}});
}

// While it is unknown which jobs were cancelled, tasks that could start are
// delayed; each such period is logged.
void pool_owner::impl::NoteCancellationsRead(core::time_point now) {
  const core::duration age = deps_.view->WatchedJobCopyAge();
  scheduler_->NoteCancellationsRead(now - age);
  const bool may_start = scheduler_->MayStart(now);
  if (may_start != may_start_) {
    may_start_ = may_start;
    LogEvent(may_start ? job_event::kStartsResumed : job_event::kStartsPaused,
             {{"partition", std::to_string(partition_)},
              {"job_copy_ms", MillisOf(age)}});
  }
}

void pool_owner::impl::LoseOwnership(const std::string& reason) {
  LogLines(lines_.TakeAll());
  LogEvent(job_event::kOwnershipLost,
           {{"partition", std::to_string(partition_)},
            {"epoch", std::to_string(epoch_)},
            {"reason", reason}});
  const auto on_fenced = deps_.on_fenced;
  Close();
  scheduler_.reset();
  on_fenced();
}

void pool_owner::impl::StoreProgress() {
  const auto progress = Meter(loop_work::kProgress);
  if (writer_->IsBusy()) {
    return;
  }
  std::vector<adapter::keyed_record> records = TakeVacancyRecords();
  auto batch = scheduler_->TakeBatch();
  if (batch) {
    NoteFullJobs(*batch);
    for (const auto& [id, progress] : batch->jobs) {
      if (auto record = EncodeProgress(id, progress)) {
        records.push_back(std::move(*record));
      }
    }
    // Removals come first: a VM that is used again was removed before.
    for (const vm_id& vm : batch->dropped_vms) {
      records.push_back(Encode(vm_record{vm, "", true}));
    }
    for (const core::jobs::known_vm& vm : batch->used_vms) {
      records.push_back(Encode(vm_record{vm.id, vm.address, false}));
    }
  }
  if (const auto token = tokens_.Reserve()) {
    records.push_back(Encode(owner_record{*token, deps_.member, {}}));
  }
  if (records.empty() && !batch) {
    return;
  }
  const auto stored =
      std::make_shared<std::optional<core::jobs::progress_batch>>(
          std::move(batch));
  writer_->Write(std::move(records), [self = weak_from_this(),
                                      stored](progress_writer::result result) {
    const auto owner = self.lock();
    if (owner && !owner->is_closed_ && owner->scheduler_) {
      owner->OnProgressStored(*stored, result);
    }
  });
}

void pool_owner::impl::NoteFullJobs(const core::jobs::progress_batch& batch) {
  const std::set<core::jobs::job_id> full(batch.full_jobs.begin(),
                                          batch.full_jobs.end());
  for (const auto& [id, progress] : batch.jobs) {
    if (full.count(id) == 0) {
      full_jobs_.erase(id);
    } else if (full_jobs_.insert(id).second) {
      LogEvent(job_event::kJobRecordFull,
               {{"job", id}, {"partition", std::to_string(partition_)}});
    }
  }
}

// The store would reject the whole batch for one record that is too large, and
// with it the progress of all other jobs.
std::optional<adapter::keyed_record> pool_owner::impl::EncodeProgress(
    const core::jobs::job_id& job,
    const core::jobs::job_progress& progress) {
  adapter::keyed_record record = Encode(progress_record{job, progress});
  const std::size_t bytes = adapter::BytesOf(record);
  if (bytes <= adapter::kMaxRecordBytes) {
    return record;
  }
  core::jobs::job_progress shortened = progress;
  core::jobs::FitIntoRecord(&shortened);
  record = Encode(progress_record{job, std::move(shortened)});
  const bool fits = adapter::BytesOf(record) <= adapter::kMaxRecordBytes;
  deps_.meters->NoteOversizedRecord();
  LogEvent(job_event::kRecordTooLarge,
           {{"job", job},
            {"partition", std::to_string(partition_)},
            {"bytes", std::to_string(bytes)},
            {"stored", fits ? "without checkpoints" : "no"}});
  return fits ? std::optional(std::move(record)) : std::nullopt;
}

void pool_owner::impl::OnProgressStored(
    const std::optional<core::jobs::progress_batch>& batch,
    progress_writer::result result) {
  const auto progress = Meter(loop_work::kProgress);
  if (result != progress_writer::result::kStored) {
    LoseOwnership("the store contains a claim of a newer owner");
    return;
  }
  tokens_.OnStored();
  OnVacanciesStored();
  if (batch) {
    for (const auto& [id, progress] : batch->jobs) {
      deps_.view->NoteProgress(partition_, id, progress);
    }
    for (const core::jobs::job_result& job : batch->results) {
      OnJobEnded(job);
    }
    scheduler_->OnBatchStored(*batch);
  }
  SchedulePlan();
}

void pool_owner::impl::OnJobEnded(const core::jobs::job_result& job) {
  const core::time_point now = BootTime();
  const auto verdict = deps_.meters->NoteResult(job, now);
  observe::log_fields fields = {
      {"job", job.id},
      {"phase", std::string(core::NameOf(job.phase))},
      {"verdict", std::string(core::NameOf(verdict))},
      {"ms", MillisOf(now - job.arrived_at)},
      {"allowed_ms", MillisOf(job.deadline - job.arrived_at)},
      {"chain_ms", MillisOf(job.critical_path)},
      {"repeated_runs", std::to_string(job.repeated_runs)}};
  if (job.started_at) {
    fields.emplace_back("first_start_ms",
                        MillisOf(*job.started_at - job.arrived_at));
  }
  for (const auto& [cause, name] : core::jobs::kWaitCauseNames) {
    if (job.waits.waited(cause) > core::duration::zero()) {
      fields.emplace_back("waited_" + std::string(name) + "_ms",
                          MillisOf(job.waits.waited(cause)));
    }
  }
  LogLines(lines_.TakeForJob(job.id));
  LogEvent(job_event::kJobEnded, fields);
  deps_.archiver->Add(job.queue, job.id, job.phase);
}

void pool_owner::impl::LogLines(const std::vector<aggregated_line>& lines) {
  for (const aggregated_line& line : lines) {
    LogEvent(line.event, line.fields);
  }
}

pool_owner::pool_owner(dependencies dependencies,
                       std::uint32_t partition,
                       const owner_settings& settings)
    : impl_(std::make_shared<impl>(std::move(dependencies),
                                   partition,
                                   settings)) {}

pool_owner::~pool_owner() {
  impl_->Close();
}

void pool_owner::Start(std::uint64_t generation) {
  impl_->Start(generation);
}

void pool_owner::Release(const std::function<void()>& on_released) {
  impl_->Release(on_released);
}

bool pool_owner::IsActive() const {
  return impl_->is_active();
}

std::uint64_t pool_owner::epoch() const {
  return impl_->epoch();
}

core::jobs::scheduler_counts pool_owner::Counts() const {
  return impl_->Counts();
}

void pool_owner::OnJob(const std::shared_ptr<const core::jobs::job_spec>& job) {
  impl_->OnJob(job);
}

void pool_owner::OnUnopenedJob(const core::jobs::job_id& job) {
  impl_->OnUnopenedJob(job);
}

void pool_owner::OnCancel(const core::jobs::job_id& job) {
  impl_->OnCancel(job);
}

void pool_owner::OnRegistry(const std::set<vm_id>& changed) {
  impl_->OnRegistry(changed);
}

void pool_owner::OnReport(const vm_id& vm, core::time_point trusted_until) {
  impl_->OnReport(vm, trusted_until);
}

void pool_owner::OnConfiguration() {
  impl_->OnConfiguration();
}

void pool_owner::OnFleetRecords(const std::set<std::string>& keys) {
  impl_->OnFleetRecords(keys);
}

}  // namespace plantainhead::jobs
