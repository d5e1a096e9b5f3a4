#ifndef PLANTAINHEAD_SRC_PLATFORM_WORKER_H_
#define PLANTAINHEAD_SRC_PLATFORM_WORKER_H_

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <random>

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/blocking_actor.hpp>

#include "plantainhead/platform/platform_link.h"
#include "platform/backoff.h"
#include "platform/http_client.h"

namespace plantainhead::platform {

// The messages that the link sends to its actors. They stay in the process.

struct append_job {
  core::append_records what;
};
struct follow_job {
  core::follow_stream what;
};
struct unfollow_job {};
struct operation_job {
  core::run_operation what;
};
struct stop_job {};

}  // namespace plantainhead::platform

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::append_job)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::follow_job)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::unfollow_job)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::operation_job)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::stop_job)

namespace plantainhead::platform {

/// What the workers of a link share.
struct link_context {
  platform_options options;
  platform_link::post_function post;
  std::atomic<bool> stopping = false;

  std::mutex mutex;
  /// Signalled when a worker has ended.
  std::condition_variable ended;
  /// Workers whose thread still runs. Guarded by `mutex`.
  std::size_t running = 0;

  /// Posts `what` unless the link is being stopped.
  /// Thread safety: safe from any thread.
  void Post(core::event what) {
    if (!stopping) {
      post(std::move(what));
    }
  }

  backoff MakeBackoff() const {
    return backoff(options.first_backoff, options.greatest_backoff,
                   std::random_device()());
  }
};

/// A blocking actor with a connection of its own. A derived worker has
/// `void Run(caf::blocking_actor* self)`, which returns once
/// `link_context::stopping` is set and a `stop_job` or an interruption has
/// come.
class worker {
 public:
  worker(link_context* context, core::duration answer_timeout)
      : context_(*context),
        client_(context->options.host,
                context->options.port,
                context->options.connect_timeout,
                answer_timeout) {}

  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  /// Ends a request that is in progress.
  /// Thread safety: safe from any thread.
  void Interrupt() { client_.Interrupt(); }

  /// The actor that runs this worker; set before the link uses it.
  caf::actor address;

 protected:
  ~worker() = default;

  bool IsStopping() const { return context_.stopping; }
  const platform_options& options() const { return context_.options; }

  link_context& context_;
  http_client client_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_WORKER_H_
