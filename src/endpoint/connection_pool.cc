#include "endpoint/connection_pool.h"

namespace plantainhead::endpoint {

connection_pool::connection_ptr connection_pool::Acquire(const address& where) {
  // Declared before the lock, so that the connections are closed after the
  // lock has been released.
  std::vector<connection_ptr> closing;
  const std::lock_guard<std::mutex> lock(mutex_);
  endpoint_connections& pool = endpoints_[where];
  if (pool.in_use >= limits_.max_connections) {
    return nullptr;
  }
  ++pool.in_use;
  const clock::time_point oldest = clock::now() - limits_.idle_timeout;
  while (!pool.idle.empty()) {
    idle_connection entry = std::move(pool.idle.back());
    pool.idle.pop_back();
    if (entry.idle_since >= oldest && entry.item->IsReusable()) {
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
  endpoint_connections& pool = endpoints_[where];
  --pool.in_use;
  const bool room = pool.in_use + pool.idle.size() < limits_.max_connections;
  if (room && item->IsReusable()) {
    pool.idle.push_back({std::move(item), now});
  } else {
    closing.push_back(std::move(item));
  }
  EvictExpired(now, &closing);
}

void connection_pool::EvictExpired(clock::time_point now,
                                   std::vector<connection_ptr>* closing) {
  if (now - last_eviction_ < limits_.idle_timeout) {
    return;
  }
  last_eviction_ = now;
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    std::vector<idle_connection>& idle = it->second.idle;
    auto expired = idle.begin();
    while (expired != idle.end() &&
           expired->idle_since < now - limits_.idle_timeout) {
      closing->push_back(std::move(expired->item));
      ++expired;
    }
    idle.erase(idle.begin(), expired);
    const bool unused = idle.empty() && it->second.in_use == 0;
    it = unused ? endpoints_.erase(it) : std::next(it);
  }
}

void connection_pool::Clear() {
  std::vector<idle_connection> closing;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [where, connections] : endpoints_) {
    for (idle_connection& entry : connections.idle) {
      closing.push_back(std::move(entry));
    }
    connections.idle.clear();
  }
}

}  // namespace plantainhead::endpoint
