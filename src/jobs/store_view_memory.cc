#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/job_partitions.h"
#include "jobs/store_view.h"
#include "plantainhead/core/jobs/job_memory.h"

// Keeps the memory of accepted jobs within its limit. What cannot be held waits
// unopened in the store.

namespace plantainhead::jobs {
namespace {

constexpr std::size_t kMaxSmallJobBytes = std::size_t{64} << 10U;
constexpr std::chrono::milliseconds kOpeningInterval(500);
constexpr std::chrono::seconds kMinUnopeningInterval(1);

}  // namespace

bool store_view::MayBeOwned(const core::jobs::directory_entry& entry) const {
  return std::any_of(owned_pool_partitions_.begin(),
                     owned_pool_partitions_.end(),
                     [&entry](std::uint32_t owned) {
                       return PoolPartitionOf(entry.pool) == owned ||
                              entry.HasProgressIn(owned);
                     });
}

bool store_view::MayBeKnown(const core::jobs::directory_entry& entry) const {
  return std::any_of(
      owned_pool_partitions_.begin(), owned_pool_partitions_.end(),
      [this, &entry](std::uint32_t owned) {
        const bool is_owned =
            PoolPartitionOf(entry.pool) == owned || entry.HasProgressIn(owned);
        return is_owned &&
               (entry.HasProgress() || listeners_.is_owner_active(owned));
      });
}

bool store_view::HasMemoryForNewJob(std::size_t bytes) const {
  // A quarter is left for jobs that other processes accept, and another one for
  // small jobs.
  const std::size_t quarters = bytes > kMaxSmallJobBytes ? 2 : 3;
  const std::size_t limit = directory_.memory_limit() / 4 * quarters;
  return directory_.memory() + bytes <= limit;
}

bool store_view::MakeMemoryForNewJob(std::size_t bytes) {
  if (!HasMemoryForNewJob(bytes)) {
    UnopenOtherJobsAtTimes();
  }
  return HasMemoryForNewJob(bytes);
}

bool store_view::IsBeingTakenOver(const core::jobs::pool_id& pool) const {
  const std::uint32_t partition = PoolPartitionOf(pool);
  const bool is_owned =
      std::find(owned_pool_partitions_.begin(), owned_pool_partitions_.end(),
                partition) != owned_pool_partitions_.end();
  return is_owned && !listeners_.is_owner_active(partition);
}

bool store_view::AreJobsWaitingForTakeover() const {
  const auto& unopened = directory_.unopened();
  return std::any_of(unopened.begin(), unopened.end(), [this](const auto& job) {
    return IsBeingTakenOver(directory_.Find(job.first)->pool);
  });
}

void store_view::ApplySubmission(core::jobs::job_spec decoded) {
  const auto spec =
      std::make_shared<const core::jobs::job_spec>(std::move(decoded));
  const std::size_t bytes = core::jobs::MemoryOf(*spec);
  const bool is_taken_over = IsBeingTakenOver(spec->pool);
  if (!directory_.HasMemoryFor(spec->id, bytes)) {
    is_overfull_ = is_overfull_ || (is_taken_over && full_refreshes_ > 0);
    UnopenOtherJobsAtTimes();
  }
  const bool may_open =
      !(is_overfull_ && is_taken_over) || directory_.IsWanted(spec->id);
  if (may_open && directory_.HasMemoryFor(spec->id, bytes)) {
    if (directory_.AddJob(spec)) {
      listeners_.on_job(spec);
    }
    return;
  }
  directory_.AddUnopened(*spec);
  LogEvent(job_event::kJobUnopened,
           {{"job", spec->id},
            {"bytes", std::to_string(bytes)},
            {"held_bytes", std::to_string(directory_.memory())}});
  listeners_.on_unopened_job(spec->id);
  ScheduleOpening();
}

void store_view::UnopenOtherJobsAtTimes() {
  const core::time_point now = BootTime();
  if (now - other_jobs_unopened_at_ >= kMinUnopeningInterval) {
    other_jobs_unopened_at_ = now;
    UnopenOtherJobs();
  }
}

void store_view::UnopenOtherJobs() {
  std::vector<core::jobs::job_id> others;
  for (const auto& [id, entry] : directory_.entries()) {
    if (entry.spec && !MayBeKnown(entry)) {
      others.push_back(id);
    }
  }
  for (const core::jobs::job_id& id : others) {
    directory_.Unopen(id);
  }
}

std::set<std::uint32_t> store_view::WantWaitingJobs(bool is_takeover) {
  using waiting_job = std::tuple<bool, core::time_point, core::jobs::job_id>;
  std::vector<waiting_job> waiting;
  for (const auto& [id, job] : directory_.unopened()) {
    const core::jobs::directory_entry& entry = *directory_.Find(id);
    const bool is_held_back = !is_takeover && IsBeingTakenOver(entry.pool);
    if (MayBeOwned(entry) && !is_held_back) {
      waiting.emplace_back(!entry.HasProgress(),
                           job.submitted_at.value_or(core::time_point()), id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  std::set<std::uint32_t> partitions;
  std::size_t wanted_bytes = 0;
  for (const auto& [has_no_progress, submitted_at, id] : waiting) {
    const core::jobs::unopened_job& job = directory_.unopened().at(id);
    const bool has_memory =
        job.is_wanted || directory_.HasMemoryFor(id, wanted_bytes + job.bytes);
    if (!has_memory) {
      break;
    }
    wanted_bytes += job.bytes;
    directory_.Want(id);
    partitions.insert(JobPartitionOf(directory_.Find(id)->queue, id));
  }
  return partitions;
}

void store_view::OpenWaitingJobs() {
  for (const std::uint32_t partition : WantWaitingJobs(false)) {
    ReadAgain(partition);
  }
}

void store_view::EndOverfullRefresh(const std::function<void()>& on_done) {
  is_overfull_ = false;
  const std::set<std::uint32_t> partitions = WantWaitingJobs(true);
  const auto remaining = std::make_shared<std::size_t>(1);
  const auto on_read = [remaining, on_done](bool /*is_read*/) {
    if (--*remaining == 0) {
      on_done();
    }
  };
  for (const std::uint32_t partition : partitions) {
    const auto found = job_followers_.find(partition);
    if (found != job_followers_.end()) {
      ++*remaining;
      found->second->ReadAgain(on_read);
    }
  }
  on_read(true);
}

void store_view::OpenJob(const core::jobs::job_id& id) {
  const core::jobs::directory_entry* entry = directory_.Find(id);
  if (entry == nullptr || !entry->is_unopened || directory_.IsWanted(id)) {
    return;
  }
  directory_.Want(id);
  ReadAgain(JobPartitionOf(entry->queue, id));
}

void store_view::ReadAgain(std::uint32_t job_partition) {
  const auto found = job_followers_.find(job_partition);
  if (found == job_followers_.end()) {
    ScheduleOpening();
    return;
  }
  found->second->ReadAgain([this](bool is_read) {
    if (!is_read) {
      ScheduleOpening();
    }
  });
}

void store_view::ScheduleOpening() {
  if (is_opening_scheduled_) {
    return;
  }
  is_opening_scheduled_ = true;
  opening_timer_.expires_after(kOpeningInterval);
  opening_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      is_opening_scheduled_ = false;
      OpenWaitingJobs();
    }
  });
}

}  // namespace plantainhead::jobs
