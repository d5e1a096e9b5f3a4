#ifndef PLANTAINHEAD_SRC_PLATFORM_APPENDER_H_
#define PLANTAINHEAD_SRC_PLATFORM_APPENDER_H_

#include "platform/link_worker.h"

namespace plantainhead::platform {

/// Executes `append_message`s sequentially.
class appender : public link_worker {
 public:
  explicit appender(link_context* context);

  /// Runs the message loop of the actor until the worker is stopped.
  void Run(caf::blocking_actor* self);

 private:
  core::append_finished Append(const core::append_records& what);
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_APPENDER_H_
