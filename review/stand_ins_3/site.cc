#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <stdexcept>
#include <utility>

namespace plantainhead::review {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The limits of the platform's store, from the settings in DEPLOY.md.
constexpr std::size_t kRecordBytes = 262144;
constexpr std::size_t kCallBytes = 2097152;
// What one read returns at most (`max_kb` of PROTOCOL.md).
constexpr std::size_t kReadBytes = std::size_t{1024} << 10U;
constexpr std::size_t kReadHeadBytes = 16;
constexpr milliseconds kHeartbeat(1500);
constexpr milliseconds kMoveTime(1500);
constexpr milliseconds kCallTimeout(3000);
constexpr milliseconds kRetryPause(250);
constexpr int kMachinesPerRack = 4;
constexpr std::size_t kConnections = 32;
constexpr std::size_t kJobIdLength = 16;
constexpr int kRecordedRuns = 60;
constexpr int kRecordedGap = 1000;
// `memory_mb` of the sheets, and how long a process takes to be started again.
constexpr std::uint64_t kMemoryBytes = std::uint64_t{260} << 20U;
constexpr milliseconds kRestartPause(1000);
constexpr milliseconds kMemoryCheckGap(20);
const char* const kHost = "callers.example";

// The kernel chooses a free port. Each run of a case listens on a loopback
// address of its own, so that no connection takes the port of a runner that is
// down for a while.
std::string FreeAddress() {
  const auto run = static_cast<unsigned>(::getpid());
  const std::string host = "127." + std::to_string(64 + (run >> 8U) % 128) +
                           "." + std::to_string(run % 256) + ".1";
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address(host), 0});
  return host + ":" + std::to_string(acceptor.local_endpoint().port());
}

std::uint32_t LengthAt(const std::string& body, std::size_t at) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < sizeof(length); ++i) {
    length = (length << 8U) | static_cast<unsigned char>(body[at + i]);
  }
  return length;
}

// Returns whether the store takes an append with this body.
bool IsWithinLimits(const std::string& body) {
  std::size_t total = 0;
  for (std::size_t at = 0; at + 4 <= body.size();) {
    const std::size_t length = LengthAt(body, at);
    total += length;
    if (length > kRecordBytes) {
      return false;
    }
    at += 4 + length;
  }
  return total <= kCallBytes;
}

// Cuts the answer to a read after the last record that fits.
std::string Limited(std::string body) {
  std::size_t at = kReadHeadBytes;
  while (at + 4 <= body.size()) {
    const std::size_t next = at + 4 + LengthAt(body, at);
    if (next > kReadBytes && at > kReadHeadBytes) {
      body.resize(at);
      break;
    }
    at = next;
  }
  return body;
}

}  // namespace

std::string JobId(int number) {
  std::string id = std::to_string(number);
  id.insert(0, kJobIdLength - id.size(), 'a');
  return id;
}

site::site(const site_options& options)
    : options_(options), record_(options.record), store_(&context) {}

site::~site() {
  for (const scheduler& one : schedulers) {
    if (one.pid > 0) {
      kill(one.pid, SIGKILL);
      waitpid(one.pid, nullptr, 0);
    }
  }
}

void site::Note(const std::string& line) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - began_at_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f ",
                static_cast<double>(at.count()) / 1000.0);
  record_ << time.data() << line << std::endl;
}

void site::AddQueue(const queue& added) {
  queues_.push_back(added);
  pools_.try_emplace(added.service, false);
}

std::string site::AddMachines(const std::string& pool,
                              int count,
                              const std::string& kind) {
  std::string last;
  for (int i = 0; i < count; ++i) {
    machine added;
    const auto number = machines_.size();
    added.name = "m-" + std::to_string(100 + number);
    added.pool = pool;
    added.kind = kind;
    added.rack = "r1-" + std::to_string(1 + number / kMachinesPerRack);
    added.address = FreeAddress();
    last = added.name;
    machines_[last] = std::move(added);
  }
  return last;
}

void site::AddSparePool(const std::string& pool, int count) {
  AddMachines(pool, count, "a");
  pools_[pool] = true;
}

