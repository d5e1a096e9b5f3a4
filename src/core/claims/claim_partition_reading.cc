// What a partition does with the records of its stream.
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
  if (continuity == read_continuity::kLeftOut) {
    out.Do(follow_stream{stream_, cursor_.last_read()});
  }
  if (continuity == read_continuity::kFollows) {
    TakeEntries(read, now, decisions);
  }
  GiveUpIfBarred(now, out, decisions);
  UnfollowIfDone(out);
  Flush(now, out);
}

void claim_partition::TakeEntries(const log_read& read,
                                  time_point now,
                                  decision_list& decisions) {
  // A claimant that was frozen may come to read its claim long after the others
  // forgot it, with a clock that stood still meanwhile. Newer records in the
  // same read show how late it is at least.
  time_point newest;
  for (const log_entry& entry : read.entries) {
    if (const auto* claim = std::get_if<claim_request>(&entry.content.body)) {
      newest = std::max(newest, claim->at);
    }
  }
  const time_point grant_time = std::max(now, newest - options_.clock_skew);
  for (const log_entry& entry : read.entries) {
    if (cursor_.Take(entry.offset)) {
      Apply(entry.content.body, now, grant_time, decisions);
    }
  }
  if (cursor_.ReachEnd(read.end)) {
    index_.Forget(now);
    GiveUpStanding(now, decisions);
  }
}

void claim_partition::Apply(const record_body& body,
                            time_point now,
                            time_point grant_time,
                            decision_list& decisions) {
  const auto claim = [&](const claim_request& record) {
    if (record.key.empty()) {
      index_.Advance(record.at);
      cursor_.OnMark(record, now);
      marks_.OnMark(record, now);
      return;
    }
    index_.Forget(now);
    const claim_standing standing = index_.Add(record, now);
    if (record.claimant == shared_.self) {
      Settle(record, standing, now, grant_time, decisions);
    }
  };
  const auto release = [&](const release_claim& record) {
    index_.Release(HashOf(record.key), {record.claimant, record.request}, now);
  };
  std::visit(overloaded{claim, release, [](const auto&) {}}, body);
}

void claim_partition::Settle(const claim_request& claim,
                             claim_standing standing,
                             time_point now,
                             time_point grant_time,
                             decision_list& decisions) {
  const auto place = waiting_.find(HashOf(claim.key));
  if (place == waiting_.end() || place->second.request != claim.request) {
    return;
  }
  if (standing == claim_standing::kLater) {
    GiveUp(place, claim_verdict::kAlreadyRun, duration::zero(), now, decisions);
    return;
  }
  // A frozen home must not grant what it asked for long ago: the claim that
  // stood in the way then may be forgotten by now.
  const waiting_claim& waiting = place->second;
  const time_point end =
      std::min(waiting.deadline, waiting.asked + options_.patience);
  if (standing != claim_standing::kFirst || cursor_.IsBarred(now) ||
      grant_time >= end) {
    GiveUp(place, claim_verdict::kLogUnavailable, options_.retry_after, now,
           decisions);
    return;
  }
  running_[place->first] = {claim.request, now};
  waiting_.erase(place);
  Decide(claim.request, claim_verdict::kGranted, duration::zero(), decisions);
}

// Waits until the stream was read to its end, since a mark on the way may show
// that what was not read is old.
void claim_partition::GiveUpIfBarred(time_point now,
                                     effects& out,
                                     decision_list& decisions) {
  if (!cursor_.caught_up() || !cursor_.IsBarred(now)) {
    return;
  }
  if (cursor_.Report()) {
    ++shared_.figures->cuts;
    out.Log(log_severity::kError,
            "claims of the window can't be read; the stream was cut or reset",
            {{"stream", stream_.value()},
             {"last_read", std::to_string(cursor_.last_read())}});
  }
  GiveUpAll(cursor_.BarredFor(now), now, decisions);
}

void claim_partition::OnLogUnavailable(time_point now,
                                       effects& out,
                                       decision_list& decisions) {
  marks_.SetOut();
  GiveUpAll(options_.retry_after, now, decisions);
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
