#ifndef PLANTAINHEAD_SRC_JOBS_THROTTLED_ACTION_H_
#define PLANTAINHEAD_SRC_JOBS_THROTTLED_ACTION_H_

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// Runs an action once for many requests. An action that looks through all
/// records, run for each record of a large answer, takes seconds, in which
/// nothing else is done. Not thread-safe: used from the thread of its
/// `io_context` only.
class throttled_action {
 public:
  /// Preconditions: `context` outlives it; `action` is set.
  throttled_action(boost::asio::io_context* context,
                   std::function<void()> action);
  throttled_action(const throttled_action&) = delete;
  throttled_action& operator=(const throttled_action&) = delete;
  /// Ends without running what is requested.
  ~throttled_action();

  /// Runs the action later: after the handlers that are under way, and not
  /// before a multiple of the time has passed that the last run took.
  void Request();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_THROTTLED_ACTION_H_
