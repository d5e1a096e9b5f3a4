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

#include "fleet_model.h"
#include "log_model.h"
#include "platform/platform_json.h"

namespace plantainhead::fakes {
namespace {

using platform::json;
using platform::json_reader;
using platform::json_writer;

// Each connection holds a thread of the server: about 100 reads that wait, and
// as many that append, list and operate.
constexpr std::size_t kServerThreads = 256;
constexpr std::size_t kKeepAliveRequests = 1'000'000'000;
// Stopping waits this long for idle connections.
constexpr std::time_t kKeepAliveSeconds = 2;
constexpr std::size_t kMostRecords = 10'000;
constexpr core::duration kLongestWait = std::chrono::seconds(60);
constexpr core::duration kRunnerTimeout = std::chrono::seconds(2);

enum status : int {
  kOk = 200,
  kAccepted = 202,
  kBadRequest = 400,
  kNotFound = 404,
  kConflict = 409,
  kTooMany = 429,
  kServerError = 500,
  kUnavailable = 503,
};

// How an answer to an append that took effect is lost.
enum class loss { kStatus, kClose };

constexpr core::name_table<loss, 2> kLossNames = {{
    {loss::kStatus, "status"},
    {loss::kClose, "close"},
}};
constexpr const auto& NamesOf(loss) {
  return kLossNames;
}

struct fault_settings {
  bool down = false;
  core::duration slow{};
  std::uint64_t refuse_appends = 0;
  std::uint64_t lose_append_answers = 0;
  loss lose_by = loss::kStatus;
};

struct platform_counters {
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
  std::uint64_t refused_appends = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t reads = 0;
  std::uint64_t list_reads = 0;
  std::uint64_t operation_calls = 0;
};

template <typename Archive>
void Fields(Archive& a, typename Archive::template ref<platform_counters> x) {
  a("appends", x.appends);
  a("records", x.records);
  a("refused_appends", x.refused_appends);
  a("lost_answers", x.lost_answers);
  a("reads", x.reads);
  a("list_reads", x.list_reads);
  a("operation_calls", x.operation_calls);
}

core::time_point Now() {
  return core::time_point(std::chrono::duration_cast<core::duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void Answer(httplib::Response& to, int code, const json& body) {
  to.status = code;
  to.set_content(platform::Dump(body), "application/json");
}

void Refuse(httplib::Response& to, int code, const std::string& why) {
  Answer(to, code, {{"error", why}});
}

// Returns the query parameter as a number, or `fallback` without one.
std::uint64_t NumberOf(const httplib::Request& request,
                       const char* name,
                       std::uint64_t fallback) {
  if (!request.has_param(name)) {
    return fallback;
  }
  const std::string text = request.get_param_value(name);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    throw platform::codec_error(name, "expected a whole number from 0");
  }
  return number;
}

// Reads an optional field of whole milliseconds.
void ReadMilliseconds(json_reader& in, const char* name, core::duration* to) {
  std::int64_t count =
      std::chrono::duration_cast<std::chrono::milliseconds>(*to).count();
  in(name, count);
  *to = std::chrono::milliseconds(count);
}

// Asks a runner to drain or to reboot; returns what it has in flight, if it
// says so. A runner whose process isn't there has nothing in flight.
std::optional<std::uint32_t> Call(const runner_call& call) {
  httplib::Client client(call.host, call.port);
  client.set_connection_timeout(kRunnerTimeout);
  client.set_read_timeout(kRunnerTimeout);
  const httplib::Result result =
      client.Post(call.path, "{}", "application/json");
  if (!result) {
    return result.error() == httplib::Error::Connection
               ? std::optional<std::uint32_t>(0)
               : std::nullopt;
  }
  try {
    const json body = platform::ParseObject(result->body);
    std::uint32_t in_flight = 0;
    const json_reader in(body, "");
    json_reader::Read(in.Require("in_flight"), in_flight, "/in_flight");
    return in_flight;
  } catch (const platform::codec_error&) {
    return std::nullopt;
  }
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

  // Waits out the fault `slow`. Returns false when the platform is down.
  bool PassFaults();
  json FaultsJson() const;
  std::condition_variable& WaitersOf(const core::stream_name& stream);
  void WakeAll();
  template <typename View>
  json ViewJson(const View& view, const char* name) const;
  std::uint64_t CursorOf(const httplib::Request& request) const;

  httplib::Server server_;
  std::thread thread_;
  std::uint16_t port_ = 0;
  // Tells cursors of this life of the server from those of another.
  const std::string life_ = platform::ToHex(
      static_cast<std::uint64_t>(Now().time_since_epoch().count()));

  mutable std::mutex mutex_;
  // All below are guarded by `mutex_`.
  log_model log_;
  fleet_model fleet_;
  fault_settings faults_;
  platform_counters counters_;
  bool stopping_ = false;
  // Wakes the readers of one stream.
  std::map<core::stream_name, std::condition_variable> waiters_;
  std::condition_variable faults_changed_;
};

platform_server::implementation::implementation(
    const platform_server_options& options) {
  log_limits limits;
  limits.appends_per_second = options.appends_per_second;
  log_.set_limits(limits);
  fleet_.set_list_lag(options.list_lag);
  fleet_.set_reboot_time(options.reboot_time);
  server_.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_max_count(kKeepAliveRequests);
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  AddRoutes();
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
  thread_ = std::thread([this] { server_.listen_after_bind(); });
}

platform_server::implementation::~implementation() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    WakeAll();
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
      Refuse(response, kBadRequest, error.what());
    }
  };
}

