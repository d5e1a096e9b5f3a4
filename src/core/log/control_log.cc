#include "plantainhead/core/log/control_log.h"

#include <algorithm>
#include <utility>

namespace plantainhead::core {

control_log::control_log(control_log_settings settings,
                         append_ids* ids,
                         random_source* random)
    : settings_(std::move(settings)),
      ids_(ids),
      random_(random),
      queue_(settings_.queue, ids, random) {}

void control_log::Start(time_point /*now*/, effects& out) {
  FindSnapshots(out);
}

std::size_t control_log::OnLogRead(time_point now,
                                   const log_read& event,
                                   effects& out) {
  if (event.stream == kSnapshotStream) {
    if (phase_ != phase::kFollowing) {
      OnReadable(now, out);
    }
    OnSnapshotRead(event, out);
    return 0;
  }
  if (event.stream != kControlStream || phase_ != phase::kFollowing) {
    return 0;
  }
  OnReadable(now, out);
  const std::size_t applied = OnControlRead(event, out);
  TakeSnapshot(now, out);
  return applied;
}

void control_log::OnLogUnavailable(time_point /*now*/,
                                   const log_unavailable& event,
                                   effects& out) {
  const stream_name& needed =
      phase_ == phase::kFollowing ? kControlStream : kSnapshotStream;
  if (event.stream != needed || !log_readable_) {
    return;
  }
  log_readable_ = false;
  out.Log(log_severity::kWarning, "the log cannot be read",
          {{"stream", event.stream.value()}, {"detail", event.detail}});
}

void control_log::OnReadable(time_point now, effects& out) {
  if (log_readable_) {
    return;
  }
  log_readable_ = true;
  queue_.OnRecovered(now);
  out.Log(log_severity::kInfo, "the log can be read again");
}

bool control_log::OnAppendFinished(time_point now,
                                   const append_finished& event,
                                   effects& out) {
  if (event.append != append_id::kNone && event.append == snapshot_append_) {
    snapshot_append_ = append_id::kNone;
    if (event.result == append_result::kRejected) {
      out.Log(log_severity::kError, "the log rejected a snapshot");
    }
    return true;
  }
  std::vector<renamed_record> renamed;
  if (!queue_.OnAppendFinished(now, event, renamed)) {
    return false;
  }
  RenameCommands(renamed);
  AppendPending(now, out);
  return true;
}

void control_log::OnTick(time_point now, effects& out) {
  AnswerTimedOut(now, out);
  AppendPending(now, out);
  TakeSnapshot(now, out);
}

void control_log::Submit(time_point now,
                         std::vector<record_body> bodies,
                         effects& out) {
  std::size_t refused = 0;
  for (record_body& body : bodies) {
    if (!queue_.Push(settings_.name.value(), std::move(body))) {
      ++refused;
    }
  }
  if (refused > 0) {
    out.Log(log_severity::kError, "record queue full; dropped records",
            {{"dropped", std::to_string(refused)}});
  }
  AppendPending(now, out);
}

// After the log was truncated, this entry holds the newest state that exists.
// If it counted as not caught up, all entries would stop accepting requests at
// once because of a platform fault that requests do not depend on.
bool control_log::caught_up() const {
  return phase_ == phase::kFollowing && end_known_ &&
         state_.offset >= max_known_offset_;
}

bool control_log::log_readable() const {
  return log_readable_ && fault_ == log_fault::kNone;
}

// Nothing is written to a log that lost records: new records could take offsets
// at which other entries have applied different records.
bool control_log::CanWrite() const {
  return phase_ == phase::kFollowing && end_known_ &&
         fault_ == log_fault::kNone;
}

void control_log::AppendPending(time_point now, effects& out) {
  if (CanWrite()) {
    queue_.AppendPending(now, state_, out);
  }
}

void control_log::FollowControl(log_offset after, effects& out) {
  phase_ = phase::kFollowing;
  out.Do(follow_stream{kControlStream, after});
}

std::size_t control_log::OnControlRead(const log_read& event, effects& out) {
  if (!CanApply(event, out)) {
    return 0;
  }
  begin_ = event.begin;
  end_ = event.end;
  max_known_offset_ = std::max(max_known_offset_, event.end);
  end_known_ = true;
  ClearFault(out);
  return ApplyEntries(event, out);
}

std::size_t control_log::ApplyEntries(const log_read& event, effects& out) {
  std::size_t applied = 0;
  for (const log_entry& entry : event.entries) {
    if (entry.offset <= state_.offset) {
      continue;
    }
    ApplyEntry(entry, event.end, out);
    ++applied;
  }
  return applied;
}

void control_log::ApplyEntry(const log_entry& entry,
                             log_offset end,
                             effects& out) {
  const fold_result result = Apply(state_, entry);
  newest_record_ = entry.content.id;
  CheckDigests(end, out);
  queue_.OnReadBack(entry.content.id);
  AnswerReadBack(entry, result, out);
}

bool control_log::CanApply(const log_read& event, effects& out) {
  return fault_ != log_fault::kReplaced && MatchesAppliedHistory(event, out) &&
         IsNextRecordAvailable(event, out);
}

// The log returned with fewer records than were applied, as after a restore
// from a backup. Its next records take offsets that this entry has applied with
// other contents, so following it would revert a configuration or move a VM
// twice. The entry keeps its state and reads its newest offset again. Only
// finding the same record there proves that the reported end was merely stale.
bool control_log::MatchesAppliedHistory(const log_read& event, effects& out) {
  if (event.end < state_.offset) {
    if (fault_ != log_fault::kTruncated) {
      SetFault(log_fault::kTruncated,
               "log truncated: it ends at offset " + std::to_string(event.end) +
                   ", but " + std::to_string(state_.offset) +
                   " has been applied",
               out);
      FollowControl(state_.offset - 1, out);
    }
    return false;
  }
  if (fault_ != log_fault::kTruncated) {
    return true;
  }
  for (const log_entry& entry : event.entries) {
    if (entry.offset != state_.offset || !newest_record_) {
      continue;
    }
    if (entry.content.id == *newest_record_) {
      return true;
    }
    SetFault(log_fault::kReplaced,
             "log history replaced: record " + entry.content.id.value() +
                 " found at offset " + std::to_string(entry.offset) +
                 ", where " + newest_record_->value() + " has been applied",
             out);
    return false;
  }
  return false;
}

bool control_log::IsNextRecordAvailable(const log_read& event, effects& out) {
  const log_offset next = state_.offset + 1;
  const auto is_next = [&](const log_entry& entry) {
    return entry.offset <= next;
  };
  const bool has_gap =
      !event.entries.empty() && !is_next(event.entries.front());
  if (event.begin > next && (event.entries.empty() || has_gap)) {
    begin_ = event.begin;
    SetFault(log_fault::kRetentionGap,
             "records deleted by retention: the log begins at offset " +
                 std::to_string(event.begin) + ", but " + std::to_string(next) +
                 " is needed",
             out);
    out.Do(unfollow_stream{kControlStream});
    FindSnapshots(out);
    return false;
  }
  if (has_gap && !following_again_) {
    following_again_ = true;
    out.Log(log_severity::kWarning,
            "gap in the records read from the log; reading again",
            {{"next", std::to_string(next)}});
    FollowControl(state_.offset, out);
  }
  if (!has_gap) {
    following_again_ = false;
  }
  return !has_gap;
}

void control_log::SetFault(log_fault fault, std::string detail, effects& out) {
  fault_ = fault;
  fault_detail_ = std::move(detail);
  out.Log(log_severity::kError, fault_detail_,
          {{"fault", std::string(NameOf(fault))}});
}

void control_log::ClearFault(effects& out) {
  if (fault_ == log_fault::kNone) {
    return;
  }
  out.Log(log_severity::kInfo, "the log can be followed again",
          {{"fault", std::string(NameOf(fault_))}});
  fault_ = log_fault::kNone;
  fault_detail_.clear();
}

}  // namespace plantainhead::core
