#include "core/claims/claim_partition.h"

#include <algorithm>
#include <utility>

#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

claim_partition::claim_partition(std::uint32_t number,
                                 const claim_shared& shared)
    : stream_(ClaimStream(number)),
      shared_(shared),
      options_(*shared.options),
      writer_(stream_, shared.self, shared.options, shared.ids),
      index_(Kept()),
      cursor_(Kept()),
      marks_(shared.self, shared.options) {}

// --- home ----------------------------------------------------------------

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
  cursor_ = claim_cursor(Kept());
  marks_ = claim_marks(shared_.self, &options_);
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
  if (cursor_.caught_up() && cursor_.IsBarred(now)) {
    return std::max(cursor_.BarredFor(now), options_.retry_after);
  }
  if (!is_home_ || marks_.is_out()) {
    return options_.retry_after;
  }
  return std::nullopt;
}

// --- requests ------------------------------------------------------------

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

// --- giving up -----------------------------------------------------------

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
      marks_.SetOut();
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

// --- time ----------------------------------------------------------------

void claim_partition::OnTick(time_point now,
                             effects& out,
                             decision_list& decisions) {
  GiveUpLate(now, decisions);
  ForgetOld(now);
  if (is_home_ && cursor_.caught_up()) {
    marks_.Write(cursor_.MarkOffset(now), now, writer_);
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

void claim_partition::Flush(time_point now, effects& out) {
  if (is_following_ && !cursor_.caught_up()) {
    return;
  }
  writer_.Flush(now, out, *shared_.figures);
}

}  // namespace plantainhead::core
