#ifndef PLANTAINHEAD_FAKES_GROWING_POOL_H_
#define PLANTAINHEAD_FAKES_GROWING_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <httplib.h>

namespace plantainhead::fakes {

/// Threads for the connections of an HTTP server, started as they are needed up
/// to a number: the server holds one for each open connection, and most
/// stand-ins have few. The HTTP library owns it.
class growing_pool : public httplib::TaskQueue {
 public:
  explicit growing_pool(std::size_t most) : most_(most) {}

  /// Thread safety: safe from any thread.
  void enqueue(std::function<void()> task) override {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
    if (idle_ < tasks_.size() && threads_.size() < most_) {
      threads_.emplace_back([this] { Work(); });
    }
    changed_.notify_one();
  }

  /// Ends the tasks that were queued, and all threads.
  void shutdown() override {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      changed_.notify_all();
    }
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

 private:
  void Work() {
    std::unique_lock lock(mutex_);
    while (true) {
      ++idle_;
      changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      --idle_;
      if (tasks_.empty()) {
        return;
      }
      const std::function<void()> task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  const std::size_t most_;
  std::mutex mutex_;
  // All below are guarded by `mutex_`; `threads_` doesn't change once
  // `stopping_` is set.
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_GROWING_POOL_H_
