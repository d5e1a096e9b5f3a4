#include "core/claims/claim_index.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace plantainhead::core {

key_hash HashOf(const claim_key& key) {
  const std::string& text = key.value();
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.low64, hash.high64};
}

claim_status claim_index::Add(const claim_request& claim, time_point now) {
  Advance(claim.at);
  const claim_identity id{claim.claimant, claim.request};
  // A copy of a claim can be appended after its release: an append whose answer
  // was lost may take effect late. Treated as a new claim it would block the
  // key for a window although no request with the key runs.
  if (released_.count(id) > 0) {
    return claim_status::kReleased;
  }
  const key_hash key = HashOf(claim.key);
  if (IsActive(key, id)) {
    return claim_status::kDuplicate;
  }
  const active_claim added{id, ClampedNewest(now)};
  by_age_.push_back({added.at, key});
  ++claims_;
  auto [it, is_new] = keys_.try_emplace(key);
  key_claims& claims = it->second;
  if (is_new) {
    claims.first = added;
    return claim_status::kFirst;
  }
  if (claims.later == nullptr) {
    claims.later = std::make_unique<std::vector<active_claim>>();
  }
  claims.later->push_back(added);
  return claim_status::kLater;
}

void claim_index::Release(const key_hash& key,
                          const claim_identity& id,
                          time_point now) {
  RemoveIf(key, [&](const active_claim& claim) { return claim.id == id; });
  if (released_.insert(id).second) {
    releases_by_age_.push_back({now, id});
  }
}

void claim_index::Advance(time_point at) {
  newest_ = std::max(newest_, at);
}

void claim_index::EvictExpired(time_point now) {
  while (!by_age_.empty() && by_age_.front().at + retention_ <= now) {
    RemoveIf(by_age_.front().key, [&](const active_claim& claim) {
      return claim.at + retention_ <= now;
    });
    by_age_.pop_front();
  }
  while (!releases_by_age_.empty() &&
         releases_by_age_.front().at + retention_ <= now) {
    released_.erase(releases_by_age_.front().id);
    releases_by_age_.pop_front();
  }
}

const claim_identity* claim_index::Find(const key_hash& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second.first.id;
}

bool claim_index::IsActive(const key_hash& key,
                           const claim_identity& id) const {
  const auto it = keys_.find(key);
  if (it == keys_.end()) {
    return false;
  }
  const key_claims& claims = it->second;
  if (claims.first.id == id) {
    return true;
  }
  return claims.later != nullptr &&
         std::any_of(claims.later->begin(), claims.later->end(),
                     [&](const active_claim& claim) { return claim.id == id; });
}

template <typename Predicate>
void claim_index::RemoveIf(const key_hash& key, Predicate predicate) {
  const auto it = keys_.find(key);
  if (it == keys_.end()) {
    return;
  }
  key_claims& claims = it->second;
  if (claims.later != nullptr) {
    claims_ -= std::erase_if(*claims.later, predicate);
  }
  if (predicate(claims.first)) {
    --claims_;
    if (claims.later == nullptr || claims.later->empty()) {
      keys_.erase(it);
      return;
    }
    claims.first = claims.later->front();
    claims.later->erase(claims.later->begin());
  }
  if (claims.later != nullptr && claims.later->empty()) {
    claims.later.reset();
  }
}

// A claimant's clock may be slow: the times of a stream are treated as never
// decreasing, otherwise its claims would be evicted early and their keys could
// run twice. A clock may also be fast: a claim is never treated as newer than
// the time at which it is read, otherwise it would block its key for too long.
time_point claim_index::ClampedNewest(time_point now) const {
  return std::min(newest_, now);
}

}  // namespace plantainhead::core
