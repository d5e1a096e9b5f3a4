#ifndef PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_INDEX_H_
#define PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "plantainhead/core/ids.h"
#include "plantainhead/core/log/records.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// A hash that represents a key in memory. Two keys with the same hash share
/// their claims: the second is refused as already run, which is safe.
struct key_hash {
  std::uint64_t low = 0;
  std::uint64_t high = 0;

  friend bool operator==(const key_hash&, const key_hash&) = default;
};

struct key_hash_hasher {
  std::size_t operator()(const key_hash& hash) const noexcept {
    return static_cast<std::size_t>(hash.low);
  }
};

key_hash HashOf(const claim_key& key);

/// Identifies a claim; all copies of its record in the log share it.
struct claim_identity {
  incarnation claimant = incarnation::kNone;
  request_id request;

  friend bool operator==(const claim_identity&,
                         const claim_identity&) = default;
};

struct claim_identity_hasher {
  std::size_t operator()(const claim_identity& id) const noexcept {
    return std::hash<request_id>()(id.request) ^
           static_cast<std::size_t>(id.claimant);
  }
};

/// Status of a claim record at its position in the stream.
enum class claim_status {
  /// No earlier claim of its key is active.
  kFirst,
  /// Another claim of its key is active.
  kLater,
  /// The same claim was read before.
  kDuplicate,
  /// Its claimant released it before this record was read.
  kReleased,
};

/// Indexes the active claims of one stream by key, in the order of the stream.
///
/// Two readers may evict an expired claim at different times, and so may
/// disagree about which of two claims is the first. So every claim that was
/// read, including later ones, is kept until it is released or expired:
/// whichever claim another reader took for the first, it blocks the key here as
/// well.
///
/// Thread safety: none.
class claim_index {
 public:
  /// A claim is evicted `retention` after its time.
  explicit claim_index(duration retention) : retention_(retention) {}

  claim_status Add(const claim_request& claim, time_point now);

  /// Ends the claim `id` on `key`, including records of it that are read later.
  /// Claims of others are not affected.
  void Release(const key_hash& key, const claim_identity& id, time_point now);

  /// Records the time of a record that was read.
  void Advance(time_point at);

  void EvictExpired(time_point now);

  /// Returns the first active claim on `key`, or null.
  const claim_identity* Find(const key_hash& key) const;

  /// Returns whether the claim `id` on `key` is active.
  bool IsActive(const key_hash& key, const claim_identity& id) const;

  /// Returns the greatest time of a record read so far.
  time_point newest() const { return newest_; }
  std::size_t size() const { return claims_; }

 private:
  struct active_claim {
    claim_identity id;
    time_point at;
  };
  struct key_claims {
    active_claim first;
    /// Claims that are not the first and are not released yet; null for almost
    /// all keys.
    std::unique_ptr<std::vector<active_claim>> later;
  };
  struct old_key {
    time_point at;
    key_hash key;
  };
  struct old_release {
    time_point at;
    claim_identity id;
  };

  template <typename Predicate>
  void RemoveIf(const key_hash& key, Predicate predicate);
  time_point ClampedNewest(time_point now) const;

  duration retention_;
  time_point newest_;
  std::size_t claims_ = 0;
  std::unordered_map<key_hash, key_claims, key_hash_hasher> keys_;
  std::deque<old_key> by_age_;
  std::unordered_set<claim_identity, claim_identity_hasher> released_;
  std::deque<old_release> releases_by_age_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_CLAIMS_CLAIM_INDEX_H_
