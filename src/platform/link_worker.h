#ifndef PLANTAINHEAD_SRC_PLATFORM_LINK_WORKER_H_
#define PLANTAINHEAD_SRC_PLATFORM_LINK_WORKER_H_

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <random>
#include <utility>

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/blocking_actor.hpp>
#include <caf/send.hpp>

#include "plantainhead/platform/platform_link.h"
#include "platform/backoff.h"
#include "platform/platform_http_client.h"

namespace plantainhead::platform {

// Messages that the link sends to its actors. They are never serialized.

/// Asks an `appender` to append records.
struct append_message {
  core::append_records what;
};
/// Asks an `operation_runner` to run an operation.
struct operation_message {
  core::run_operation what;
};
/// Wakes up a worker that is being stopped.
struct stop_message {};

}  // namespace plantainhead::platform

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::append_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::operation_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::stop_message)

namespace plantainhead::platform {

/// State shared by the workers of a link.
struct link_context {
  platform_options options;
  platform_link::post_function post;

  std::mutex mutex;
  /// Notified when a worker has ended.
  std::condition_variable ended;
  /// Number of workers whose threads are still running. Guarded by `mutex`.
  std::size_t running = 0;

  backoff MakeBackoff() const {
    return backoff(options.initial_backoff, options.max_backoff,
                   std::random_device()());
  }
};

/// Base class of the blocking actors that execute the work of a link, each with
/// its own connection to the platform. A derived class has a method `void
/// Run(caf::blocking_actor* self)` that returns soon after `Stop`.
class link_worker {
 public:
  link_worker(link_context* context, core::duration answer_timeout)
      : context_(*context),
        client_(context->options.host,
                context->options.port,
                context->options.connect_timeout,
                answer_timeout) {}

  link_worker(const link_worker&) = delete;
  link_worker& operator=(const link_worker&) = delete;

  /// Stops the worker: it starts no further post. A request that it is just
  /// about to send may still run to completion unless this is called again.
  /// Thread safety: safe from any thread.
  void Stop() {
    stopping_ = true;
    caf::anon_send(address_, stop_message{});
    client_.Interrupt();
  }

  /// Returns true once the thread of the worker no longer uses the object.
  /// Thread safety: safe from any thread.
  bool HasEnded() const { return has_ended_; }

  /// Called by the link when it starts the actor of this worker.
  void set_address(caf::actor address) { address_ = std::move(address); }
  const caf::actor& address() const { return address_; }
  void set_ended() { has_ended_ = true; }

 protected:
  ~link_worker() = default;

  bool IsStopping() const { return stopping_; }
  const platform_options& options() const { return context_.options; }

  void Post(core::event what) {
    if (!IsStopping()) {
      context_.post(std::move(what));
    }
  }

  link_context& context_;
  platform_http_client client_;

 private:
  caf::actor address_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> has_ended_ = false;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_LINK_WORKER_H_
