#include "core/claims/claim_partition.h"

#include <algorithm>
#include <utility>

#include "plantainhead/core/log/records.h"

namespace plantainhead::core {

claim_partition::claim_partition(std::uint32_t number,
                                 const claim_partition_context& context)
    : stream_(ClaimStream(number)),
      context_(context),
      options_(*context.options),
      writer_(stream_, context.self, context.options, context.ids),
      index_(Retention()),
      cursor_(Retention()),
      watermarks_(context.self, context.options) {}

// --- coordinator ---------------------------------------------------------

void claim_partition::SetCoordinator(bool is_coordinator, effects& out) {
  is_coordinator_ = is_coordinator;
  if (is_coordinator_ && !is_following_) {
    Follow(out);
  }
  UnfollowIfDone(out);
}

void claim_partition::Follow(effects& out) {
  index_ = claim_index(Retention());
  is_following_ = true;
  cursor_ = claim_cursor(Retention());
  watermarks_ = claim_watermarks(context_.self, &options_);
  out.Do(follow_stream{stream_, 0});
}

void claim_partition::UnfollowIfDone(effects& out) {
  if (is_coordinator_ || !is_following_ || !pending_.empty()) {
    return;
  }
  is_following_ = false;
  index_ = claim_index(Retention());
  out.Do(unfollow_stream{stream_});
}

std::optional<duration> claim_partition::RefusalDelay(time_point now) const {
  if (cursor_.caught_up() && cursor_.IsBlocked(now)) {
    return std::max(cursor_.BlockedFor(now), options_.retry_after);
  }
  if (!is_coordinator_ || watermarks_.is_unavailable()) {
    return options_.retry_after;
  }
  return std::nullopt;
}

// --- requests ------------------------------------------------------------

void claim_partition::Acquire(const claim_key& key,
                              request_id request,
                              time_point deadline,
                              time_point now,
                              effects& out,
                              decision_list& decisions) {
  const key_hash hash = HashOf(key);
  const auto pending = pending_.find(hash);
  if (pending != pending_.end() && pending->second.request == request) {
    return;
  }
  index_.EvictExpired(now);
  if (const auto verdict = ExistingVerdict(hash)) {
    AddDecision(request, *verdict, options_.retry_after, decisions);
    return;
  }
  const bool is_full = context_.stats->claims_held >= options_.max_claims;
  const std::optional<duration> refusal = RefusalDelay(now);
  if (refusal || is_full || deadline <= now) {
    AddDecision(request, claim_verdict::kLogUnavailable,
                refusal.value_or(options_.retry_after), decisions);
    return;
  }
  Start(hash, {key, request, deadline, now});
  Flush(now, out);
}

// Returns the verdict on a new request if it can be given without a claim.
std::optional<claim_verdict> claim_partition::ExistingVerdict(
    const key_hash& hash) const {
  if (pending_.count(hash) > 0 || running_.count(hash) > 0) {
    return claim_verdict::kInProgress;
  }
  if (index_.Find(hash) != nullptr) {
    return claim_verdict::kAlreadyRun;
  }
  return std::nullopt;
}

void claim_partition::Start(const key_hash& hash, pending_claim claim) {
  claim.record_number = writer_.Add(claim_request{
      claim.key, context_.self, claim.request, claim.requested_at});
  next_timeout_ = std::min({next_timeout_, claim.deadline,
                            claim.requested_at + options_.claim_timeout});
  pending_.emplace(hash, std::move(claim));
}

void claim_partition::Release(const claim_key& key,
                              request_id request,
                              time_point now,
                              effects& out) {
  const auto it = running_.find(HashOf(key));
  if (it == running_.end() || it->second.request != request) {
    return;
  }
  running_.erase(it);
  AppendRelease(key, request, now);
  Flush(now, out);
}

void claim_partition::Complete(const claim_key& key,
                               request_id request,
                               const response& answer,
                               time_point now) {
  const key_hash hash = HashOf(key);
  const auto it = running_.find(hash);
  if (it == running_.end() || it->second.request != request) {
    return;
  }
  running_.erase(it);
  context_.answers->Put(hash, answer, now);
}

// Ends the claim here before the release is read back: any later claim of this
// entry for the key follows the release in the stream, too.
void claim_partition::AppendRelease(const claim_key& key,
                                    request_id request,
                                    time_point now) {
  index_.Release(HashOf(key), {context_.self, request}, now);
  writer_.Add(release_claim{key, context_.self, request});
  ++context_.stats->released;
}

// --- rejection -----------------------------------------------------------

// Ends a pending claim without a grant. The caller may be told that its request
// was not run, so the claim is never granted afterwards, even if its record is
// appended later. If the record may be in the stream, it is released; otherwise
// it would block the key for a window although no request with the key ran.
void claim_partition::Reject(pending_map::iterator it,
                             claim_verdict verdict,
                             duration retry_after,
                             time_point now,
                             decision_list& decisions) {
  const pending_claim claim = std::move(it->second);
  pending_.erase(it);
  if (!writer_.Withdraw(claim.record_number)) {
    AppendRelease(claim.key, claim.request, now);
  }
  AddDecision(claim.request, verdict, retry_after, decisions);
}

void claim_partition::RejectAll(duration retry_after,
                                time_point now,
                                decision_list& decisions) {
  while (!pending_.empty()) {
    Reject(pending_.begin(), claim_verdict::kLogUnavailable, retry_after, now,
           decisions);
  }
  next_timeout_ = time_point::max();
}

void claim_partition::RejectExpired(time_point now, decision_list& decisions) {
  if (now < next_timeout_) {
    return;
  }
  next_timeout_ = time_point::max();
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto here = it++;
    const pending_claim& claim = here->second;
    const time_point timeout = claim.requested_at + options_.claim_timeout;
    if (now >= timeout) {
      watermarks_.SetUnavailable();
    }
    if (now >= timeout || now >= claim.deadline) {
      Reject(here, claim_verdict::kLogUnavailable, options_.retry_after, now,
             decisions);
    } else {
      next_timeout_ = std::min({next_timeout_, timeout, claim.deadline});
    }
  }
}

// Rejects claims that were requested before the stream was read and whose keys
// turned out to be claimed.
void claim_partition::RejectAlreadyClaimed(time_point now,
                                           decision_list& decisions) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto here = it++;
    if (index_.Find(here->first) != nullptr) {
      Reject(here, claim_verdict::kAlreadyRun, duration::zero(), now,
             decisions);
    }
  }
}

void claim_partition::AddDecision(request_id request,
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
  RejectExpired(now, decisions);
  ExpireClaims(now);
  if (is_coordinator_ && cursor_.caught_up()) {
    watermarks_.Write(cursor_.WatermarkOffset(now), now, writer_);
  }
  UnfollowIfDone(out);
  Flush(now, out);
}

void claim_partition::ExpireClaims(time_point now) {
  index_.EvictExpired(now);
  // Requests end at their deadlines, which are limited by the window; one whose
  // end was never reported must not be kept for ever.
  if (now < next_running_check_) {
    return;
  }
  next_running_check_ = now + options_.clock_skew;
  std::erase_if(running_, [&](const auto& entry) {
    return entry.second.granted + Retention() <= now;
  });
}

void claim_partition::Flush(time_point now, effects& out) {
  if (is_following_ && !cursor_.caught_up()) {
    return;
  }
  writer_.Flush(now, out, *context_.stats);
}

}  // namespace plantainhead::core