std::string site::Configuration() const {
  json routes = json::array();
  for (const queue& one : queues_) {
    routes.push_back({{"name", one.name},
                      {"host", kHost},
                      {"path_prefix", "/" + one.name + "/"},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", 3000},
                      {"target_latency_ms", 600},
                      {"priority", 0},
                      {"service", one.service},
                      {"max_attempts", one.max_attempts},
                      {"stretch", 1.6}});
  }
  json services = json::array();
  for (const auto& [pool, is_spare] : pools_) {
    json service = {{"name", pool}, {"enforces_capacity", false}};
    if (is_spare) {
      service["spare"] = true;
    }
    services.push_back(std::move(service));
  }
  return json{{"version", 7},
              {"routes", routes},
              {"services", services},
              {"limits", json::object()}}
      .dump();
}

void site::Start(int count) {
  store_.Put("keyed.op", "config", Configuration());
  StartStore();
  StartCloud();
  for (const auto& [name, one] : machines_) {
    if (!pools_.at(one.pool)) {
      Boot(name);
    }
  }
  Heartbeat();
  for (int i = 0; i < count; ++i) {
    scheduler one;
    one.name = "front-" + std::to_string(i + 1);
    one.callers = FreeAddress();
    one.settings = options_.directory + "/" + one.name + ".yaml";
    // The keys of deploy/scheduler.yaml.template.
    std::ofstream(one.settings)
        << "name: " << one.name << "\navailability-zone: zone-" << i + 1
        << "\nprocessor: 0.25\nlisten:\n  callers: \"" << one.callers
        << "\"\n  probes: \"" << FreeAddress() << "\"\n  peers: \""
        << FreeAddress() << "\"\n  metrics: \"" << FreeAddress()
        << "\"\nstore:\n  address: \"" << store_address_
        << "\"\nfleet:\n  address: \"" << cloud_address_
        << "\"\nlease:\n  most: 10000ms\n  holder: 3000ms\n"
        << "configuration:\n  apply: 2000ms\nstop:\n  grace: 6s\n";
    StartScheduler(&one);
    one.client = std::make_unique<net::http_client>(
        &context, one.callers,
        net::http_client_options{kConnections, std::chrono::seconds(20)});
    schedulers.push_back(std::move(one));
  }
}

void site::StartScheduler(scheduler* started) const {
  std::string program = options_.program;
  std::string settings = started->settings;
  const std::string log = options_.directory + "/" + started->name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::array<char*, 3> arguments = {program.data(), settings.data(), nullptr};
  const int error = posix_spawn(&started->pid, program.c_str(), &actions,
                                nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    started->pid = 0;
    throw std::runtime_error("cannot start " + program);
  }
  // For the script, which ends what is left if this process is ended.
  std::ofstream(options_.directory + "/pids", std::ios::app)
      << started->pid << "\n";
}

void site::StartStore() {
  store_address_ = FreeAddress();
  net::http_server_options options;
  options.body_limit = 4 * kCallBytes;
  store_server_ = std::make_unique<net::http_server>(
      &context, store_address_, options,
      [this](const net::server_request& request,
             const net::responder& respond) { HandleStore(request, respond); });
}

void site::HandleStore(const net::server_request& request,
                       const net::responder& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/plantainhead/log-append" && !IsWithinLimits(request.body)) {
    ++oversized_appends;
    if (oversized_appends <= 3) {
      Note("store: append of " + std::to_string(request.body.size()) +
           " bytes rejected, larger than it takes: " + request.target);
    }
    respond({400, {}, R"({"reason":"too large"})"});
    return;
  }
  store_.Handle(request, [respond, path](net::server_response response) {
    if (path == "/plantainhead/log-read") {
      response.body = Limited(std::move(response.body));
    }
    respond(std::move(response));
  });
}

void site::EnforceMemoryLimit() {
  for (scheduler& one : schedulers) {
    std::ifstream statm("/proc/" + std::to_string(one.pid) + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    const bool is_read = one.pid > 0 && (statm >> size >> resident);
    const std::uint64_t bytes =
        is_read ? resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE))
                : 0;
    largest_bytes = std::max(largest_bytes, bytes);
    if (bytes <= kMemoryBytes) {
      continue;
    }
    ++memory_kills;
    Note(one.name + " holds " + std::to_string(bytes) +
         " bytes and is killed for it");
    kill(one.pid, SIGKILL);
    waitpid(one.pid, nullptr, 0);
    one.pid = 0;
    After(kRestartPause, [this, &one] { StartScheduler(&one); });
  }
  After(kMemoryCheckGap, [this] { EnforceMemoryLimit(); });
}

