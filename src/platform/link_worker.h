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

// The messages that the link sends to its actors. They stay in the process.

struct append_message {
  core::append_records what;
};
struct operation_message {
  core::run_operation what;
};
struct stop_message {};

}  // namespace plantainhead::platform

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::append_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::operation_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::platform::stop_message)

namespace plantainhead::platform {

/// What the workers of a link share.
struct link_context {
  platform_options options;
  platform_link::post_function post;

  std::mutex mutex;
  /// Signalled when a worker has ended.
  std::condition_variable ended;
  /// Workers whose thread still runs. Guarded by `mutex`.
  std::size_t running = 0;

  backoff MakeBackoff() const {
    return backoff(options.initial_backoff, options.max_backoff,
                   std::random_device()());
  }
};

/// A blocking actor with a connection of its own. A derived worker has
/// `void Run(caf::blocking_actor* self)`, which returns soon after `Stop`.
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

  /// Ends the worker: it posts nothing that it has not begun to post. A request
  /// that it is just about to send may still run to its end, unless this is
  /// called again.
  /// Thread safety: safe from any thread.
  void Stop() {
    stopping_ = true;
    caf::anon_send(address_, stop_message{});
    client_.Interrupt();
  }

  /// Returns true once the worker's thread no longer uses it.
  /// Thread safety: safe from any thread.
  bool HasEnded() const { return has_ended_; }

  /// Used by the link when it starts the actor that runs this worker.
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
