#ifndef PLANTAINHEAD_SRC_OBSERVE_LINE_QUEUE_H_
#define PLANTAINHEAD_SRC_OBSERVE_LINE_QUEUE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace plantainhead::observe {

/// Passes lines from many threads to one writer.
///
/// The thread of the decisions writes log lines. If it wrote them itself, a log
/// reader that stops reading would block it on a full pipe; the entry would
/// miss its heartbeats and be expelled while nothing is wrong with it. With the
/// queue only the writer's thread blocks, and the bound keeps the memory.
/// Thread safety: safe from any thread.
class line_queue {
 public:
  using write_function = std::function<void(const std::string& line)>;
  /// Makes the line that tells how many were dropped.
  using dropped_function = std::function<std::string(std::uint64_t dropped)>;

  /// Starts the writer's thread.
  line_queue(std::size_t capacity,
             write_function write,
             dropped_function describe_dropped);
  line_queue(const line_queue&) = delete;
  line_queue& operator=(const line_queue&) = delete;

  /// Ends the writer's thread as `Stop` does.
  ~line_queue();

  /// Adds a line, or counts it as dropped when the queue is full. Never blocks
  /// on the writer.
  void Push(std::string line);

  /// Waits until all lines are written, at most `limit`, and ends the thread.
  /// A thread that is stuck in the write function is left behind with what it
  /// needs. Returns false in that case.
  bool Stop(std::chrono::milliseconds limit);

 private:
  // Shared with the thread, which may outlive the queue.
  struct shared_state {
    std::size_t capacity = 0;
    write_function write;
    dropped_function describe_dropped;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> lines;
    std::uint64_t dropped = 0;
    bool stopping = false;
    bool finished = false;
  };

  static void Run(const std::shared_ptr<shared_state>& state);

  std::shared_ptr<shared_state> state_;
};

}  // namespace plantainhead::observe

#endif  // PLANTAINHEAD_SRC_OBSERVE_LINE_QUEUE_H_