void site::RestartEnded() {
  for (scheduler& one : schedulers) {
    int status = 0;
    if (one.pid <= 0 || waitpid(one.pid, &status, WNOHANG) != one.pid) {
      continue;
    }
    ++one.ends;
    Note(one.name + " has ended by itself, " +
         (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                              : "with " + std::to_string(WEXITSTATUS(status))));
    one.pid = 0;
    After(kRestartPause, [this, &one] { StartScheduler(&one); });
  }
  After(kMemoryCheckGap, [this] { RestartEnded(); });
}

void site::StartCloud() {
  cloud_address_ = FreeAddress();
  cloud_server_ = std::make_unique<net::http_server>(
      &context, cloud_address_, net::http_server_options(),
      [this](const net::server_request& request,
             const net::responder& respond) { HandleCloud(request, respond); });
}

void site::HandleCloud(const net::server_request& request,
                       const net::responder& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/plantainhead/machine-move") {
    respond(Move(json::parse(request.body, nullptr, false)));
    return;
  }
  if (path != "/plantainhead/machines") {
    respond({400, {}, "{}"});
    return;
  }
  json rows = json::array();
  for (const auto& [name, one] : machines_) {
    json row = {{"machine", name},
                {"pool", one.pool},
                {"state", one.state},
                {"zone", "zone-1"},
                {"labels", json::array({one.kind, one.rack})},
                {"capacity", {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}}}};
    if (one.life) {
      row["id"] = one.life->id();
    }
    rows.push_back(std::move(row));
  }
  respond({200, {}, json{{"machines", rows}, {"next_token", nullptr}}.dump()});
}

net::server_response site::Move(const json& body) {
  const auto name = body.value("machine", std::string());
  const auto pool = body.value("pool", std::string());
  const auto found = machines_.find(name);
  if (found == machines_.end() || pools_.count(pool) == 0) {
    return {400, {}, "{}"};
  }
  machine& moved = found->second;
  if (moved.state != "up") {
    return {409, {}, R"({"reason":"busy"})"};
  }
  if (moved.pool == pool) {
    return {200, {}, "{}"};
  }
  Note("cloud: " + name + " moves from " + moved.pool + " to " + pool);
  if (moved.life) {
    store_.Put("keyed.servers", moved.life->id(), std::nullopt);
    moved.life.reset();
  }
  moved.pool = pool;
  moved.state = "moving";
  After(kMoveTime, [this, name] { Arrive(name); });
  return {200, {}, "{}"};
}

void site::Arrive(const std::string& name) {
  machine& arrived = machines_.at(name);
  arrived.state = "up";
  if (!pools_.at(arrived.pool)) {
    Boot(name);
  }
}

void site::Report(const machine& reported) {
  store_.Put("keyed.servers", reported.life->id(),
             json{{"service", reported.pool},
                  {"address", reported.address},
                  {"zone", "zone-1"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", "ready"},
                  {"cold_left_ms", 0},
                  {"capacity", {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}}},
                  {"labels", json::array({reported.kind, reported.rack})},
                  {"seq", ++beats_}}
                 .dump());
}

void site::Heartbeat() {
  for (const auto& [name, one] : machines_) {
    if (one.life) {
      Report(one);
    }
  }
  After(kHeartbeat, [this] { Heartbeat(); });
}

void site::Boot(const std::string& name) {
  machine& booted = machines_.at(name);
  const std::string id = "i-" + std::to_string(1000 + ++last_runner_);
  booted.state = "up";
  booted.life = std::make_unique<runner>(
      &context, id, booted.address,
      [this, id, pool = booted.pool](const std::string& task, std::uint32_t run,
                                     const std::string& how) {
        OnRun(pool, id, task, run, how);
      });
  booted.life->on_stop = [this, where = booted.name](const std::string& task,
                                                     bool was_at_work) {
    if (on_stop_) {
      on_stop_(task, where, was_at_work);
    }
  };
  Report(booted);
}

