#include "plantainhead/endpoint/endpoint_client.h"

#include <algorithm>
#include <array>
#include <caf/all.hpp>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

#include "endpoint/connection_pool.h"
#include "endpoint/http_headers.h"

namespace plantainhead::endpoint {
namespace {

/// Message that assigns a call to a worker. The call is held by a shared
/// pointer so that the message is cheap to copy.
struct call_job {
  std::shared_ptr<const core::call_endpoint> call;
};

}  // namespace
}  // namespace plantainhead::endpoint

// This message never leaves the process, so it needs no serialization.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::endpoint::call_job)

namespace plantainhead::endpoint {
namespace {

using clock = endpoint_connection::clock;

constexpr int kServiceUnavailable = 503;
constexpr std::string_view kRequestIdHeader = "plantain-request-id";
constexpr std::string_view kNotRunHeader = "plantain-not-run";
constexpr std::string_view kLeavingHeader = "plantain-leaving";

std::string ToText(const core::request_id& id) {
  std::array<char, 48> text = {};
  std::snprintf(text.data(), text.size(), "%016llx-%llu",
                static_cast<unsigned long long>(id.entry),
                static_cast<unsigned long long>(id.sequence));
  return text.data();
}

core::header_list HeadersToSend(const core::call_endpoint& call) {
  core::header_list headers = WithoutHopByHop(call.envelope.headers);
  std::erase_if(headers, [](const auto& header) {
    return ToLower(header.first) == kRequestIdHeader;
  });
  headers.emplace_back("Plantain-Request-Id", ToText(call.request));
  return headers;
}

bool IsHeaderTrue(const core::header_list& headers, std::string_view name) {
  const std::string* value = FindHeader(headers, name);
  return value != nullptr && ToLower(*value) == "true";
}

core::endpoint_failed NotSent(core::call_id call, std::string detail) {
  return {call, core::endpoint_failure::kNotSent, false, std::move(detail)};
}

core::event ToEvent(core::call_id call, exchange_result result) {
  using kind = exchange_result::kind;
  if (result.how == kind::kNotSent) {
    return NotSent(call, std::move(result.detail));
  }
  const bool leaving = IsHeaderTrue(result.headers, kLeavingHeader);
  if (result.how == kind::kIndeterminate) {
    return core::endpoint_failed{call, core::endpoint_failure::kMaybeSent,
                                 leaving, std::move(result.detail)};
  }
  if (result.status == kServiceUnavailable &&
      IsHeaderTrue(result.headers, kNotRunHeader)) {
    return core::endpoint_failed{
        call, core::endpoint_failure::kRefused, leaving,
        "endpoint rejected the request without executing it"};
  }
  return core::endpoint_replied{
      call, result.status, WithoutHopByHop(result.headers),
      std::make_shared<const std::string>(std::move(result.body))};
}

}  // namespace

// Blocking calls run on detached CAF actors, each with its own thread, so that
// they never block a thread of CAF's scheduler.
class endpoint_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(caf::actor_system& system,
       endpoint_options options,
       std::function<core::time_point()> now,
       std::function<void(core::event)> post)
      : system_(system),
        options_(options),
        now_(std::move(now)),
        post_(std::move(post)),
        pool_({options.connect_timeout, options.max_connections,
               options.idle_timeout}) {}

  void Call(core::call_endpoint request);
  void Stop();

 private:
  caf::actor SpawnWorker();
  void RunJobs(caf::actor self, call_job job);
  core::event ExecuteCall(const core::call_endpoint& call);

  caf::actor_system& system_;
  const endpoint_options options_;
  const std::function<core::time_point()> now_;
  const std::function<void(core::event)> post_;
  connection_pool pool_;

  std::mutex mutex_;
  std::condition_variable idle_changed_;
  bool stopped_ = false;
  std::vector<caf::actor> workers_;
  std::vector<caf::actor> idle_;
  std::deque<call_job> waiting_;
};

