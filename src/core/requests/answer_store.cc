#include "core/requests/answer_store.h"

#include <iterator>

namespace plantainhead::core {
namespace {

// Memory that one answer takes besides its contents: list and map nodes, and
// the string objects.
constexpr std::size_t kFixedBytes = 320;

std::size_t BytesOf(const response& answer) {
  std::size_t bytes = kFixedBytes + answer.detail.size();
  for (const auto& [name, value] : answer.headers) {
    bytes += sizeof(header_list::value_type) + name.size() + value.size();
  }
  return bytes + (answer.body ? answer.body->size() : 0);
}

}  // namespace

void answer_store::Put(const key_hash& key,
                       const response& answer,
                       time_point now) {
  const std::size_t bytes = BytesOf(answer);
  if (bytes > max_answer_bytes_ || bytes > max_bytes_) {
    return;
  }
  const auto it = by_key_.find(key);
  if (it != by_key_.end()) {
    Erase(it->second);
  }
  while (bytes_ + bytes > max_bytes_) {
    Erase(std::prev(answers_.end()));
  }
  answers_.push_front({key, answer, now, bytes});
  by_key_[key] = answers_.begin();
  bytes_ += bytes;
}

const response* answer_store::Find(const key_hash& key) {
  const auto it = by_key_.find(key);
  if (it == by_key_.end()) {
    return nullptr;
  }
  answers_.splice(answers_.begin(), answers_, it->second);
  return &answers_.front().answer;
}

void answer_store::EvictOlderThan(time_point oldest) {
  while (!answers_.empty() && answers_.back().at < oldest) {
    Erase(std::prev(answers_.end()));
  }
}

void answer_store::Erase(answer_list::iterator it) {
  bytes_ -= it->bytes;
  by_key_.erase(it->key);
  answers_.erase(it);
}

}  // namespace plantainhead::core
