#ifndef PLANTAINHEAD_SRC_PLATFORM_OPERATION_RUNNER_H_
#define PLANTAINHEAD_SRC_PLATFORM_OPERATION_RUNNER_H_

#include <chrono>
#include <list>
#include <optional>

#include "platform/link_worker.h"

namespace plantainhead::platform {

/// Executes `operation_message`s. Operations that have not taken effect yet are
/// polled in turn.
class operation_runner : public link_worker {
 public:
  explicit operation_runner(link_context* context);

  /// Runs the message loop of the actor until the worker is stopped.
  void Run(caf::blocking_actor* self);

 private:
  using steady = std::chrono::steady_clock;

  struct pending {
    core::run_operation what;
    steady::time_point deadline;
    steady::time_point next_poll;
  };

  void ReceiveMessages(caf::blocking_actor* self);
  // Returns the operation that is due first. Precondition: at least one
  // operation is pending.
  std::list<pending>::iterator NextToPoll();
  core::duration TimeUntilNextPoll();
  void PollNext();
  // Returns the result of the operation, or nothing while it is running.
  std::optional<core::operation_finished> Poll(const pending& item);

  std::list<pending> pending_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_OPERATION_RUNNER_H_
