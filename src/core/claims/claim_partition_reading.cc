// The part of `claim_partition` that handles the records of its stream.
#include <algorithm>
#include <string>
#include <variant>

#include "core/claims/claim_partition.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {

void claim_partition::OnLogRead(const log_read& read,
                                time_point now,
                                effects& out,
                                decision_list& decisions) {
  if (!is_following_) {
    return;
  }
  const read_continuity continuity = cursor_.Begin(read, now);
  if (continuity == read_continuity::kGap) {
    out.Do(follow_stream{stream_, cursor_.last_read()});
  }
  if (continuity == read_continuity::kContiguous) {
    ApplyEntries(read, now, decisions);
  }
  RejectIfBlocked(now, out, decisions);
  UnfollowIfDone(out);
  Flush(now, out);
}

void claim_partition::ApplyEntries(const log_read& read,
                                   time_point now,
                                   decision_list& decisions) {
  // A claimant that was paused may read its claim long after the others evicted
  // it, with a clock that did not advance meanwhile. Newer records in the same
  // read give a lower bound for the actual time.
  time_point newest;
  for (const log_entry& entry : read.entries) {
    if (const auto* claim = std::get_if<claim_request>(&entry.content.body)) {
      newest = std::max(newest, claim->at);
    }
  }
  const time_point grant_time = std::max(now, newest - options_.clock_skew);
  for (const log_entry& entry : read.entries) {
    if (cursor_.AdvanceTo(entry.offset)) {
      Apply(entry.content.body, now, grant_time, decisions);
    }
  }
  if (cursor_.ReachEnd(read.end)) {
    index_.EvictExpired(now);
    RejectAlreadyClaimed(now, decisions);
  }
}

void claim_partition::Apply(const record_body& body,
                            time_point now,
                            time_point grant_time,
                            decision_list& decisions) {
  const auto claim = [&](const claim_request& record) {
    if (record.key.empty()) {
      index_.Advance(record.at);
      cursor_.OnWatermark(record, now);
      watermarks_.OnWatermark(record, now);
      return;
    }
    index_.EvictExpired(now);
    const claim_status status = index_.Add(record, now);
    if (record.claimant == context_.self) {
      Resolve(record, status, now, grant_time, decisions);
    }
  };
  const auto release = [&](const release_claim& record) {
    index_.Release(HashOf(record.key), {record.claimant, record.request}, now);
  };
  std::visit(overloaded{claim, release, [](const auto&) {}}, body);
}

void claim_partition::Resolve(const claim_request& claim,
                              claim_status status,
                              time_point now,
                              time_point grant_time,
                              decision_list& decisions) {
  const auto it = pending_.find(HashOf(claim.key));
  if (it == pending_.end() || it->second.request != claim.request) {
    return;
  }
  if (status == claim_status::kLater) {
    Reject(it, claim_verdict::kAlreadyRun, duration::zero(), now, decisions);
    return;
  }
  // A coordinator that was paused must not grant a claim that it requested long
  // ago: the claim that blocked it at that time may be evicted by now.
  const pending_claim& pending = it->second;
  const time_point end =
      std::min(pending.deadline, pending.requested_at + options_.claim_timeout);
  if (status != claim_status::kFirst || cursor_.IsBlocked(now) ||
      grant_time >= end) {
    Reject(it, claim_verdict::kLogUnavailable, options_.retry_after, now,
           decisions);
    return;
  }
  running_[it->first] = {claim.request, now};
  pending_.erase(it);
  AddDecision(claim.request, claim_verdict::kGranted, duration::zero(),
              decisions);
}

// Waits until the stream was read to its end, since a later watermark may show
// that the unread records are expired.
void claim_partition::RejectIfBlocked(time_point now,
                                      effects& out,
                                      decision_list& decisions) {
  if (!cursor_.caught_up() || !cursor_.IsBlocked(now)) {
    return;
  }
  if (cursor_.TakeReport()) {
    ++context_.stats->unreadable_gaps;
    out.Log(log_severity::kError,
            "records of the claim window cannot be read; the stream was "
            "truncated or reset",
            {{"stream", stream_.value()},
             {"last_read", std::to_string(cursor_.last_read())}});
  }
  RejectAll(cursor_.BlockedFor(now), now, decisions);
}

void claim_partition::OnLogUnavailable(time_point now,
                                       effects& out,
                                       decision_list& decisions) {
  watermarks_.SetUnavailable();
  RejectAll(options_.retry_after, now, decisions);
  UnfollowIfDone(out);
  Flush(now, out);
}

bool claim_partition::OnAppendFinished(const append_finished& result,
                                       time_point now,
                                       effects& out) {
  const bool is_ours = writer_.OnAppendFinished(result, now);
  if (is_ours) {
    Flush(now, out);
  }
  return is_ours;
}

}  // namespace plantainhead::core
