#include "core/claim_partition.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

#include "plantainhead/core/records.h"
#include "plantainhead/core/visit.h"

namespace plantainhead::core {

claim_partition::claim_partition(std::uint32_t number,
                                 const claim_shared& shared)
    : stream_(ClaimStream(number)),
      shared_(shared),
      options_(*shared.options),
      writer_(stream_, shared.self, shared.options, shared.ids),
      index_(Kept()) {}

// --- home ------------------------------------------------------------------

void claim_partition::SetHome(bool is_home, effects& out) {
  is_home_ = is_home;
  if (is_home_ && !is_following_) {
    Follow(out);
  }
  UnfollowIfDone(out);
}

void claim_partition::Follow(effects& out) {
  index_ = claim_index(Kept());
  is_following_ = true;
  caught_up_ = false;
  is_out_ = false;
  is_mark_pending_ = false;
  unread_.reset();
  newest_mark_ = time_point();
  next_ = 1;
  out.Do(follow_stream{stream_, 0});
}

void claim_partition::UnfollowIfDone(effects& out) {
  if (is_home_ || !is_following_ || !waiting_.empty()) {
    return;
  }
  is_following_ = false;
  index_ = claim_index(Kept());
  out.Do(unfollow_stream{stream_});
}

std::optional<duration> claim_partition::Refusal(time_point now) const {
  if (caught_up_ && IsBarred(now)) {
    return std::max(unread_->until - now, options_.retry_after);
  }
  if (!is_home_ || is_out_) {
    return options_.retry_after;
  }
  return std::nullopt;
}

// --- requests ----------------------------------------------------------------

void claim_partition::Ask(const claim_key& key,
                          request_id request,
                          time_point deadline,
                          time_point now,
                          effects& out,
                          decision_list& decisions) {
  const key_hash hash = HashOf(key);
  const auto waiting = waiting_.find(hash);
  if (waiting != waiting_.end() && waiting->second.request == request) {
    return;
  }
  index_.Forget(now);
  if (const auto verdict = StandingVerdict(hash)) {
    Decide(request, *verdict, options_.retry_after, decisions);
    return;
  }
  const bool is_full = shared_.figures->claims_held >= options_.most_claims;
  const std::optional<duration> refusal = Refusal(now);
  if (refusal || is_full || deadline <= now) {
    Decide(request, claim_verdict::kLogUnavailable,
           refusal.value_or(options_.retry_after), decisions);
    return;
  }
  Start(hash, {key, request, deadline, now});
  Flush(now, out);
}

// Returns what a new request with this key is told without a claim.
std::optional<claim_verdict> claim_partition::StandingVerdict(
    const key_hash& hash) const {
  if (waiting_.count(hash) > 0 || running_.count(hash) > 0) {
    return claim_verdict::kInProgress;
  }
  if (index_.Find(hash) != nullptr) {
    return claim_verdict::kAlreadyRun;
  }
  return std::nullopt;
}

void claim_partition::Start(const key_hash& hash, waiting_claim claim) {
  claim.record_number = writer_.Add(
      claim_request{claim.key, shared_.self, claim.request, claim.asked});
  next_late_ =
      std::min({next_late_, claim.deadline, claim.asked + options_.patience});
  waiting_.emplace(hash, std::move(claim));
}

void claim_partition::Release(const claim_key& key,
                              request_id request,
                              time_point now,
                              effects& out) {
  const auto place = running_.find(HashOf(key));
  if (place == running_.end() || place->second.request != request) {
    return;
  }
  running_.erase(place);
  AppendRelease(key, request, now);
  Flush(now, out);
}

void claim_partition::Finished(const claim_key& key,
                               request_id request,
                               const response& answer,
                               time_point now) {
  const key_hash hash = HashOf(key);
  const auto place = running_.find(hash);
  if (place == running_.end() || place->second.request != request) {
    return;
  }
  running_.erase(place);
  shared_.answers->Put(hash, answer, now);
}

// The claim is ended here before the release is read back: whatever this entry
// writes later for the key comes after the release in the stream, too.
void claim_partition::AppendRelease(const claim_key& key,
                                    request_id request,
                                    time_point now) {
  index_.Release(HashOf(key), {shared_.self, request}, now);
  writer_.Add(release_claim{key, shared_.self, request});
  ++shared_.figures->released;
}

// --- giving up
// -----------------------------------------------------------------

// Ends a waiting claim without a grant. The caller may be told that its request
// was not run, so the claim is never granted from here on, also when its record
// lands later. If it may land it is released, or it would bar the key for a
// window although nobody ran it.
void claim_partition::GiveUp(waiting_map::iterator place,
                             claim_verdict verdict,
                             duration retry_after,
                             time_point now,
                             decision_list& decisions) {
  const waiting_claim claim = std::move(place->second);
  waiting_.erase(place);
  if (!writer_.Withdraw(claim.record_number)) {
    AppendRelease(claim.key, claim.request, now);
  }
  Decide(claim.request, verdict, retry_after, decisions);
}

void claim_partition::GiveUpAll(duration retry_after,
                                time_point now,
                                decision_list& decisions) {
  while (!waiting_.empty()) {
    GiveUp(waiting_.begin(), claim_verdict::kLogUnavailable, retry_after, now,
           decisions);
  }
  next_late_ = time_point::max();
}

void claim_partition::GiveUpLate(time_point now, decision_list& decisions) {
  if (now < next_late_) {
    return;
  }
  next_late_ = time_point::max();
  for (auto place = waiting_.begin(); place != waiting_.end();) {
    const auto here = place++;
    const waiting_claim& claim = here->second;
    const time_point impatient = claim.asked + options_.patience;
    if (now >= impatient) {
      is_out_ = is_home_;
    }
    if (now >= impatient || now >= claim.deadline) {
      GiveUp(here, claim_verdict::kLogUnavailable, options_.retry_after, now,
             decisions);
    } else {
      next_late_ = std::min({next_late_, impatient, claim.deadline});
    }
  }
}

// Claims that were asked for before the stream was read, on keys that turned
// out to be claimed.
void claim_partition::GiveUpStanding(time_point now, decision_list& decisions) {
  for (auto place = waiting_.begin(); place != waiting_.end();) {
    const auto here = place++;
    if (index_.Find(here->first) != nullptr) {
      GiveUp(here, claim_verdict::kAlreadyRun, duration::zero(), now,
             decisions);
    }
  }
}

void claim_partition::Decide(request_id request,
                             claim_verdict verdict,
                             duration retry_after,
                             decision_list& decisions) {
  const bool may_ask_again = verdict == claim_verdict::kInProgress ||
                             verdict == claim_verdict::kLogUnavailable;
  decisions.push_back({request, verdict, std::nullopt,
                       may_ask_again ? retry_after : duration::zero()});
}

// --- the stream
// ------------------------------------------------------------------

void claim_partition::OnLogRead(const log_read& read,
                                time_point now,
                                effects& out,
                                decision_list& decisions) {
  if (!is_following_ || !CheckContinuity(read, now, out, decisions)) {
    return;
  }
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
    if (entry.offset < next_) {
      continue;
    }
    next_ = entry.offset + 1;
    Apply(entry.content.body, now, grant_time, decisions);
  }
  if (!caught_up_ && next_ > read.end) {
    caught_up_ = true;
    ForgetOld(now);
    GiveUpStanding(now, decisions);
  }
  ReportBar(now, out, decisions);
  UnfollowIfDone(out);
  Flush(now, out);
}

