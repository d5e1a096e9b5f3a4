#ifndef PLANTAINHEAD_SRC_NET_MEMORY_BUDGET_H_
#define PLANTAINHEAD_SRC_NET_MEMORY_BUDGET_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace plantainhead::net {

/// Bounds the bytes that the HTTP servers of a process hold for requests.
/// Growth beyond the bound evicts the incomplete request that began first. Not
/// thread-safe.
class memory_budget {
 public:
  class holding;

  /// `limit` is in bytes.
  explicit memory_budget(std::size_t limit) : limit_(limit) {}
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  /// Returns the number of bytes held.
  std::size_t held() const { return held_; }

 private:
  std::size_t limit_;
  std::size_t held_ = 0;
  // The requests that can be evicted, in the order of their beginnings.
  std::list<holding*> evictable_;
};

/// The bytes held by one connection; released by the destructor. Not
/// thread-safe.
class memory_budget::holding {
 public:
  /// Without a budget, nothing is bounded. `evict` is called at most once for
  /// each `BeginRequest`, when the bytes have been released.
  holding(std::shared_ptr<memory_budget> budget, std::function<void()> evict);
  holding(const holding&) = delete;
  holding& operator=(const holding&) = delete;
  ~holding();

  /// Makes the holding evictable, as the one that began last.
  void BeginRequest();
  /// The holding is not evicted from now on.
  void Pin();
  /// Changes the number of bytes held. If that exceeds the limit, other
  /// requests that began earlier are evicted; returns false, and changes
  /// nothing, if that does not make enough room.
  [[nodiscard]] bool TryResize(std::size_t bytes);
  /// Changes the number of bytes held whatever the limit is.
  void Resize(std::size_t bytes);

 private:
  std::shared_ptr<memory_budget> budget_;
  std::function<void()> evict_;
  std::size_t bytes_ = 0;
  std::list<holding*>::iterator place_;
  bool is_evictable_ = false;
};

}  // namespace plantainhead::net

#endif  // PLANTAINHEAD_SRC_NET_MEMORY_BUDGET_H_