void endpoint_client::impl::Call(core::call_endpoint request) {
  const core::call_id call = request.call;
  call_job job{std::make_shared<const core::call_endpoint>(std::move(request))};
  caf::actor worker;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!stopped_) {
      if (!idle_.empty()) {
        worker = std::move(idle_.back());
        idle_.pop_back();
      } else if (workers_.size() < options_.max_threads) {
        worker = SpawnWorker();
        workers_.push_back(worker);
      } else {
        waiting_.push_back(std::move(job));
        return;
      }
    }
  }
  if (worker == nullptr) {
    post_(NotSent(call, "the entry is stopping"));
    return;
  }
  caf::anon_send(worker, std::move(job));
}

caf::actor endpoint_client::impl::SpawnWorker() {
  const std::shared_ptr<impl> self = shared_from_this();
  return system_.spawn<caf::detached>(
      [self](caf::event_based_actor* worker) -> caf::behavior {
        return {[self, worker](const call_job& job) {
          self->RunJobs(caf::actor_cast<caf::actor>(worker), job);
        }};
      });
}

void endpoint_client::impl::RunJobs(caf::actor self, call_job job) {
  while (true) {
    post_(ExecuteCall(*job.call));
    const std::lock_guard<std::mutex> lock(mutex_);
    if (waiting_.empty()) {
      idle_.push_back(std::move(self));
      idle_changed_.notify_all();
      return;
    }
    job = std::move(waiting_.front());
    waiting_.pop_front();
  }
}

core::event endpoint_client::impl::ExecuteCall(
    const core::call_endpoint& call) {
  const core::duration left = call.envelope.deadline - now_();
  if (left <= core::duration::zero()) {
    return NotSent(call.call, "deadline passed before the request was sent");
  }
  const connection_pool::address where = {call.host, call.port};
  connection_pool::connection_ptr connection = pool_.Acquire(where);
  if (connection == nullptr) {
    return NotSent(call.call, "all connections to the endpoint are in use");
  }
  exchange_result result;
  try {
    result =
        connection->Exchange(call.envelope, HeadersToSend(call),
                             clock::now() + left, options_.max_response_bytes);
  } catch (const std::exception& error) {
    // For example, out of memory. An event must be posted for the call in any
    // case; the result is indeterminate because part of the request may have
    // been sent.
    result = {};
    result.detail = error.what();
  }
  pool_.Release(where, std::move(connection));
  return ToEvent(call.call, std::move(result));
}

void endpoint_client::impl::Stop() {
  std::deque<call_job> unsent;
  std::vector<caf::actor> workers;
  {
    std::unique_lock<std::mutex> lock(mutex_);
    stopped_ = true;
    unsent.swap(waiting_);
    idle_changed_.wait(lock, [&] { return idle_.size() == workers_.size(); });
    workers.swap(workers_);
    idle_.clear();
  }
  for (const call_job& job : unsent) {
    post_(NotSent(job.call->call, "the entry is stopping"));
  }
  for (const caf::actor& worker : workers) {
    caf::anon_send_exit(worker, caf::exit_reason::user_shutdown);
  }
  pool_.Clear();
}

endpoint_client::endpoint_client(caf::actor_system& system,
                                 endpoint_options options,
                                 std::function<core::time_point()> now,
                                 std::function<void(core::event)> post) {
  const auto zero = std::chrono::milliseconds::zero();
  if (now == nullptr || post == nullptr) {
    throw std::invalid_argument("endpoint_client: 'now' or 'post' is not set");
  }
  if (options.connect_timeout <= zero || options.idle_timeout <= zero ||
      options.max_connections == 0 || options.max_threads == 0 ||
      options.max_response_bytes == 0) {
    throw std::invalid_argument(
        "endpoint_client: limits and timeouts must be positive");
  }
  impl_ =
      std::make_shared<impl>(system, options, std::move(now), std::move(post));
}

endpoint_client::~endpoint_client() {
  Stop();
}

void endpoint_client::Call(core::call_endpoint request) {
  impl_->Call(std::move(request));
}

void endpoint_client::Stop() {
  impl_->Stop();
}

}  // namespace plantainhead::endpoint
