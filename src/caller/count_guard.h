#ifndef PLANTAINHEAD_CALLER_COUNT_GUARD_H_
#define PLANTAINHEAD_CALLER_COUNT_GUARD_H_

#include <atomic>
#include <cstddef>

namespace plantainhead::caller {

/// Adds one to a count for its own lifetime, exceptions included.
class count_guard {
 public:
  /// `count` must outlive the guard.
  explicit count_guard(std::atomic<std::size_t>* count) : count_(count) {
    ++*count_;
  }
  ~count_guard() { --*count_; }

  count_guard(const count_guard&) = delete;
  count_guard& operator=(const count_guard&) = delete;

 private:
  std::atomic<std::size_t>* const count_;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_COUNT_GUARD_H_
