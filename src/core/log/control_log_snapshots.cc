#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "core/jitter.h"
#include "plantainhead/core/log/control_log.h"
#include "plantainhead/core/log/record_number.h"

// Restores a control_log from snapshots and writes snapshots.
namespace plantainhead::core {
namespace {

// Number of newest snapshots that an entry reads at startup. Only if all of
// them are invalid, it reads four times as many. A snapshot takes up to 2 MB as
// text and several times that while it is decoded; the snapshots of a whole day
// would not fit into an entry's memory.
constexpr log_offset kInitialSnapshotCount = 1;
constexpr log_offset kSnapshotCountFactor = 4;

// Offset beyond the end of any stream. A read after it returns no records, only
// the beginning and the end of the stream.
constexpr log_offset kBeyondEnd = log_offset{1} << 62;

// A snapshot becomes due when the newest one lies in the older half of the
// records that the log retains, so that it is appended before retention deletes
// the records after the newest one.
constexpr log_offset kRetentionDivisor = 2;

incarnation WriterOf(const record_id& id) {
  const std::optional<record_number> number = ParseRecordId(id);
  return number ? number->writer : incarnation::kNone;
}

}  // namespace

void control_log::FindSnapshots(effects& out) {
  phase_ = phase::kFindingSnapshots;
  candidate_.reset();
  out.Do(follow_stream{kSnapshotStream, kBeyondEnd});
}

void control_log::ReadSnapshots(log_offset count, effects& out) {
  phase_ = phase::kReadingSnapshots;
  snapshots_requested_ = count;
  const log_offset before_begin =
      snapshots_begin_ - std::min<log_offset>(snapshots_begin_, 1);
  const log_offset before_newest =
      snapshots_end_ - std::min(snapshots_end_, count);
  snapshots_read_ = std::max(before_begin, before_newest);
  out.Do(follow_stream{kSnapshotStream, snapshots_read_});
}

void control_log::OnSnapshotRead(const log_read& event, effects& out) {
  snapshots_begin_ = event.begin;
  if (phase_ == phase::kFindingSnapshots) {
    snapshots_end_ = event.end;
    ReadSnapshots(kInitialSnapshotCount, out);
    return;
  }
  for (const log_entry& entry : event.entries) {
    snapshots_read_ = std::max(snapshots_read_, entry.offset);
    ConsiderSnapshot(entry, out);
  }
  if (phase_ != phase::kReadingSnapshots) {
    return;
  }
  // Retention may delete snapshots while a read is in progress.
  const log_offset reachable = std::max(
      snapshots_read_, event.begin - std::min<log_offset>(event.begin, 1));
  if (reachable >= snapshots_end_) {
    FinishSnapshots(out);
  }
}

void control_log::ConsiderSnapshot(const log_entry& entry, effects& out) {
  const auto* taken = std::get_if<snapshot_taken>(&entry.content.body);
  if (taken == nullptr) {
    return;
  }
  // A corrupted snapshot, or one written by another version with fields that
  // this version cannot read, would start this entry from a state that no other
  // entry has.
  if (taken->state == nullptr || Digest(*taken->state) != taken->digest) {
    out.Log(log_severity::kError, "ignored a snapshot with a wrong digest",
            {{"snapshot", std::to_string(entry.offset)},
             {"author", entry.content.author}});
    return;
  }
  const log_offset offset = taken->state->offset;
  if (offset >= newest_snapshot_) {
    newest_snapshot_ = offset;
    newest_snapshot_at_ = entry.offset;
  }
  max_known_offset_ = std::max(max_known_offset_, offset);
  if (phase_ != phase::kReadingSnapshots) {
    CompareDigests(offset, taken->digest, WriterOf(entry.content.id), out);
    return;
  }
  if (candidate_ == nullptr || offset > candidate_->offset) {
    candidate_ = taken->state;
  }
}

void control_log::FinishSnapshots(effects& out) {
  const bool has_older =
      snapshots_requested_ < snapshots_end_ &&
      snapshots_end_ - snapshots_requested_ >= snapshots_begin_;
  if (candidate_ == nullptr && has_older) {
    ReadSnapshots(snapshots_requested_ * kSnapshotCountFactor, out);
    return;
  }
  if (candidate_ != nullptr && candidate_->offset > state_.offset) {
    state_ = *candidate_;
    newest_record_.reset();
    out.Log(log_severity::kInfo, "restored the state from a snapshot",
            {{"offset", std::to_string(state_.offset)}});
  }
  candidate_.reset();
  snapshots_requested_ = snapshots_end_;
  // No snapshot covers the deleted records yet; a later snapshot may.
  if (fault_ == log_fault::kRetentionGap && state_.offset + 1 < begin_) {
    return;
  }
  FollowControl(state_.offset, out);
}

// Returns true if the state has grown by `records` since the newest snapshot,
// or, once retention has deleted records, if that snapshot lies in the oldest
// 1/`divisor` of the retained records, or if retention has deleted the snapshot
// itself.
bool control_log::IsSnapshotDue(log_offset records, log_offset divisor) const {
  const bool is_dropped =
      newest_snapshot_ != 0 && newest_snapshot_at_ < snapshots_begin_;
  if (newest_snapshot_ >= state_.offset) {
    return is_dropped;
  }
  const log_offset kept = end_ - std::min(begin_, end_);
  const bool is_old = begin_ > 1 && newest_snapshot_ < begin_ + kept / divisor;
  const log_offset growth = state_.offset - newest_snapshot_;
  return growth >= records || is_old || is_dropped;
}

// A single entry writes snapshots: the planner, or without one the member with
// the smallest incarnation.
bool control_log::IsSnapshotWriter() const {
  if (state_.members.contains(state_.lease.holder)) {
    return state_.lease.holder == settings_.queue.self;
  }
  return !state_.members.empty() &&
         state_.members.begin()->first == settings_.queue.self;
}

// The snapshot writer may be dead but not yet expelled, or frozen. Retention
// would then delete the records after the newest snapshot, and no entry could
// join any more. Therefore any member writes an overdue snapshot, after a
// random delay in which a snapshot of another member may arrive.
bool control_log::IsBackupSnapshotDue(time_point now) {
  const bool is_overdue =
      state_.members.contains(settings_.queue.self) &&
      IsSnapshotDue(2 * settings_.snapshot_records, 2 * kRetentionDivisor);
  if (!is_overdue) {
    backup_snapshot_at_.reset();
    return false;
  }
  if (!backup_snapshot_at_) {
    backup_snapshot_at_ = now + Jitter(*random_, settings_.snapshot_retry);
  }
  return now >= *backup_snapshot_at_;
}

void control_log::TakeSnapshot(time_point now, effects& out) {
  if (!caught_up() || !log_readable() || now < next_snapshot_ ||
      snapshot_append_ != append_id::kNone) {
    return;
  }
  const bool is_mine =
      IsSnapshotWriter() &&
      IsSnapshotDue(settings_.snapshot_records, kRetentionDivisor);
  if (!is_mine && !IsBackupSnapshotDue(now)) {
    return;
  }
  record taken;
  taken.id = MakeRecordId({settings_.queue.self, state_.offset});
  taken.author = settings_.name.value();
  taken.body = snapshot_taken{std::make_shared<const fleet_state>(state_),
                              Digest(state_)};
  snapshot_append_ = ids_->Next();
  next_snapshot_ = now + settings_.snapshot_retry;
  out.Do(append_records{snapshot_append_, kSnapshotStream, {std::move(taken)}});
}

}  // namespace plantainhead::core
