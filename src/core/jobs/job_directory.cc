#include "plantainhead/core/jobs/job_directory.h"

#include <utility>

#include "plantainhead/core/jobs/job_memory.h"
#include "plantainhead/core/jobs/job_progress.h"

namespace plantainhead::core::jobs {
namespace {

bool IsOpen(const directory_entry& entry) {
  return (entry.spec != nullptr || entry.is_unopened) &&
         !IsFinal(entry.progress.phase);
}

}  // namespace

job_phase directory_entry::Phase() const {
  if (IsFinal(progress.phase)) {
    return progress.phase;
  }
  return is_cancelled ? job_phase::kCancelled : progress.phase;
}

bool job_directory::IsPending(const directory_entry& entry) const {
  return entry.is_accepted && entry.Phase() == job_phase::kQueued;
}

void job_directory::CountOpen(const directory_entry& entry, bool was_open) {
  const bool is_open = IsOpen(entry);
  if (is_open == was_open) {
    return;
  }
  const std::pair<pool_id, queue_id> key(entry.pool, entry.queue);
  std::size_t& count = open_[key];
  count += is_open ? 1 : -1;
  if (count == 0) {
    open_.erase(key);
  }
}

template <typename Change>
void job_directory::Update(const job_id& id, Change change) {
  directory_entry& entry = entries_[id];
  const bool was_pending = IsPending(entry);
  const bool was_open = IsOpen(entry);
  change(&entry);
  const bool is_pending = IsPending(entry);
  if (is_pending && !was_pending) {
    ++pending_[entry.queue];
  } else if (was_pending && !is_pending) {
    --pending_[entry.queue];
  }
  CountOpen(entry, was_open);
  if (IsFinal(entry.progress.phase)) {
    DropSpec(&entry);
    if (entry.is_unopened) {
      entry.is_unopened = false;
      unopened_.erase(id);
    }
    entry.progress.tasks = {};
    entry.progress.done = {};
  }
}

void job_directory::DropSpec(directory_entry* entry) {
  if (entry->spec) {
    memory_ -= MemoryOf(*entry->spec);
    entry->spec.reset();
  }
}

bool job_directory::HasMemoryFor(const job_id& id, std::size_t bytes) const {
  if (IsWanted(id)) {
    return true;
  }
  const auto found = entries_.find(id);
  const bool has_progress =
      found != entries_.end() && found->second.HasProgress();
  const std::size_t limit =
      has_progress ? memory_limit_ + memory_limit_ / 2 : memory_limit_;
  return memory_ + bytes <= limit;
}

void job_directory::AddUnopened(const job_spec& spec) {
  Update(spec.id, [&](directory_entry* entry) {
    if (!entry->is_accepted) {
      entry->is_accepted = true;
      entry->is_unopened = true;
      entry->pool = spec.pool;
      entry->queue = spec.queue;
      unopened_[spec.id] = {MemoryOf(spec), spec.submitted_at, false};
    }
  });
}

void job_directory::Unopen(const job_id& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.spec) {
    return;
  }
  directory_entry& entry = found->second;
  unopened_[id] = {MemoryOf(*entry.spec), entry.spec->submitted_at, false};
  entry.is_unopened = true;
  DropSpec(&entry);
}

void job_directory::Want(const job_id& id) {
  const auto found = unopened_.find(id);
  if (found != unopened_.end()) {
    found->second.is_wanted = true;
  }
}

bool job_directory::IsWanted(const job_id& id) const {
  const auto found = unopened_.find(id);
  return found != unopened_.end() && found->second.is_wanted;
}

bool job_directory::AddJob(std::shared_ptr<const job_spec> spec) {
  bool is_new = false;
  const job_id id = spec->id;
  Update(id, [&](directory_entry* entry) {
    is_new = !entry->is_accepted || entry->is_unopened;
    if (is_new) {
      entry->is_unopened = false;
      unopened_.erase(id);
      memory_ += MemoryOf(*spec);
      entry->is_accepted = true;
      entry->pool = spec->pool;
      entry->queue = spec->queue;
      entry->spec = std::move(spec);
    }
  });
  return is_new;
}

void job_directory::NoteEnded(const job_id& id, job_phase phase) {
  Update(id, [&](directory_entry* entry) {
    entry->is_accepted = true;
    entry->progress.phase = phase;
  });
}

bool job_directory::NoteCancel(const job_id& id) {
  bool is_new = false;
  Update(id, [&](directory_entry* entry) {
    is_new = !entry->is_cancelled;
    entry->is_cancelled = true;
  });
  return is_new;
}

void job_directory::NoteProgress(const job_id& id, job_progress progress) {
  Update(id, [&](directory_entry* entry) {
    // Pages of the newest records are not a consistent snapshot: an older
    // record of the job may be read after its final one.
    if (!IsFinal(entry->progress.phase)) {
      Compact(&progress);
      entry->progress = std::move(progress);
    }
  });
}

void job_directory::NoteProgressPartition(const job_id& id,
                                          std::uint32_t partition) {
  entries_[id].progress_partitions |= std::uint64_t{1} << partition;
}

const directory_entry* job_directory::Find(const job_id& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.is_accepted) {
    return nullptr;
  }
  return &found->second;
}

bool job_directory::IsCancelled(const job_id& id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.is_cancelled;
}

std::size_t job_directory::Pending(const queue_id& queue) const {
  const auto found = pending_.find(queue);
  return found == pending_.end() ? 0 : found->second;
}

}  // namespace plantainhead::core::jobs
