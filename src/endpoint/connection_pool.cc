#include "endpoint/connection_pool.h"

namespace plantainhead::endpoint {

connection_pool::connection_ptr connection_pool::Acquire(const address& where) {
  // Closed after the lock is released.
  std::vector<connection_ptr> closing;
  const std::lock_guard<std::mutex> lock(mutex_);
  endpoint_connections& mine = endpoints_[where];
  if (mine.in_use >= limits_.most_connections) {
    return nullptr;
  }
  ++mine.in_use;
  const clock::time_point oldest = clock::now() - limits_.keep_idle;
  while (!mine.kept.empty()) {
    kept_connection entry = std::move(mine.kept.back());
    mine.kept.pop_back();
    if (entry.since >= oldest && entry.item->IsReusable()) {
      return std::move(entry.item);
    }
    closing.push_back(std::move(entry.item));
  }
  return std::make_unique<endpoint_connection>(where.first, where.second,
                                               limits_.connect_timeout);
}

void connection_pool::Release(const address& where, connection_ptr item) {
  std::vector<connection_ptr> closing;
  const std::lock_guard<std::mutex> lock(mutex_);
  const clock::time_point now = clock::now();
  endpoint_connections& mine = endpoints_[where];
  --mine.in_use;
  const bool room = mine.in_use + mine.kept.size() < limits_.most_connections;
  if (room && item->IsReusable()) {
    mine.kept.push_back({std::move(item), now});
  } else {
    closing.push_back(std::move(item));
  }
  Sweep(now, &closing);
}

void connection_pool::Sweep(clock::time_point now,
                            std::vector<connection_ptr>* closing) {
  if (now - swept_ < limits_.keep_idle) {
    return;
  }
  swept_ = now;
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    std::vector<kept_connection>& kept = it->second.kept;
    auto expired = kept.begin();
    while (expired != kept.end() && expired->since < now - limits_.keep_idle) {
      closing->push_back(std::move(expired->item));
      ++expired;
    }
    kept.erase(kept.begin(), expired);
    const bool unused = kept.empty() && it->second.in_use == 0;
    it = unused ? endpoints_.erase(it) : std::next(it);
  }
}

void connection_pool::Clear() {
  std::vector<kept_connection> closing;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [where, connections] : endpoints_) {
    for (kept_connection& entry : connections.kept) {
      closing.push_back(std::move(entry));
    }
    connections.kept.clear();
  }
}

}  // namespace plantainhead::endpoint
