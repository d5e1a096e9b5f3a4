#include "plantainhead/platform/platform_link.h"

#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include <caf/actor_system.hpp>
#include <caf/send.hpp>

#include "platform/appender.h"
#include "platform/link_worker.h"
#include "platform/list_reader.h"
#include "platform/operation_runner.h"
#include "platform/stream_reader.h"

namespace plantainhead::platform {
namespace {

// Interval at which `Stop` repeats the stop request until all workers have
// ended.
constexpr auto kStopInterval = std::chrono::milliseconds(5);

// The HTTP library writes to sockets that the platform may have closed. The
// resulting SIGPIPE would terminate the process; if it is blocked, the write
// fails with an error instead. The signal masks of other threads are not
// changed.
void BlockPipeSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Marks a worker as ended when its thread no longer uses the link.
class running_worker_guard {
 public:
  running_worker_guard(link_context* context, link_worker* link_worker)
      : context_(*context), worker_(*link_worker) {}
  ~running_worker_guard() {
    const std::lock_guard lock(context_.mutex);
    worker_.set_ended();
    --context_.running;
    context_.ended.notify_all();
  }

  running_worker_guard(const running_worker_guard&) = delete;
  running_worker_guard& operator=(const running_worker_guard&) = delete;

 private:
  link_context& context_;
  link_worker& worker_;
};

}  // namespace

class platform_link::implementation {
 public:
  implementation(caf::actor_system& system,
                 platform_options options,
                 post_function post);
  ~implementation() { Stop(); }

  void Append(core::append_records action);
  void Follow(core::follow_stream action);
  void Unfollow(const core::unfollow_stream& action);
  void Run(core::run_operation action);
  void Stop();

 private:
  template <typename Worker, typename... Args>
  std::unique_ptr<Worker> Start(Args&&... args);
  // Returns the appender of a stream. Starts a new one while there are fewer
  // than `append_threads`.
  appender& AppenderFor(const core::stream_name& stream);
  // Stops the reader of a stream, if there is one, and destroys retired readers
  // that have ended.
  void RetireReader(const core::stream_name& stream);
  void StopAll();

  caf::actor_system& system_;
  link_context context_;

  std::mutex mutex_;
  // The members below are guarded by `mutex_` until the link is being stopped,
  // and do not change afterwards. Appenders, runners and the list reader live
  // as long as the link.
  std::vector<std::unique_ptr<appender>> appenders_;
  std::map<core::stream_name, std::size_t> appender_of_;
  std::map<core::stream_name, std::unique_ptr<stream_reader>> readers_;
  // Stopped readers that may still be waiting for a response.
  std::vector<std::unique_ptr<stream_reader>> retired_readers_;
  std::vector<std::unique_ptr<operation_runner>> runners_;
  std::unique_ptr<list_reader> list_reader_;
  bool stopping_ = false;
};

platform_link::implementation::implementation(caf::actor_system& system,
                                              platform_options options,
                                              post_function post)
    : system_(system) {
  context_.options = std::move(options);
  context_.post = std::move(post);
  const std::lock_guard lock(mutex_);
  list_reader_ = Start<list_reader>();
  for (std::size_t i = 0; i < context_.options.operation_threads; ++i) {
    runners_.push_back(Start<operation_runner>());
  }
}

template <typename Worker, typename... Args>
std::unique_ptr<Worker> platform_link::implementation::Start(Args&&... args) {
  auto started =
      std::make_unique<Worker>(&context_, std::forward<Args>(args)...);
  {
    const std::lock_guard lock(context_.mutex);
    ++context_.running;
  }
  started->set_address(system_.spawn<caf::detached>(
      [context = &context_, body = started.get()](caf::blocking_actor* self) {
        const running_worker_guard mark(context, body);
        BlockPipeSignal();
        body->Run(self);
      }));
  return started;
}

appender& platform_link::implementation::AppenderFor(
    const core::stream_name& stream) {
  const auto known = appender_of_.find(stream);
  if (known != appender_of_.end()) {
    return *appenders_[known->second];
  }
  const std::size_t max_appenders = context_.options.append_threads;
  std::size_t index = appender_of_.size() % max_appenders;
  if (index == appenders_.size()) {
    appenders_.push_back(Start<appender>());
  }
  appender_of_[stream] = index;
  return *appenders_[index];
}

void platform_link::implementation::Append(core::append_records action) {
  const std::lock_guard lock(mutex_);
  if (!stopping_) {
    appender& to = AppenderFor(action.stream);
    caf::anon_send(to.address(), append_message{std::move(action)});
  }
}

void platform_link::implementation::Follow(core::follow_stream action) {
  const std::lock_guard lock(mutex_);
  if (stopping_) {
    return;
  }
  RetireReader(action.stream);
  const core::stream_name stream = action.stream;
  readers_[stream] = Start<stream_reader>(std::move(action));
}

void platform_link::implementation::Unfollow(
    const core::unfollow_stream& action) {
  const std::lock_guard lock(mutex_);
  if (!stopping_) {
    RetireReader(action.stream);
  }
}

void platform_link::implementation::RetireReader(
    const core::stream_name& stream) {
  std::erase_if(retired_readers_,
                [](const auto& reader) { return reader->HasEnded(); });
  const auto found = readers_.find(stream);
  if (found != readers_.end()) {
    found->second->Stop();
    retired_readers_.push_back(std::move(found->second));
    readers_.erase(found);
  }
}

void platform_link::implementation::Run(core::run_operation action) {
  const std::lock_guard lock(mutex_);
  if (!stopping_) {
    const std::size_t index =
        std::hash<core::operation_id>()(action.operation) % runners_.size();
    caf::anon_send(runners_[index]->address(),
                   operation_message{std::move(action)});
  }
}

void platform_link::implementation::StopAll() {
  list_reader_->Stop();
  for (const auto& item : runners_) {
    item->Stop();
  }
  for (const auto& item : appenders_) {
    item->Stop();
  }
  for (const auto& [stream, item] : readers_) {
    item->Stop();
  }
  for (const auto& item : retired_readers_) {
    item->Stop();
  }
}

void platform_link::implementation::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  // No worker is added any more, so the lists can be read without `mutex_`,
  // which a `post` callback that calls the link may need.
  std::unique_lock ended(context_.mutex);
  // A worker that was about to send a request when it was stopped would wait
  // for the response, so all workers are stopped repeatedly until they have
  // ended.
  while (context_.running > 0) {
    ended.unlock();
    StopAll();
    ended.lock();
    context_.ended.wait_for(ended, kStopInterval,
                            [this] { return context_.running == 0; });
  }
}

platform_link::platform_link(caf::actor_system& system,
                             platform_options options,
                             post_function post)
    : implementation_(std::make_unique<implementation>(system,
                                                       std::move(options),
                                                       std::move(post))) {}

platform_link::~platform_link() = default;

void platform_link::Append(core::append_records action) {
  implementation_->Append(std::move(action));
}

void platform_link::Follow(core::follow_stream action) {
  implementation_->Follow(std::move(action));
}

void platform_link::Unfollow(const core::unfollow_stream& action) {
  implementation_->Unfollow(action);
}

void platform_link::Run(core::run_operation action) {
  implementation_->Run(std::move(action));
}

void platform_link::Stop() {
  implementation_->Stop();
}

}  // namespace plantainhead::platform