void claim_partition::Apply(const record_body& body,
                            time_point now,
                            time_point grant_time,
                            decision_list& decisions) {
  const auto claim = [&](const claim_request& record) {
    if (record.key.empty()) {
      OnMark(record, now);
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
  if (standing != claim_standing::kFirst || IsBarred(now) ||
      grant_time >= end) {
    GiveUp(place, claim_verdict::kLogUnavailable, options_.retry_after, now,
           decisions);
    return;
  }
  running_[place->first] = {claim.request, now};
  waiting_.erase(place);
  Decide(claim.request, claim_verdict::kGranted, duration::zero(), decisions);
}

// Returns whether the entries of `read` follow on what was read before.
bool claim_partition::CheckContinuity(const log_read& read,
                                      time_point now,
                                      effects& out,
                                      decision_list& decisions) {
  if (read.end + 1 < next_) {
    Bar(std::numeric_limits<log_offset>::max(), now);
    ReportBar(now, out, decisions);
    return false;
  }
  if (read.begin > next_) {
    Bar(read.begin, now);
    next_ = read.begin;
  }
  if (!read.entries.empty() && read.entries.front().offset > next_) {
    out.Do(follow_stream{stream_, next_ - 1});
    return false;
  }
  return true;
}

// Records before `begin` that were not read may hold claims that stand. A grant
// beside one of them would run its key twice. After a full window all of them
// are old, and retries of their keys are no longer allowed, so grants are safe
// again. A mark can show sooner that they are old; see `OnMark`.
void claim_partition::Bar(log_offset begin, time_point now) {
  const bool is_reported = IsBarred(now) && unread_->is_reported;
  const log_offset before = IsBarred(now) ? unread_->begin : 0;
  unread_ = {std::max(begin, before), now + Kept(), is_reported};
}

bool claim_partition::IsBarred(time_point now) const {
  return unread_ && now < unread_->until;
}

// Waits until the stream was read to its end, since a mark on the way may show
// that the records are old.
void claim_partition::ReportBar(time_point now,
                                effects& out,
                                decision_list& decisions) {
  if (!caught_up_ || !IsBarred(now)) {
    return;
  }
  if (!unread_->is_reported) {
    unread_->is_reported = true;
    ++shared_.figures->cuts;
    out.Note(note_level::kError,
             "claims of the window can't be read; the stream was cut or reset",
             {{"stream", stream_.value()}, {"next", std::to_string(next_)}});
  }
  GiveUpAll(unread_->until - now, now, decisions);
}

void claim_partition::OnLogUnavailable(time_point now,
                                       effects& out,
                                       decision_list& decisions) {
  is_out_ = is_home_;
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

// --- time
// ------------------------------------------------------------------------

void claim_partition::OnTick(time_point now,
                             effects& out,
                             decision_list& decisions) {
  GiveUpLate(now, decisions);
  ForgetOld(now);
  if (NeedsMark(now)) {
    AppendMark(now);
  }
  UnfollowIfDone(out);
  Flush(now, out);
}

void claim_partition::ForgetOld(time_point now) {
  index_.Forget(now);
  // Requests end at their deadlines, which the window caps; one whose end was
  // never reported must not stay for good.
  if (now < next_running_check_) {
    return;
  }
  next_running_check_ = now + options_.clock_skew;
  std::erase_if(running_, [&](const auto& entry) {
    return entry.second.granted + Kept() <= now;
  });
}

// A mark is a claim without a key. It shows that the log takes and returns
// records again, and tells later readers how far the stream reached at its
// time.
bool claim_partition::NeedsMark(time_point now) const {
  if (!is_home_ || !caught_up_) {
    return false;
  }
  if (is_mark_pending_ && now < mark_written_ + options_.patience) {
    return false;
  }
  return is_out_ || now >= newest_mark_ + options_.window / 2;
}

void claim_partition::AppendMark(time_point now) {
  if (is_mark_pending_) {
    writer_.Withdraw(mark_record_);
  }
  mark_written_ = now;
  is_mark_pending_ = true;
  const request_id last_read{shared_.self, next_ - 1};
  mark_record_ =
      writer_.Add(claim_request{claim_key(), shared_.self, last_read, now});
}

// Every record up to the offset in a mark was in the stream at the mark's time.
// So if a mark is older than claims are kept, the records that it covers are
// too, though they can't be read. This holds for late copies of a mark as well.
void claim_partition::OnMark(const claim_request& mark, time_point now) {
  index_.Advance(mark.at);
  newest_mark_ = std::max(newest_mark_, std::min(mark.at, now));
  if (unread_ && mark.request.sequence + 1 >= unread_->begin &&
      mark.at + Kept() <= now) {
    unread_.reset();
  }
  const bool is_newest_of_ours =
      mark.claimant == shared_.self && mark.at == mark_written_;
  if (!is_newest_of_ours || !is_mark_pending_) {
    return;
  }
  is_mark_pending_ = false;
  if (now < mark_written_ + options_.patience) {
    is_out_ = false;
  }
}

void claim_partition::Flush(time_point now, effects& out) {
  if (is_following_ && !caught_up_) {
    return;
  }
  writer_.Flush(now, out, *shared_.figures);
}

}  // namespace plantainhead::core
