#ifndef PLANTAINHEAD_SRC_JOBS_THROTTLED_ACTION_H_
#define PLANTAINHEAD_SRC_JOBS_THROTTLED_ACTION_H_

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace plantainhead::jobs {

/// Coalesces requests for an expensive action into one run and limits the share
/// of time that the action takes. An action that scans all records, if run for
/// each record of a large response, would block the event loop for seconds.
/// Not thread-safe: to be used only from the thread of its `io_context`.
class throttled_action {
 public:
  /// Preconditions: `context` outlives this object; `action` is not empty.
  throttled_action(boost::asio::io_context* context,
                   std::function<void()> action);
  throttled_action(const throttled_action&) = delete;
  throttled_action& operator=(const throttled_action&) = delete;
  /// Discards a pending request without running the action.
  ~throttled_action();

  /// Schedules a run of the action, unless one is already scheduled. The action
  /// runs asynchronously, and not before a multiple of the duration of its
  /// previous run has passed.
  void Request();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_THROTTLED_ACTION_H_
