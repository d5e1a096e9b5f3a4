#ifndef PLANTAINHEAD_SRC_PLATFORM_OPERATION_RUNNER_H_
#define PLANTAINHEAD_SRC_PLATFORM_OPERATION_RUNNER_H_

#include <chrono>
#include <list>
#include <optional>

#include "platform/link_worker.h"

namespace plantainhead::platform {

/// Carries out `operation_message`s. Those that have not reached their effect
/// are asked again in turn.
class operation_runner : public link_worker {
 public:
  explicit operation_runner(link_context* context);

  /// The body of the actor.
  void Run(caf::blocking_actor* self);

 private:
  using steady = std::chrono::steady_clock;

  struct pending {
    core::run_operation what;
    steady::time_point deadline;
    steady::time_point next_poll;
  };

  void ReceiveMessages(caf::blocking_actor* self);
  // The one to be asked first. Precondition: some are pending.
  std::list<pending>::iterator NextToPoll();
  core::duration TimeUntilNextPoll();
  void PollNext();
  // Returns the end of the operation, or nothing while it runs.
  std::optional<core::operation_finished> Poll(const pending& item);

  std::list<pending> pending_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_OPERATION_RUNNER_H_