void site::Crash(const std::string& name) {
  machine& crashed = machines_.at(name);
  if (!crashed.life) {
    return;
  }
  const std::string id = crashed.life->id();
  Note("runner " + id + " on " + name + " crashes with " +
       std::to_string(crashed.life->running()) + " tasks");
  crashed.life.reset();
  crashed.state = "down";
  // The entry is removed after three heartbeat intervals of silence.
  After(3 * kHeartbeat,
        [this, id] { store_.Put("keyed.servers", id, std::nullopt); });
}

void site::OnRun(const std::string& pool,
                 const std::string& where,
                 const std::string& task,
                 std::uint32_t run,
                 const std::string& how) {
  const std::string job = task.substr(0, task.find('.'));
  std::map<std::string, int>& counts = runs[{pool, job}];
  ++counts[how];
  starts[task] += how == "started" ? 1 : 0;
  const int started = counts["started"];
  // Of a job with many tasks only the first runs and some starts are recorded.
  const bool is_recorded = started <= kRecordedRuns ||
                           (how == "started" && started % kRecordedGap == 0);
  if (is_recorded) {
    Note("run " + task + " number " + std::to_string(run) + " on " + where +
         " of " + pool + ": " + how);
  }
}

void site::OnStop(const stop_listener& listener) {
  on_stop_ = listener;
}

std::size_t site::RunningTasksOf(const std::string& job) const {
  std::size_t count = 0;
  for (const auto& [name, one] : machines_) {
    count += one.life ? one.life->RunningOf(job) : 0;
  }
  return count;
}

void site::After(milliseconds time, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context);
  timer->expires_after(time);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code& error) {
    if (!error) {
      action();
    }
  });
}

bool site::RunUntil(milliseconds limit, const std::function<bool()>& is_done) {
  const auto end = steady_clock::now() + limit;
  while (!is_done()) {
    if (steady_clock::now() >= end) {
      return false;
    }
    context.restart();
    context.run_for(milliseconds(5));
  }
  return true;
}

void site::RunFor(milliseconds time) {
  RunUntil(time, [] { return false; });
}

void site::Call(std::size_t scheduler,
                net::method verb,
                const std::string& queue,
                const std::string& id,
                const std::string& body,
                const reply_handler& on_reply) {
  net::client_request request;
  request.verb = verb;
  request.target = "/" + queue + "/" + id;
  request.headers = {{"Host", kHost}, {"X-Plantainhead-Timeout-Ms", "3000"}};
  request.body = body;
  schedulers[scheduler].client->Send(request, kCallTimeout, on_reply);
}

unsigned site::Post(std::size_t scheduler,
                    const std::string& queue,
                    const std::string& id,
                    const std::string& body) {
  const auto answer = std::make_shared<std::optional<net::client_reply>>();
  Call(scheduler, net::method::kPost, queue, id, body,
       [answer](const net::client_reply& reply) { *answer = reply; });
  RunUntil(kCallTimeout + kRetryPause, [&] { return answer->has_value(); });
  const unsigned status = *answer ? (*answer)->status : 0;
  Note("POST /" + queue + "/" + id + " at " + schedulers[scheduler].name +
       ": " + std::to_string(status));
  return status;
}

bool site::Submit(const std::string& queue,
                  const std::string& id,
                  const std::string& body) {
  for (std::size_t attempt = 0; attempt < 20; ++attempt) {
    if (Post(attempt % schedulers.size(), queue, id, body) == 200) {
      return true;
    }
    RunFor(kRetryPause);
  }
  return false;
}

std::optional<std::string> site::StateOf(const std::string& queue,
                                         const std::string& id) {
  for (std::size_t at = 0; at < schedulers.size(); ++at) {
    const auto answer = std::make_shared<std::optional<net::client_reply>>();
    Call(at, net::method::kGet, queue, id, "",
         [answer](const net::client_reply& reply) { *answer = reply; });
    RunUntil(kCallTimeout + kRetryPause, [&] { return answer->has_value(); });
    if (*answer && (*answer)->status == 200) {
      const json body = json::parse((*answer)->body, nullptr, false);
      return body.value("state", std::string());
    }
    if (*answer && (*answer)->status == 410) {
      return "410";
    }
  }
  return std::nullopt;
}

bool site::IsServing(const std::string& queue) {
  return StateOf(queue, JobId(999999)) == "410";
}

}  // namespace plantainhead::review