httplib::Server::Handler platform_server::implementation::Faulty(
    handler handle) {
  return [this, run = Steady(handle)](const httplib::Request& request,
                                      httplib::Response& response) {
    if (PassFaults()) {
      run(request, response);
    } else {
      Refuse(response, kUnavailable, "the platform is down");
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

bool platform_server::implementation::PassFaults() {
  std::unique_lock lock(mutex_);
  const auto start = std::chrono::steady_clock::now();
  // A change of the fault also concerns the requests that it holds.
  while (!stopping_ &&
         std::chrono::steady_clock::now() < start + faults_.slow) {
    faults_changed_.wait_until(lock, start + faults_.slow);
  }
  return !faults_.down && !stopping_;
}

void platform_server::implementation::AppendRecords(
    const httplib::Request& request,
    httplib::Response& response) {
  const core::stream_name stream(request.matches[1]);
  const json body = platform::ParseObject(request.body);
  std::vector<std::string> records;
  const json_reader in(body, "");
  json_reader::Read(in.Require("records"), records, "/records");
  if (records.empty()) {
    throw platform::codec_error("/records", "expected at least one");
  }
  const std::lock_guard lock(mutex_);
  const std::size_t count = records.size();
  std::optional<core::log_offset> first;
  if (faults_.refuse_appends > 0) {
    --faults_.refuse_appends;
  } else {
    first = log_.Append(stream, std::move(records), Now());
  }
  if (!first.has_value()) {
    ++counters_.refused_appends;
    Refuse(response, kTooMany, "too many appends");
    return;
  }
  ++counters_.appends;
  counters_.records += count;
  WaitersOf(stream).notify_all();
  if (faults_.lose_append_answers == 0) {
    Answer(response, kOk, {{"first", *first}});
    return;
  }
  --faults_.lose_append_answers;
  ++counters_.lost_answers;
  if (faults_.lose_by == loss::kStatus) {
    Refuse(response, kServerError, "the answer was lost");
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
  const auto wait = std::min<core::duration>(
      std::chrono::milliseconds(NumberOf(request, "wait_ms", 0)), kLongestWait);
  const auto until = std::chrono::steady_clock::now() + wait;

  std::unique_lock lock(mutex_);
  ++counters_.reads;
  read_result found = log_.Read(stream, after, max, Now());
  while (found.end == after && !faults_.down && !stopping_) {
    if (WaitersOf(stream).wait_until(lock, until) == std::cv_status::timeout) {
      break;
    }
    found = log_.Read(stream, after, max, Now());
  }
  if (faults_.down) {
    Refuse(response, kUnavailable, "the platform is down");
    return;
  }
  lock.unlock();

  json records = json::array();
  for (stored_record& item : found.records) {
    records.push_back(
        {{"offset", item.offset}, {"data", std::move(item.data)}});
  }
  Answer(response, kOk,
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
  const std::lock_guard lock(mutex_);
  ++counters_.list_reads;
  const auto view = fleet_.ReadVms(CursorOf(request), Now());
  Answer(response, kOk, ViewJson(view, "vms"));
}

void platform_server::implementation::ListTasks(const httplib::Request& request,
                                                httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  const auto view = fleet_.ReadTasks(CursorOf(request), Now());
  Answer(response, kOk, ViewJson(view, "tasks"));
}

void platform_server::implementation::RegisterVm(
    const httplib::Request& request,
    httplib::Response& response) {
  core::vm_listing listing;
  json_reader::Read(platform::ParseObject(request.body), listing, "");
  if (listing.vm.empty()) {
    throw platform::codec_error("/vm", "expected a name");
  }
  const std::lock_guard lock(mutex_);
  fleet_.Register(listing, Now());
  Answer(response, kOk, json::object());
}

void platform_server::implementation::SetVmState(
    const httplib::Request& request,
    httplib::Response& response) {
  const core::vm_id vm(request.matches[1]);
  const json body = platform::ParseObject(request.body);
  const json_reader in(body, "");
  const json& wanted = in.Require("state");
  const std::lock_guard lock(mutex_);
  bool is_there = false;
  if (wanted == "gone") {
    is_there = fleet_.Remove(vm, Now());
  } else {
    auto state = core::vm_listing_state::kLive;
    json_reader::Read(wanted, state, "/state");
    is_there = fleet_.SetState(vm, state, Now());
  }
  Answer(response, is_there ? kOk : kNotFound, json::object());
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
  const std::lock_guard lock(mutex_);
  fleet_.SetBehaviour(core::vm_id(request.matches[1]), behaviour);
  Answer(response, kOk, json::object());
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
  const std::lock_guard lock(mutex_);
  fleet_.tasks().SetBehaviour(core::job_id(request.matches[1]), behaviour);
  Answer(response, kOk, json::object());
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
  const std::lock_guard lock(mutex_);
  const bool is_there = fleet_.tasks().EndTask(core::job_id(request.matches[1]),
                                               state, detail, Now());
  Answer(response, is_there ? kOk : kNotFound, json::object());
}

void platform_server::implementation::RunOperation(
    const httplib::Request& request,
    httplib::Response& response) {
  const core::operation_id id(request.matches[1]);
  const auto operation =
      platform::ReadOperation(platform::ParseObject(request.body));
  operation_step step;
  {
    const std::lock_guard lock(mutex_);
    ++counters_.operation_calls;
    step = fleet_.Run(id, operation, Now());
  }
  // The runner is called without the lock: it may take its time.
  if (step.call.has_value()) {
    const auto in_flight = Call(*step.call);
    if (step.call->is_drain) {
      const std::lock_guard lock(mutex_);
      step.answer = fleet_.FinishDrain(id, in_flight);
    }
  }
  json body = {{"result", std::string(core::NameOf(step.answer.progress))},
               {"detail", step.answer.detail}};
  if (step.answer.in_flight.has_value()) {
    body["in_flight"] = *step.answer.in_flight;
  }
  int code = kOk;
  if (step.answer.progress == operation_progress::kRunning) {
    code = kAccepted;
  } else if (step.answer.progress == operation_progress::kRefused) {
    code = kConflict;
  }
  Answer(response, code, body);
}

void platform_server::implementation::SetFaults(const httplib::Request& request,
                                                httplib::Response& response) {
  const json body = platform::ParseObject(request.body);
  json_reader in(body, "");
  const std::lock_guard lock(mutex_);
  fault_settings faults = faults_;
  in("down", faults.down);
  ReadMilliseconds(in, "slow_ms", &faults.slow);
  in("refuse_appends", faults.refuse_appends);
  in("lose_append_answers", faults.lose_append_answers);
  in("lose_by", faults.lose_by);
  core::duration lag = fleet_.list_lag();
  core::duration reboot_time = fleet_.reboot_time();
  log_limits limits = log_.limits();
  ReadMilliseconds(in, "list_lag_ms", &lag);
  ReadMilliseconds(in, "reboot_ms", &reboot_time);
  ReadMilliseconds(in, "retention_ms", &limits.retention_time);
  in("retention_records", limits.retention_records);
  in("appends_per_second", limits.appends_per_second);
  if (const json* cut = in.Find("truncate")) {
    json_reader what(*cut, "/truncate");
    core::stream_name stream;
    core::log_offset end = 0;
    json_reader::Read(what.Require("stream"), stream, "/truncate/stream");
    json_reader::Read(what.Require("end"), end, "/truncate/end");
    log_.Truncate(stream, end);
  }
  faults_ = faults;
  fleet_.set_list_lag(lag);
  fleet_.set_reboot_time(reboot_time);
  log_.set_limits(limits);
  WakeAll();
  Answer(response, kOk, FaultsJson());
}

void platform_server::implementation::ReadFaults(const httplib::Request&,
                                                 httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  Answer(response, kOk, FaultsJson());
}

json platform_server::implementation::FaultsJson() const {
  const auto milliseconds = [](core::duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  };
  const log_limits& limits = log_.limits();
  return {
      {"down", faults_.down},
      {"slow_ms", milliseconds(faults_.slow)},
      {"refuse_appends", faults_.refuse_appends},
      {"lose_append_answers", faults_.lose_append_answers},
      {"lose_by", std::string(core::NameOf(faults_.lose_by))},
      {"list_lag_ms", milliseconds(fleet_.list_lag())},
      {"reboot_ms", milliseconds(fleet_.reboot_time())},
      {"retention_records", limits.retention_records},
      {"retention_ms", milliseconds(limits.retention_time)},
      {"appends_per_second", limits.appends_per_second},
  };
}

void platform_server::implementation::ReadCounters(
    const httplib::Request&,
    httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  json body = json_writer::Write(counters_);
  body["reboots"] = json_writer::Write(fleet_.reboots());
  json operations = json::object();
  for (const auto& [type, count] : fleet_.operations()) {
    operations[type] = count;
  }
  body["operations"] = std::move(operations);
  Answer(response, kOk, body);
}

std::condition_variable& platform_server::implementation::WaitersOf(
    const core::stream_name& stream) {
  return waiters_[stream];
}

void platform_server::implementation::WakeAll() {
  faults_changed_.notify_all();
  for (auto& [stream, waiters] : waiters_) {
    waiters.notify_all();
  }
}

platform_server::platform_server(const platform_server_options& options)
    : implementation_(std::make_unique<implementation>(options)) {}

platform_server::~platform_server() = default;

std::uint16_t platform_server::port() const {
  return implementation_->port();
}

}  // namespace plantainhead::fakes
