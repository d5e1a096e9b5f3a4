#include "platform_server.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <httplib.h>

#include "growing_pool.h"
#include "http_json.h"
#include "platform/platform_json.h"
#include "platform_state.h"
#include "runner_client.h"

namespace plantainhead::fakes {
namespace {

using platform::json;
using platform::json_reader;
using platform::json_writer;

// Each connection holds a thread of the server: about 100 reads that wait, and
// as many that append, list and operate.
constexpr std::size_t kServerThreads = 256;
constexpr std::size_t kKeepAliveRequests = 1'000'000'000;
// The HTTP library lets 5 connections wait to be accepted. When all entries
// connect at once the kernel would drop some without a word, and their first
// calls would time out; this many covers every thread of the server.
constexpr int kListenBacklog = 512;
// Stopping waits this long for idle connections.
constexpr std::time_t kKeepAliveSeconds = 2;
constexpr std::size_t kMostRecords = 10'000;
constexpr std::uint64_t kLongestWaitMs = 60'000;

core::time_point Now() {
  return core::time_point(std::chrono::duration_cast<core::duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace

class platform_server::implementation {
 public:
  explicit implementation(const platform_server_options& options);
  ~implementation();

  std::uint16_t port() const { return port_; }

 private:
  using handler = void (implementation::*)(const httplib::Request&,
                                           httplib::Response&);

  // The log and operations of the platform, which faults concern.
  httplib::Server::Handler Faulty(handler handle);
  // What the stand-in itself offers, which always answers.
  httplib::Server::Handler Steady(handler handle);
  void AddRoutes();
  // Binds the port. Throws `std::runtime_error`.
  void Listen(const platform_server_options& options);

  void AppendRecords(const httplib::Request&, httplib::Response&);
  void ReadRecords(const httplib::Request&, httplib::Response&);
  void ListVms(const httplib::Request&, httplib::Response&);
  void ListTasks(const httplib::Request&, httplib::Response&);
  void RegisterVm(const httplib::Request&, httplib::Response&);
  void SetVmState(const httplib::Request&, httplib::Response&);
  void SetVmBehaviour(const httplib::Request&, httplib::Response&);
  void SetJobBehaviour(const httplib::Request&, httplib::Response&);
  void SetTaskState(const httplib::Request&, httplib::Response&);
  void RunOperation(const httplib::Request&, httplib::Response&);
  void SetFaults(const httplib::Request&, httplib::Response&);
  void ReadFaults(const httplib::Request&, httplib::Response&);
  void ReadCounters(const httplib::Request&, httplib::Response&);

  template <typename View>
  json ViewJson(const View& view, const char* name) const;
  std::uint64_t CursorOf(const httplib::Request& request) const;

  httplib::Server server_;
  std::thread thread_;
  std::uint16_t port_ = 0;
  // Tells cursors of this life of the server from those of another.
  const std::string life_ = platform::ToHex(
      static_cast<std::uint64_t>(Now().time_since_epoch().count()));

  platform_state state_;
};

platform_server::implementation::implementation(
    const platform_server_options& options) {
  log_limits limits;
  limits.appends_per_second = options.appends_per_second;
  state_.log.set_limits(limits);
  state_.fleet.set_list_lag(options.list_lag);
  state_.fleet.set_reboot_time(options.reboot_time);
  server_.new_task_queue = [] { return new growing_pool(kServerThreads); };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_max_count(kKeepAliveRequests);
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  AddRoutes();
  Listen(options);
  thread_ = std::thread([this] { server_.listen_after_bind(); });
}

void platform_server::implementation::Listen(
    const platform_server_options& options) {
  socket_t listener = INVALID_SOCKET;
  // The library's own options would let two servers share a port.
  server_.set_socket_options([&listener](socket_t created) {
    const int yes = 1;
    setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    listener = created;
  });
  if (options.port == 0) {
    port_ = static_cast<std::uint16_t>(
        std::max(0, server_.bind_to_any_port(options.host)));
  } else if (server_.bind_to_port(options.host, options.port)) {
    port_ = options.port;
  }
  if (port_ == 0) {
    throw std::runtime_error("can't listen on " + options.host + ":" +
                             std::to_string(options.port));
  }
  listen(listener, kListenBacklog);
}

platform_server::implementation::~implementation() {
  {
    const std::lock_guard lock(state_.mutex);
    state_.stopping = true;
    state_.WakeAll();
  }
  // `stop` has no effect on a server whose thread has not begun to listen.
  while (!server_.is_running()) {
    std::this_thread::yield();
  }
  server_.stop();
  thread_.join();
}

httplib::Server::Handler platform_server::implementation::Steady(
    handler handle) {
  return [this, handle](const httplib::Request& request,
                        httplib::Response& response) {
    try {
      (this->*handle)(request, response);
    } catch (const platform::codec_error& error) {
      Refuse(response, status::kBadRequest, error.what());
    }
  };
}

httplib::Server::Handler platform_server::implementation::Faulty(
    handler handle) {
  return [this, run = Steady(handle)](const httplib::Request& request,
                                      httplib::Response& response) {
    std::unique_lock lock(state_.mutex);
    const bool is_up = state_.PassFaults(lock);
    lock.unlock();
    if (is_up) {
      run(request, response);
    } else {
      Refuse(response, status::kUnavailable, "the platform is down");
    }
  };
}

void platform_server::implementation::AddRoutes() {
  using self = implementation;
  server_.Post(R"(/streams/([^/]+)/records)", Faulty(&self::AppendRecords));
  server_.Get(R"(/streams/([^/]+)/records)", Faulty(&self::ReadRecords));
  server_.Get("/vms", Faulty(&self::ListVms));
  server_.Get("/tasks", Faulty(&self::ListTasks));
  server_.Post(R"(/operations/(.+))", Faulty(&self::RunOperation));
  server_.Post("/vms", Steady(&self::RegisterVm));
  server_.Post(R"(/vms/([^/]+)/state)", Steady(&self::SetVmState));
  server_.Post(R"(/vms/([^/]+)/behaviour)", Steady(&self::SetVmBehaviour));
  server_.Post(R"(/jobs/([^/]+)/behaviour)", Steady(&self::SetJobBehaviour));
  server_.Post(R"(/tasks/([^/]+)/state)", Steady(&self::SetTaskState));
  server_.Post("/faults", Steady(&self::SetFaults));
  server_.Get("/faults", Steady(&self::ReadFaults));
  server_.Get("/counters", Steady(&self::ReadCounters));
}

void platform_server::implementation::AppendRecords(
    const httplib::Request& request,
    httplib::Response& response) {
  const core::stream_name stream(request.matches[1]);
  const json body = platform::ParseObject(request.body);
  std::vector<std::string> records;
  const json_reader in(body, "");
  for (const json& item : in.Require("records")) {
    records.push_back(json_reader::Text(item, "/records"));
  }
  if (records.empty()) {
    throw platform::codec_error("/records", "expected at least one");
  }
  const std::lock_guard lock(state_.mutex);
  const std::size_t count = records.size();
  std::optional<core::log_offset> first;
  if (state_.faults.refuse_appends > 0) {
    --state_.faults.refuse_appends;
  } else {
    first = state_.log.Append(stream, std::move(records), Now());
  }
  if (!first.has_value()) {
    ++state_.counters.refused_appends;
    Refuse(response, status::kTooMany, "too many appends");
    return;
  }
  ++state_.counters.appends;
  state_.counters.records += count;
  state_.readers[stream].notify_all();
  if (state_.faults.lose_append_answers == 0) {
    Answer(response, status::kOk, {{"first", *first}});
    return;
  }
  --state_.faults.lose_append_answers;
  ++state_.counters.lost_answers;
  if (state_.faults.lose_by == answer_loss::kStatus) {
    Refuse(response, status::kServerError, "the answer was lost");
    return;
  }
  // A provider that fails makes the server close the connection before the
  // answer is whole.
  response.set_content_provider(
      1, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void platform_server::implementation::ReadRecords(
    const httplib::Request& request,
    httplib::Response& response) {
  const core::stream_name stream(request.matches[1]);
  const core::log_offset after = NumberOf(request, "after", 0);
  const std::size_t max = std::clamp<std::uint64_t>(
      NumberOf(request, "max", 1000), 1, kMostRecords);
  const std::chrono::milliseconds wait(
      std::min(NumberOf(request, "wait_ms", 0), kLongestWaitMs));
  const auto until = std::chrono::steady_clock::now() + wait;

  std::unique_lock lock(state_.mutex);
  ++state_.counters.reads;
  read_result found = state_.log.Read(stream, after, max, Now());
  while (found.end == after && !state_.faults.down && !state_.stopping) {
    if (state_.readers[stream].wait_until(lock, until) ==
        std::cv_status::timeout) {
      break;
    }
    found = state_.log.Read(stream, after, max, Now());
  }
  if (state_.faults.down) {
    Refuse(response, status::kUnavailable, "the platform is down");
    return;
  }
  lock.unlock();

  json records = json::array();
  for (stored_record& item : found.records) {
    records.push_back(
        {{"offset", item.offset}, {"data", std::move(item.data)}});
  }
  Answer(response, status::kOk,
         {{"begin", found.begin},
          {"end", found.end},
          {"records", std::move(records)}});
}

template <typename View>
json platform_server::implementation::ViewJson(const View& view,
                                               const char* name) const {
  json items = json::array();
  json gone = json::array();
  for (const auto& [key, item] : view.items) {
    if (item.has_value()) {
      items.push_back(json_writer::Write(*item));
    } else {
      gone.push_back(json_writer::Write(key));
    }
  }
  return {{"cursor", life_ + "-" + std::to_string(view.version)},
          {"whole", view.is_whole},
          {name, std::move(items)},
          {"gone", std::move(gone)}};
}

std::uint64_t platform_server::implementation::CursorOf(
    const httplib::Request& request) const {
  const std::string cursor = request.get_param_value("cursor");
  const std::string prefix = life_ + "-";
  if (!cursor.starts_with(prefix)) {
    return 0;
  }
  return std::strtoull(cursor.c_str() + prefix.size(), nullptr, 10);
}

void platform_server::implementation::ListVms(const httplib::Request& request,
                                              httplib::Response& response) {
  const std::lock_guard lock(state_.mutex);
  ++state_.counters.list_reads;
  const auto view = state_.fleet.ReadVms(CursorOf(request), Now());
  Answer(response, status::kOk, ViewJson(view, "vms"));
}

void platform_server::implementation::ListTasks(const httplib::Request& request,
                                                httplib::Response& response) {
  const std::lock_guard lock(state_.mutex);
  const auto view = state_.fleet.ReadTasks(CursorOf(request), Now());
  Answer(response, status::kOk, ViewJson(view, "tasks"));
}

void platform_server::implementation::RegisterVm(
    const httplib::Request& request,
    httplib::Response& response) {
  core::vm_listing listing;
  json_reader::Read(platform::ParseObject(request.body), listing, "");
  if (listing.vm.empty()) {
    throw platform::codec_error("/vm", "expected a name");
  }
  const std::lock_guard lock(state_.mutex);
  state_.fleet.Register(listing, Now());
  Answer(response, status::kOk, json::object());
}

void platform_server::implementation::SetVmState(
    const httplib::Request& request,
    httplib::Response& response) {
  const core::vm_id vm(request.matches[1]);
  const json body = platform::ParseObject(request.body);
  const json_reader in(body, "");
  const json& wanted = in.Require("state");
  const std::lock_guard lock(state_.mutex);
  bool is_there = false;
  if (wanted == "gone") {
    is_there = state_.fleet.Remove(vm, Now());
  } else {
    auto state = core::vm_listing_state::kLive;
    json_reader::Read(wanted, state, "/state");
    is_there = state_.fleet.SetState(vm, state, Now());
  }
  Answer(response, is_there ? status::kOk : status::kNotFound, json::object());
}

void platform_server::implementation::SetVmBehaviour(
    const httplib::Request& request,
    httplib::Response& response) {
  const json body = platform::ParseObject(request.body);
  json_reader in(body, "");
  vm_behaviour behaviour;
  in("fails_tasks", behaviour.fails_tasks);
  if (in.Find("reboot_ms") != nullptr) {
    ReadMilliseconds(in, "reboot_ms", &behaviour.reboot_time.emplace());
  }
  const std::lock_guard lock(state_.mutex);
  state_.fleet.SetBehaviour(core::vm_id(request.matches[1]), behaviour);
  Answer(response, status::kOk, json::object());
}

void platform_server::implementation::SetJobBehaviour(
    const httplib::Request& request,
    httplib::Response& response) {
  const json body = platform::ParseObject(request.body);
  json_reader in(body, "");
  job_behaviour behaviour;
  in("fails", behaviour.fails);
  in("processors_used", behaviour.processors_used);
  in("memory_used_mb", behaviour.memory_used_mb);
  if (in.Find("run_time_ms") != nullptr) {
    ReadMilliseconds(in, "run_time_ms", &behaviour.run_time.emplace());
  }
  const std::lock_guard lock(state_.mutex);
  state_.fleet.tasks().SetBehaviour(core::job_id(request.matches[1]),
                                    behaviour);
  Answer(response, status::kOk, json::object());
}

void platform_server::implementation::SetTaskState(
    const httplib::Request& request,
    httplib::Response& response) {
  const json body = platform::ParseObject(request.body);
  json_reader in(body, "");
  auto state = core::task_state::kFinished;
  std::string detail;
  in("state", state);
  in("detail", detail);
  const std::lock_guard lock(state_.mutex);
  const bool is_there = state_.fleet.tasks().EndTask(
      core::job_id(request.matches[1]), state, detail, Now());
  Answer(response, is_there ? status::kOk : status::kNotFound, json::object());
}

void platform_server::implementation::RunOperation(
    const httplib::Request& request,
    httplib::Response& response) {
  const core::operation_id id(request.matches[1]);
  const auto operation =
      platform::ReadOperation(platform::ParseObject(request.body));
  operation_step step;
  {
    const std::lock_guard lock(state_.mutex);
    ++state_.counters.operation_calls;
    step = state_.fleet.Run(id, operation, Now());
  }
  // The runner is called without the lock: it may take its time.
  if (step.call.has_value()) {
    const auto in_flight = CallRunner(*step.call);
    if (step.call->is_drain) {
      const std::lock_guard lock(state_.mutex);
      step.answer = state_.fleet.FinishDrain(id, in_flight);
    }
  }
  json body = {{"result", std::string(core::NameOf(step.answer.progress))},
               {"detail", step.answer.detail}};
  if (step.answer.in_flight.has_value()) {
    body["in_flight"] = *step.answer.in_flight;
  }
  int code = status::kOk;
  if (step.answer.progress == operation_progress::kRunning) {
    code = status::kAccepted;
  } else if (step.answer.progress == operation_progress::kRefused) {
    code = status::kConflict;
  }
  Answer(response, code, body);
}

void platform_server::implementation::SetFaults(const httplib::Request& request,
                                                httplib::Response& response) {
  const json body = platform::ParseObject(request.body);
  const std::lock_guard lock(state_.mutex);
  state_.ChangeFaults(body);
  Answer(response, status::kOk, state_.FaultsJson());
}

void platform_server::implementation::ReadFaults(const httplib::Request&,
                                                 httplib::Response& response) {
  const std::lock_guard lock(state_.mutex);
  Answer(response, status::kOk, state_.FaultsJson());
}

void platform_server::implementation::ReadCounters(
    const httplib::Request&,
    httplib::Response& response) {
  const std::lock_guard lock(state_.mutex);
  Answer(response, status::kOk, state_.CountersJson());
}

platform_server::platform_server(const platform_server_options& options)
    : implementation_(std::make_unique<implementation>(options)) {}

platform_server::~platform_server() = default;

std::uint16_t platform_server::port() const {
  return implementation_->port();
}

}  // namespace plantainhead::fakes
