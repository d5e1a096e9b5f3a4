#ifndef PLANTAINHEAD_SRC_CORE_REQUESTS_ANSWER_STORE_H_
#define PLANTAINHEAD_SRC_CORE_REQUESTS_ANSWER_STORE_H_

#include <cstddef>
#include <list>
#include <unordered_map>

#include "core/claims/claim_index.h"
#include "plantainhead/core/requests/request.h"
#include "plantainhead/core/time.h"

namespace plantainhead::core {

/// Caches the answers of finished requests by key, within a limit of bytes;
/// evicts the least recently used answers first. Thread safety: none.
class answer_store {
 public:
  answer_store(std::size_t max_bytes, std::size_t max_answer_bytes)
      : max_bytes_(max_bytes), max_answer_bytes_(max_answer_bytes) {}

  /// Stores `answer` unless it is too large.
  void Put(const key_hash& key, const response& answer, time_point now);

  /// Returns the answer, or null.
  const response* Find(const key_hash& key);

  /// Removes answers that were stored before `oldest`.
  void EvictOlderThan(time_point oldest);

  std::size_t bytes() const { return bytes_; }

 private:
  struct stored_answer {
    key_hash key;
    response answer;
    time_point at;
    std::size_t bytes = 0;
  };
  using answer_list = std::list<stored_answer>;

  void Erase(answer_list::iterator it);

  const std::size_t max_bytes_;
  const std::size_t max_answer_bytes_;
  std::size_t bytes_ = 0;
  /// Ordered by last use, the most recently used in front.
  answer_list answers_;
  std::unordered_map<key_hash, answer_list::iterator, key_hash_hasher> by_key_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_SRC_CORE_REQUESTS_ANSWER_STORE_H_
